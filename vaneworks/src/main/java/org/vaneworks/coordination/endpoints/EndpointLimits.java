package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits on the use of one endpoint.
 *
 * @param minProgressDeadline minimum time before the progress of a call is checked
 * @param stepTimeout timeout of a call, whatever step times were learned
 * @param streamsWhileUnknown maximum number of this node's streams on an engine whose step time has
 *     not been learned yet
 * @param maxStreams maximum number of this node's streams on one engine
 */
public record EndpointLimits(
    Duration minProgressDeadline, Duration stepTimeout, int streamsWhileUnknown, int maxStreams) {
  /** Checks the limits. */
  public EndpointLimits {
    checkArgument(
        minProgressDeadline.compareTo(stepTimeout) <= 0,
        "minProgressDeadline %s must not exceed stepTimeout %s",
        minProgressDeadline,
        stepTimeout);
    checkArgument(streamsWhileUnknown > 0, "streamsWhileUnknown: %s", streamsWhileUnknown);
    checkArgument(maxStreams > 0, "maxStreams must be positive: %s", maxStreams);
  }

  /** Returns the default limits. */
  public static EndpointLimits defaults() {
    return new EndpointLimits(Duration.ofMillis(250), Duration.ofSeconds(5), 4, 256);
  }
}
