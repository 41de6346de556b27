package org.vaneworks.coordination.concurrent;

import java.time.Duration;

/**
 * Tells whether a silence may be this node's own delay.
 *
 * <p>An event loop that is held up while it reads its sockets next runs the timers that came due
 * meanwhile, and only then reads what arrived meanwhile. What a timer finds that is late is
 * therefore no evidence against anybody else.
 */
public final class EventLoopDelay {
  /**
   * After a late timer the loop reads its sockets within this time; what it finds then counts as
   * that of a punctual one.
   */
  public static final Duration SOCKET_READ_GRACE = Duration.ofMillis(5);

  /** Timers are late by less than this while a loop has ordinary work. */
  private static final Duration TOLERANCE = Duration.ofMillis(20);

  /** A node that is late each time has to find the dead as well. */
  private static final int MOST_UNCOUNTED = 2;

  private EventLoopDelay() {}

  /**
   * Returns whether a silence is not to be counted, as the timer that found it was late.
   *
   * @param late from when the timer was due until now
   * @param uncounted silences of the same kind just before that were not counted
   */
  public static boolean explainsSilence(Duration late, int uncounted) {
    return late.compareTo(TOLERANCE) > 0 && uncounted < MOST_UNCOUNTED;
  }
}
