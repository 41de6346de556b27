package org.vaneworks.coordination.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How routes are chosen and requests admitted.
 *
 * @param policy prices engines
 * @param admission decides whether a route takes one more stream
 * @param cost what a request uses up of its workspace's share
 * @param fixedCap streams on one engine at most, for {@link AdmissionKind#FIXED}
 * @param retryShare retries earned by one first attempt
 */
public record RoutingSettings(
    PolicyKind policy, AdmissionKind admission, CostKind cost, int fixedCap, double retryShare) {
  /** The ways to price engines. */
  public enum PolicyKind {
    PREDICTED_TIME,
    RANDOM,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT
  }

  /** The ways to admit. */
  public enum AdmissionKind {
    WITHIN_BOUNDS,
    FIXED
  }

  /** What fair sharing counts. */
  public enum CostKind {
    TOKENS,
    REQUESTS
  }

  /** Checks the bounds. */
  public RoutingSettings {
    checkArgument(fixedCap > 0, "fixedCap must be positive: %s", fixedCap);
    checkArgument(retryShare >= 0 && retryShare <= 1, "retryShare: %s", retryShare);
  }

  /** Returns what holds unless settings say otherwise. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        PolicyKind.PREDICTED_TIME, AdmissionKind.WITHIN_BOUNDS, CostKind.REQUESTS, 64, 0.1);
  }
}
