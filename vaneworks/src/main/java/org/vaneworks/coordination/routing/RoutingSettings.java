package org.vaneworks.coordination.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of route choice and admission.
 *
 * @param policy computes the cost of engines
 * @param admission decides whether a route accepts another stream
 * @param cost unit in which a request counts against its workspace's share
 * @param fixedCap maximum number of streams on one engine, for {@link AdmissionKind#FIXED}
 * @param retryShare number of retries deposited by one first attempt
 */
public record RoutingSettings(
    PolicyKind policy, AdmissionKind admission, CostKind cost, int fixedCap, double retryShare) {
  /** The kinds of route policy. */
  public enum PolicyKind {
    PREDICTED_TIME,
    RANDOM,
    ROUND_ROBIN,
    LEAST_IN_FLIGHT
  }

  /** The kinds of admission policy. */
  public enum AdmissionKind {
    WITHIN_BOUNDS,
    FIXED
  }

  /** The units that fair sharing counts. */
  public enum CostKind {
    TOKENS,
    REQUESTS
  }

  /** Checks that the values are in range. */
  public RoutingSettings {
    checkArgument(fixedCap > 0, "fixedCap must be positive: %s", fixedCap);
    checkArgument(retryShare >= 0 && retryShare <= 1, "retryShare: %s", retryShare);
  }

  /** Returns the default settings. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        PolicyKind.PREDICTED_TIME, AdmissionKind.WITHIN_BOUNDS, CostKind.REQUESTS, 64, 0.1);
  }
}
