package org.vaneworks.coordination.fleet;

import java.time.Duration;

/**
 * The time for which an endpoint wants no calls from this node.
 *
 * <p>Other nodes may have none, or another one. Confined to the node's event loop.
 */
final class Backoff {
  /** Calls that requests already at the endpoint may need meanwhile. */
  private static final int MOST_URGENT_CALLS = 1;

  private long endsAt = Long.MIN_VALUE;
  private int calls;

  Backoff() {}

  /** Takes a further request of the endpoint: the one that ends last counts. */
  void extend(Duration length, long nowNanos) {
    if (!isInForce(nowNanos)) {
      calls = 0;
    }
    endsAt = Math.max(endsAt, nowNanos + length.toNanos());
  }

  /** Returns whether the endpoint wants no calls at that time. */
  boolean isInForce(long nowNanos) {
    return nowNanos < endsAt;
  }

  /** Returns whether a call on which a request at the endpoint hangs may be made at that time. */
  boolean admitsUrgentCall(long nowNanos) {
    return !isInForce(nowNanos) || calls < MOST_URGENT_CALLS;
  }

  /** Returns when it ends, on the node's clock in nanoseconds; the smallest value if none began. */
  long endsAt() {
    return endsAt;
  }

  void noteCall() {
    calls++;
  }

  /** Returns the calls that this node made since it began. */
  int calls() {
    return calls;
  }
}
