package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * How far a request came, for the line that tells its end.
 *
 * @param lastSentTo where it was sent last, empty if it never was
 * @param sends how often it was sent
 * @param sinceArrival since the request came
 * @param sinceProgress since its last sign of progress; since it came, if there was none
 */
record RequestProgress(
    Optional<TrackedEndpoint> lastSentTo,
    int sends,
    Duration sinceArrival,
    Duration sinceProgress) {
  /** The trail of a request that was refused as it came. */
  static RequestProgress none() {
    return new RequestProgress(Optional.empty(), 0, Duration.ZERO, Duration.ZERO);
  }
}
