package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds on records of requests that run at most once.
 *
 * @param ticketValidity how long an unused ticket may be used
 * @param claimRetention how long a key is remembered in the platform's store
 * @param maxRecords most records that a node holds
 * @param maxBytes most bytes of kept answers that a node holds
 */
public record OnceLimits(
    Duration ticketValidity, Duration claimRetention, int maxRecords, long maxBytes) {
  /** Records outlive tickets and claims by this factor, so that no record means not used. */
  private static final int RECORD_FACTOR = 2;

  /** Checks the bounds. */
  public OnceLimits {
    checkArgument(!ticketValidity.isZero(), "ticketValidity must be positive");
    checkArgument(!claimRetention.isZero(), "claimRetention must be positive");
    checkArgument(maxRecords > 0, "maxRecords must be positive: %s", maxRecords);
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
  }

  /** Returns the bounds that hold unless settings say otherwise. */
  public static OnceLimits defaults() {
    return new OnceLimits(Duration.ofMinutes(10), Duration.ofMinutes(10), 20_000, 32L << 20);
  }

  /** Returns how long a record is kept. */
  Duration recordRetention() {
    Duration longer =
        ticketValidity.compareTo(claimRetention) > 0 ? ticketValidity : claimRetention;
    return longer.multipliedBy(RECORD_FACTOR);
  }
}
