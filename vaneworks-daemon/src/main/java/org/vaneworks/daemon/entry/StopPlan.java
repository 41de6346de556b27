package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * The schedule of a planned stop. All times are measured from the start of the stop.
 *
 * <p>Immutable.
 */
final class StopPlan {
  /** Interval between two checks of the progress of a stop. */
  static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  /**
   * The load balancer checks readiness each second and removes a node after two failed checks.
   * After that, callers only use connections that they already have, and idle ones are closed.
   */
  private static final Duration BALANCER_LAG = Duration.ofMillis(2800);

  /** Fraction of the grace period after which new requests are refused, as streams take seconds. */
  private static final double ACCEPT_FRACTION = 0.5;

  /** Fraction of the grace period after which requests in flight get a final answer. */
  private static final double END_FRACTION = 0.9;

  /** Fraction of the grace period after which the node exits, whatever is not delivered yet. */
  private static final double EXIT_FRACTION = 0.93;

  private final Duration grace;

  private StopPlan(Duration grace) {
    this.grace = checkNotNull(grace);
  }

  /** Returns the plan for a grace period after which the platform kills the process. */
  static StopPlan within(Duration grace) {
    return new StopPlan(grace);
  }

  /** Returns whether the node still accepts new requests. */
  boolean acceptsRequests(Duration elapsed) {
    return !closesIdleConnections(elapsed)
        && elapsed.toNanos() <= grace.toNanos() * ACCEPT_FRACTION;
  }

  /** Returns whether the node closes idle connections. */
  boolean closesIdleConnections(Duration elapsed) {
    return elapsed.compareTo(BALANCER_LAG) > 0;
  }

  /** Returns whether requests in flight are ended. */
  boolean endsRequests(Duration elapsed) {
    return elapsed.toNanos() > grace.toNanos() * END_FRACTION;
  }

  /** Returns whether the node exits even if requests are in flight. */
  boolean isExpired(Duration elapsed) {
    return elapsed.toNanos() > grace.toNanos() * EXIT_FRACTION;
  }
}
