package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * The endpoints that this node uses.
 *
 * <p>Thread-safe. Reads use an immutable index that is replaced on each change, so a routing
 * decision takes no table lock.
 */
public final class EndpointTable {
  private final Executor clock;
  private final EndpointLimits limits;
  private final Counters counters;
  private final IntSupplier nodes;
  private final StepTimesByKind timesByKind = new StepTimesByKind();

  @GuardedBy("this")
  private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();

  private volatile ImmutableListMultimap<String, EndpointState> byService =
      ImmutableListMultimap.of();

  private volatile Consumer<EndpointState> leavingListener = state -> {};

  private EndpointTable(
      Executor clock, EndpointLimits limits, Counters counters, IntSupplier nodes) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
    this.counters = checkNotNull(counters);
    this.nodes = checkNotNull(nodes);
  }

  /**
   * Returns an empty table.
   *
   * @param nodes number of nodes that share the endpoints
   */
  public static EndpointTable create(
      Executor clock, EndpointLimits limits, Counters counters, IntSupplier nodes) {
    return new EndpointTable(clock, limits, counters, nodes);
  }

  /** Sets the listener that is called when an endpoint begins to leave. */
  public void onLeaving(Consumer<EndpointState> listener) {
    leavingListener = checkNotNull(listener);
  }

  /** Returns the endpoints that serve a model or plain service, ordered by first layer. */
  public ImmutableList<EndpointState> serving(String name) {
    return byService.get(name);
  }

  /** Returns every endpoint. */
  public synchronized ImmutableList<EndpointState> all() {
    return ImmutableList.copyOf(states.values());
  }

  /** Returns the state of an endpoint. */
  public synchronized Optional<EndpointState> find(EndpointId id) {
    return Optional.ofNullable(states.get(id));
  }

  /** Returns the state of the endpoint, adding it if it is new. */
  public EndpointState add(Endpoint endpoint) {
    synchronized (this) {
      EndpointState known = states.get(endpoint.id());
      if (known != null) {
        return known;
      }
      EndpointState added = new EndpointState(endpoint, clock, timesByKind, limits, nodes);
      states.put(endpoint.id(), added);
      reindex();
      EventLog.info(Event.ENDPOINT_FOUND, "endpoint", endpoint.id(), "serves", endpoint.serves());
      return added;
    }
  }

  /** Removes an endpoint that is no longer listed, or whose box runs another incarnation. */
  public synchronized void remove(EndpointId id) {
    if (states.remove(id) != null) {
      reindex();
      EventLog.info(Event.ENDPOINT_GONE, "endpoint", id);
    }
  }

  /** Marks an endpoint as leaving and calls the listener, once. */
  public void markLeaving(EndpointState state, String source) {
    if (state.markLeaving()) {
      EventLog.info(Event.ENDPOINT_LEAVING, "endpoint", state.endpoint().id(), "source", source);
      leavingListener.accept(state);
    }
  }

  /** Ejects an endpoint for a while after a call that failed. */
  public void eject(EndpointState state, String cause) {
    if (state.eject()) {
      recordEjection(state, cause);
    }
  }

  /**
   * Ejects an endpoint for a while after a failed status call; it may still be used as a last
   * resort.
   */
  public void recordStatusFailure(EndpointState state) {
    if (state.ejectAfterStatusFailure()) {
      recordEjection(state, "status");
    }
  }

  private void recordEjection(EndpointState state, String cause) {
    counters.count(Metric.EJECTIONS, cause);
    EventLog.warn(Event.ENDPOINT_EJECTED, "endpoint", state.endpoint().id(), "cause", cause);
  }

  @GuardedBy("this")
  private void reindex() {
    ImmutableListMultimap.Builder<String, EndpointState> index = ImmutableListMultimap.builder();
    index.orderValuesBy(Comparator.comparingInt(EndpointTable::firstLayer));
    states.values().forEach(state -> index.put(state.endpoint().serves(), state));
    byService = index.build();
  }

  private static int firstLayer(EndpointState state) {
    return state.endpoint().layers().map(range -> range.from()).orElse(0);
  }
}
