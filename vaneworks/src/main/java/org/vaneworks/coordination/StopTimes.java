package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How long the parts of a planned stop take.
 *
 * @param balancerLag how long the balancer may still send requests after readiness ended
 * @param deadline after which requests in flight are cut
 */
public record StopTimes(Duration balancerLag, Duration deadline) {
  /** Checks the order. */
  public StopTimes {
    checkArgument(
        balancerLag.compareTo(deadline) <= 0,
        "balancerLag %s must not be over the deadline %s",
        balancerLag,
        deadline);
  }

  /** Returns what holds unless settings say otherwise. */
  public static StopTimes defaults() {
    return new StopTimes(Duration.ofSeconds(5), Duration.ofSeconds(120));
  }
}
