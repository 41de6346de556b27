package org.vaneworks.coordination.concurrent;

import java.time.Duration;

/**
 * Determines whether a missing response may be due to a delay of this node's own event loop.
 *
 * <p>An event loop that is delayed while it processes sockets first runs the timers that became due
 * during the delay, and only then reads the data that arrived during it. A timeout found by a late
 * timer is therefore no evidence that the remote side is silent.
 */
public final class EventLoopDelay {
  /**
   * Time within which the event loop reads its sockets after a late timer. A check repeated after
   * this time is as reliable as one by a punctual timer.
   */
  public static final Duration SOCKET_READ_GRACE = Duration.ofMillis(5);

  /** Timers are late by less than this under normal load. */
  private static final Duration TIMER_TOLERANCE = Duration.ofMillis(20);

  /** Bounded, so that a node whose timers are always late still detects failures. */
  private static final int MAX_DISCOUNTED = 2;

  private EventLoopDelay() {}

  /**
   * Returns whether a timeout should be discounted because the timer that found it was late.
   *
   * @param lateness time since the timer was due
   * @param discounted number of consecutive earlier timeouts of the same kind that were discounted
   */
  public static boolean explainsSilence(Duration lateness, int discounted) {
    return lateness.compareTo(TIMER_TOLERANCE) > 0 && discounted < MAX_DISCOUNTED;
  }
}
