package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;

/** Number of the requests of a time window that ends at present. Not safe for threads. */
final class RecentRequests {
  /** The requests of a whole step expire together, when its first one may be as old as a window. */
  private static final int STEPS_PER_WINDOW = 20;

  private final long stepNanos;
  private final int[] counts = new int[STEPS_PER_WINDOW];
  private long currentStep;
  private int total;

  private RecentRequests(long windowNanos, long now) {
    checkArgument(windowNanos >= 0, "windowNanos is negative: %s", windowNanos);
    stepNanos = windowNanos / STEPS_PER_WINDOW;
    currentStep = stepAt(now);
  }

  /**
   * Returns a window without requests.
   *
   * @param windowNanos the length of the window; if it is 0, none is counted
   * @param now the present time in nanoseconds
   */
  static RecentRequests startingAt(long windowNanos, long now) {
    return new RecentRequests(windowNanos, now);
  }

  /** Records a request. */
  void record(long now) {
    if (stepNanos > 0) {
      expire(now);
      counts[indexOf(currentStep)]++;
      total++;
    }
  }

  /** Returns the number of requests, of which none is older than the window. */
  int count(long now) {
    expire(now);
    return total;
  }

  private void expire(long now) {
    long step = stepAt(now);
    long expired = Math.min(step - currentStep, STEPS_PER_WINDOW);
    for (long i = 0; i < expired; i++) {
      int index = indexOf(step - i);
      total -= counts[index];
      counts[index] = 0;
    }
    currentStep = Math.max(currentStep, step);
  }

  private long stepAt(long now) {
    return stepNanos > 0 ? Math.floorDiv(now, stepNanos) : 0;
  }

  private static int indexOf(long step) {
    return Math.floorMod(step, STEPS_PER_WINDOW);
  }
}
