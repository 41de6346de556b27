package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * What a node does at which time of a planned stop. Times count from the begin of the stop.
 *
 * <p>Immutable.
 */
final class StopPlan {
  /** Between two looks at what is to be done. */
  static final Duration CHECK = Duration.ofMillis(50);

  /**
   * The balancer asks each second and takes a node out after two misses. From then on callers have
   * connections that they kept only, and those that rest are closed.
   */
  private static final Duration BALANCER_LAG = Duration.ofMillis(2800);

  /** Part of the grace after which new requests are refused: a stream takes seconds. */
  private static final double TAKE_NEW_PART = 0.5;

  /** Part of the grace after which the process ends with requests in flight. */
  private static final double END_PART = 0.93;

  private final Duration grace;

  private StopPlan(Duration grace) {
    this.grace = checkNotNull(grace);
  }

  /** Returns the plan of a stop after which the process is ended by force. */
  static StopPlan within(Duration grace) {
    return new StopPlan(grace);
  }

  /** Returns whether new requests are still taken. */
  boolean takesNew(Duration passed) {
    return !closesIdle(passed) && passed.toNanos() <= grace.toNanos() * TAKE_NEW_PART;
  }

  /** Returns whether connections without a request are closed. */
  boolean closesIdle(Duration passed) {
    return passed.compareTo(BALANCER_LAG) > 0;
  }

  /** Returns whether the process ends, though requests may be in flight. */
  boolean isOver(Duration passed) {
    return passed.toNanos() > grace.toNanos() * END_PART;
  }
}
