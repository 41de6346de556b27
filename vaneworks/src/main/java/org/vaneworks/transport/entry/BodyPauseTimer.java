package org.vaneworks.transport.entry;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Executor;
import java.time.Duration;

/**
 * Notices that a caller has sent no part of a body for a time. Confined to the node's event loop.
 */
final class BodyPauseTimer {
  private final Executor executor;
  private final Duration pause;
  private final BodyCollector collector;
  private final Runnable onPause;
  private Cancellable timer = () -> {};
  private boolean cancelled;

  /**
   * Creates a timer that has not been started.
   *
   * @param pause the time between checks; a pause is noticed within twice this time
   * @param onPause runs once, unless the timer was cancelled before
   */
  BodyPauseTimer(Executor executor, Duration pause, BodyCollector collector, Runnable onPause) {
    this.executor = executor;
    this.pause = pause;
    this.collector = collector;
    this.onPause = onPause;
  }

  /** Starts the timer; returns false if it was cancelled before. */
  @CanIgnoreReturnValue
  boolean start() {
    if (cancelled) {
      return false;
    }
    long receivedBytes = collector.receivedBytes();
    timer = executor.schedule(() -> check(receivedBytes), pause);
    return true;
  }

  /** A late timer runs before input is read that has arrived; one that is set now runs after it. */
  private void check(long previousBytes) {
    if (!cancelled && collector.receivedBytes() == previousBytes) {
      timer = executor.schedule(() -> checkAfterRead(previousBytes), Duration.ZERO);
    } else {
      start();
    }
  }

  private void checkAfterRead(long previousBytes) {
    if (!cancelled && collector.receivedBytes() == previousBytes) {
      onPause.run();
    } else {
      start();
    }
  }

  /** Stops the timer, which would otherwise keep the body in memory. */
  void cancel() {
    cancelled = true;
    timer.cancel();
  }
}
