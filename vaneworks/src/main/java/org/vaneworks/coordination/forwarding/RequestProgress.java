package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * The progress of a request, for log lines about its end.
 *
 * @param lastSentTo the endpoint of the last send; empty if the request was never sent
 * @param sends the number of sends
 * @param sinceArrival the time since the request arrived
 * @param sinceProgress the time since it last made progress; since it arrived if it was never sent
 */
record RequestProgress(
    Optional<TrackedEndpoint> lastSentTo,
    int sends,
    Duration sinceArrival,
    Duration sinceProgress) {
  /** Returns the progress of a request that was refused on arrival. */
  static RequestProgress none() {
    return new RequestProgress(Optional.empty(), 0, Duration.ZERO, Duration.ZERO);
  }
}
