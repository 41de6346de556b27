package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Tells since when the steady clock has surely counted all time.
 *
 * <p>It stands still while a box is suspended, so what was confirmed before is older than it seems.
 * The time of day goes on; it also jumps now and then, so a difference between the two proves no
 * suspension. What is lost by believing one is a call to the store; what is lost by not believing
 * one is a promise: a key that was taken away works on, or two nodes take themselves for the
 * controller. Hence any difference, either way, counts. (Java reaches the clock of Linux that
 * counts suspensions by a native library only.)
 *
 * <p>Confined to the node's event loop.
 */
public final class SuspensionWatch {
  /** Adjustments of the time of day by a time service stay far below this between two readings. */
  private static final Duration TOLERANCE = Duration.ofMillis(100);

  private final Executor clock;
  private final LongSupplier timeOfDayMillis;
  private final Counters counters;
  private final List<Runnable> listeners = new ArrayList<>();
  private long awakeSince;
  private long readAt;
  private long timeOfDayRead;

  private SuspensionWatch(Executor clock, LongSupplier timeOfDayMillis, Counters counters) {
    this.clock = checkNotNull(clock);
    this.timeOfDayMillis = checkNotNull(timeOfDayMillis);
    this.counters = checkNotNull(counters);
    readAt = clock.currentTime(NANOSECONDS);
    timeOfDayRead = timeOfDayMillis.getAsLong();
    awakeSince = readAt;
  }

  /**
   * Returns a watch that begins now.
   *
   * @param timeOfDayMillis the box's time of day, in Unix milliseconds
   */
  public static SuspensionWatch create(
      Executor clock, LongSupplier timeOfDayMillis, Counters counters) {
    return new SuspensionWatch(clock, timeOfDayMillis, counters);
  }

  /** Calls back when the box may have been suspended: what was agreed before is to be renewed. */
  public void onWake(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Returns the time on the clock since which it has counted all time.
   *
   * <p>Reads both clocks, so it has to be asked just before a decision that rests on an age: the
   * box may have been suspended since the last one.
   */
  public long awakeSince() {
    long now = clock.currentTime(NANOSECONDS);
    long timeOfDay = timeOfDayMillis.getAsLong();
    long counted = NANOSECONDS.toMillis(now - readAt);
    long missedMillis = timeOfDay - timeOfDayRead - counted;
    readAt = now;
    timeOfDayRead = timeOfDay;
    if (Math.abs(missedMillis) > TOLERANCE.toMillis()) {
      awakeSince = now;
      counters.count(Metric.SUSPENSIONS, missedMillis > 0 ? "ahead" : "back");
      EventLog.warn(Event.MAYBE_SUSPENDED, "missedMs", missedMillis);
      // Later: whoever asks is about to decide, and the answer must not change under it.
      listeners.forEach(listener -> clock.schedule(listener, 0, MILLISECONDS));
    }
    return awakeSince;
  }
}
