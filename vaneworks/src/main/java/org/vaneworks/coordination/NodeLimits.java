package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.store.StoreBudget;

/**
 * Bounds on what a node does.
 *
 * @param routing how routes are chosen and requests admitted
 * @param endpoints bounds on the use of one endpoint
 * @param streams bounds on one stream
 * @param once bounds on records of requests that run at most once
 * @param store budget of calls to the platform's store
 * @param stop how long the parts of a planned stop take
 */
public record NodeLimits(
    RoutingSettings routing,
    EndpointLimits endpoints,
    PipelineLimits streams,
    OnceLimits once,
    StoreBudget store,
    StopTimes stop) {
  /** Checks that every part is given. */
  public NodeLimits {
    checkNotNull(routing);
    checkNotNull(endpoints);
    checkNotNull(streams);
    checkNotNull(once);
    checkNotNull(store);
    checkNotNull(stop);
  }

  /** Returns what holds unless settings say otherwise. */
  public static NodeLimits defaults() {
    return new NodeLimits(
        RoutingSettings.defaults(),
        EndpointLimits.defaults(),
        PipelineLimits.defaults(),
        OnceLimits.defaults(),
        StoreBudget.defaults(),
        StopTimes.defaults());
  }

  /** Returns a copy with other bounds on streams. */
  public NodeLimits withStreams(PipelineLimits other) {
    return new NodeLimits(routing, endpoints, other, once, store, stop);
  }

  /** Returns a copy with other times of a planned stop. */
  public NodeLimits withStop(StopTimes other) {
    return new NodeLimits(routing, endpoints, streams, once, store, other);
  }

  /** Returns a copy with other routing. */
  public NodeLimits withRouting(RoutingSettings other) {
    return new NodeLimits(other, endpoints, streams, once, store, stop);
  }
}
