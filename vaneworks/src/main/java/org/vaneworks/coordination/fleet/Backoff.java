package org.vaneworks.coordination.fleet;

import java.time.Duration;

/**
 * The time for which an endpoint wants no calls from this node.
 *
 * <p>Other nodes may have none, or another one. Confined to the node's event loop.
 */
public final class Backoff {
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
