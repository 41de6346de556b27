package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds on the use of one endpoint.
 *
 * @param leastProgress a call is never looked into sooner than this
 * @param stepTimeout a call is given up after this, whatever was learned
 * @param streamsWhileUnknown streams of this node on an engine whose step time is not learned yet
 * @param maxStreams streams of this node on one engine at most
 */
public record EndpointLimits(
    Duration leastProgress, Duration stepTimeout, int streamsWhileUnknown, int maxStreams) {
  /** Checks the bounds. */
  public EndpointLimits {
    checkArgument(
        leastProgress.compareTo(stepTimeout) <= 0,
        "leastProgress %s must not be over stepTimeout %s",
        leastProgress,
        stepTimeout);
    checkArgument(streamsWhileUnknown > 0, "streamsWhileUnknown: %s", streamsWhileUnknown);
    checkArgument(maxStreams > 0, "maxStreams must be positive: %s", maxStreams);
  }

  /** Returns the bounds that hold unless settings say otherwise. */
  public static EndpointLimits defaults() {
    return new EndpointLimits(Duration.ofMillis(250), Duration.ofSeconds(5), 4, 256);
  }
}
