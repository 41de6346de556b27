package org.vaneworks.coordination.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * An engine's report of its own state, up to some hundred milliseconds old.
 *
 * @param ordersStarted number of orders that the engine has begun since its start
 * @param orderInProgress whether the engine is loading or releasing layers
 * @param layers the layers that the engine holds
 * @param pace the engine's step time as a multiple of that of its kind; above 1 if it is slower
 * @param stalledOn for each stalled request, by its ID, the address of the engine that it waits for
 * @param incarnation the incarnation that sent the report
 */
public record EngineReport(
    long ordersStarted,
    boolean orderInProgress,
    Optional<LayerRange> layers,
    double pace,
    ImmutableMap<String, HostPort> stalledOn,
    Incarnation incarnation) {
  /** Creates the report of an engine that does not report its start time. */
  public EngineReport(
      long ordersStarted,
      boolean orderInProgress,
      Optional<LayerRange> layers,
      double pace,
      ImmutableMap<String, HostPort> stalledOn) {
    this(ordersStarted, orderInProgress, layers, pace, stalledOn, Incarnation.UNKNOWN);
  }
}
