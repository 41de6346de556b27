package org.vaneworks.coordination.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * An engine's state as it tells it, some hundred milliseconds old.
 *
 * @param ordersTaken orders that it has begun since it started
 * @param orderInProgress whether it is loading or giving up layers
 * @param layers the layers that it holds
 * @param pace over 1 if it is slower than its kind
 * @param stalledOn for requests that stand still, the engine that they wait for
 * @param incarnation which run of its process tells this
 */
public record EngineReport(
    long ordersTaken,
    boolean orderInProgress,
    Optional<LayerRange> layers,
    double pace,
    ImmutableMap<String, HostPort> stalledOn,
    Incarnation incarnation) {
  /** Returns the report of an engine that does not tell when it started. */
  public EngineReport(
      long ordersTaken,
      boolean orderInProgress,
      Optional<LayerRange> layers,
      double pace,
      ImmutableMap<String, HostPort> stalledOn) {
    this(ordersTaken, orderInProgress, layers, pace, stalledOn, Incarnation.UNTOLD);
  }
}
