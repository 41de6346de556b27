package org.vaneworks.coordination.fleet;

import java.time.Duration;

/**
 * The period during which an endpoint has asked this node not to call it.
 *
 * <p>The endpoint may have asked other nodes for a different period, or for none. Confined to the
 * node's event loop.
 */
final class Backoff {
  /** Calls that requests already running at the endpoint may need during the backoff. */
  private static final int MAX_URGENT_CALLS = 1;

  private long endsAt = Long.MIN_VALUE;
  private int calls;

  Backoff() {}

  /** Extends the backoff to the given length from now, unless it already ends later. */
  void extend(Duration length, long nowNanos) {
    if (!isInForce(nowNanos)) {
      calls = 0;
    }
    endsAt = Math.max(endsAt, nowNanos + length.toNanos());
  }

  /** Returns whether the backoff is in force at the given time. */
  boolean isInForce(long nowNanos) {
    return nowNanos < endsAt;
  }

  /**
   * Returns whether an urgent call, one that a request at the endpoint depends on, may be made at
   * the given time.
   */
  boolean admitsUrgentCall(long nowNanos) {
    return !isInForce(nowNanos) || calls < MAX_URGENT_CALLS;
  }

  /**
   * Returns the end of the backoff in nanoseconds on the node's clock, or {@link Long#MIN_VALUE} if
   * there never was one.
   */
  long endsAt() {
    return endsAt;
  }

  void recordCall() {
    calls++;
  }

  /** Returns the number of calls that this node made since the backoff began. */
  int calls() {
    return calls;
  }
}
