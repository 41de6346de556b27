package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A slow engine as some node saw it itself.
 *
 * @param endpointKey short name of the engine, see {@link EndpointLoad#keyOf}
 * @param pace how many times slower than its kind it says that it is
 */
public record EnginePace(int endpointKey, double pace) {
  /** Checks the pace. */
  public EnginePace {
    checkArgument(pace >= 1, "pace must be at least 1: %s", pace);
  }
}
