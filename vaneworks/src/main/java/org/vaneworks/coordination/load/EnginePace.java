package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The pace of a slow engine, as the engine reported it to some node.
 *
 * @param endpointKey short key of the engine, see {@link EndpointLoad#keyOf}
 * @param pace the engine's step time as a multiple of that of its kind; at least 1
 */
public record EnginePace(int endpointKey, double pace) {
  /** Checks that the pace is at least 1. */
  public EnginePace {
    checkArgument(pace >= 1, "pace must be at least 1: %s", pace);
  }
}
