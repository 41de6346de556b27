package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits on the records of requests that run at most once.
 *
 * @param ticketValidity how long after its issue a ticket may start a request
 * @param claimRetention how long the claim of an idempotency key is kept in the platform's store
 * @param maxRecords maximum number of records on a node
 * @param maxBytes maximum total size in bytes of recorded answers on a node
 */
public record OnceLimits(
    Duration ticketValidity, Duration claimRetention, int maxRecords, long maxBytes) {
  /**
   * Records outlive tickets and claims, so that a missing record proves an unused ticket or key.
   */
  private static final int RECORD_RETENTION_FACTOR = 2;

  /** Checks the limits. */
  public OnceLimits {
    checkArgument(!ticketValidity.isZero(), "ticketValidity must be positive");
    checkArgument(!claimRetention.isZero(), "claimRetention must be positive");
    checkArgument(maxRecords > 0, "maxRecords must be positive: %s", maxRecords);
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
  }

  /** Returns the default limits. */
  public static OnceLimits defaults() {
    return new OnceLimits(Duration.ofMinutes(10), Duration.ofMinutes(10), 20_000, 32L << 20);
  }

  /** Returns how long a record is kept. */
  Duration recordRetention() {
    Duration longer =
        ticketValidity.compareTo(claimRetention) > 0 ? ticketValidity : claimRetention;
    return longer.multipliedBy(RECORD_RETENTION_FACTOR);
  }
}
