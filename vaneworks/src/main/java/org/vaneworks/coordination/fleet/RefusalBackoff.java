package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * The time for which this node avoids a replica that refused a request, an engine that prevented a
 * path change, or an endpoint whose responses are malformed. It doubles with each further refusal
 * until the endpoint accepts a request.
 *
 * <p>In contrast to {@link Backoff}, the endpoint did not ask for it. Confined to the node's event
 * loop.
 */
final class RefusalBackoff {
  /** About the lag of a load report, which shows the requests that fill the replica. */
  private static final Duration FIRST = Duration.ofMillis(200);

  /** A replica that has room again gets no request of this node for up to this time. */
  private static final Duration MAX = Duration.ofMillis(1600);

  /** Time without an accepted request after which a replica is not merely full at times. */
  private static final Duration FULL = Duration.ofSeconds(1);

  private final Duration first;
  private final Duration max;
  private long lengthNanos;
  private long acceptedAt = Long.MIN_VALUE / 2;
  private long startedAt = Long.MIN_VALUE;
  private long endsAt = Long.MIN_VALUE;

  RefusalBackoff() {
    this(FIRST, MAX);
  }

  /**
   * Creates a backoff that has not begun.
   *
   * @param first the time after the first refusal
   * @param max the maximum time
   */
  RefusalBackoff(Duration first, Duration max) {
    this.first = checkNotNull(first);
    this.max = checkNotNull(max);
  }

  /**
   * Records a refusal. Requests that were sent before the backoff began and are refused as well
   * tell nothing new.
   */
  void recordRefusal(long sentAt, long now) {
    if (sentAt <= startedAt) {
      return;
    }
    lengthNanos = lengthNanos == 0 ? first.toNanos() : Math.min(2 * lengthNanos, max.toNanos());
    startedAt = now;
    endsAt = now + lengthNanos;
  }

  /** Ends the backoff if the replica accepted a request that was sent after its refusal. */
  void recordAcceptance(long sentAt, long now) {
    acceptedAt = now;
    if (sentAt >= startedAt) {
      lengthNanos = 0;
      endsAt = Long.MIN_VALUE;
    }
  }

  /** Returns whether the replica refused several requests and has accepted none for a while. */
  boolean isRepeated(long now) {
    return lengthNanos > first.toNanos() && now - acceptedAt > FULL.toNanos();
  }

  /** Returns when the backoff ends; {@link Long#MIN_VALUE} if there is none. */
  long endsAt() {
    return endsAt;
  }
}
