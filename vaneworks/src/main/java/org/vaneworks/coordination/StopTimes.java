package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Durations of the steps of a planned stop.
 *
 * @param balancerLag how long the load balancer may send requests after the node became not ready
 * @param deadline maximum duration of the stop, after which requests in flight are aborted
 */
public record StopTimes(Duration balancerLag, Duration deadline) {
  /** Checks that the balancer lag is within the deadline. */
  public StopTimes {
    checkArgument(
        balancerLag.compareTo(deadline) <= 0,
        "balancerLag %s must not exceed the deadline %s",
        balancerLag,
        deadline);
  }

  /** Returns the default durations. */
  public static StopTimes defaults() {
    return new StopTimes(Duration.ofSeconds(5), Duration.ofSeconds(120));
  }
}
