package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The pace of a slow engine, as the engine reported it to some node, or of a slow replica of a
 * plain service, as some node measured it.
 *
 * @param endpointKey short key of the endpoint, see {@link EndpointLoad#keyOf}
 * @param pace the engine's step time as a multiple of that of its kind, or the replica's service
 *     time as a multiple of that of the fastest replicas; at least 1
 */
public record EnginePace(int endpointKey, double pace) {
  /** Checks that the pace is at least 1. */
  public EnginePace {
    checkArgument(pace >= 1, "pace must be at least 1: %s", pace);
  }
}
