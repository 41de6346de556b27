package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.store.StoreBudget;

/**
 * The limits that a node operates under.
 *
 * @param routing how routes are chosen and requests admitted
 * @param endpoints limits on the use of each endpoint
 * @param streams limits on each stream
 * @param once limits on the records of requests that run at most once
 * @param store budget for calls to the platform's store
 * @param stop durations of the steps of a planned stop
 */
public record NodeLimits(
    RoutingSettings routing,
    EndpointLimits endpoints,
    PipelineLimits streams,
    OnceLimits once,
    StoreBudget store,
    StopTimes stop) {
  /** Checks that the components are given. */
  public NodeLimits {
    checkNotNull(routing);
    checkNotNull(endpoints);
    checkNotNull(streams);
    checkNotNull(once);
    checkNotNull(store);
    checkNotNull(stop);
  }

  /** Returns the default limits. */
  public static NodeLimits defaults() {
    return new NodeLimits(
        RoutingSettings.defaults(),
        EndpointLimits.defaults(),
        PipelineLimits.defaults(),
        OnceLimits.defaults(),
        StoreBudget.defaults(),
        StopTimes.defaults());
  }

  /** Returns a copy with other limits on streams. */
  public NodeLimits withStreams(PipelineLimits other) {
    return new NodeLimits(routing, endpoints, other, once, store, stop);
  }

  /** Returns a copy with other durations of a planned stop. */
  public NodeLimits withStop(StopTimes other) {
    return new NodeLimits(routing, endpoints, streams, once, store, other);
  }

  /** Returns a copy with other routing settings. */
  public NodeLimits withRouting(RoutingSettings other) {
    return new NodeLimits(other, endpoints, streams, once, store, stop);
  }
}
