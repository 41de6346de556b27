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
 * Detects suspensions of the box by comparing the monotonic clock with the time of day.
 *
 * <p>The monotonic clock stops while a box is suspended, so state confirmed before a suspension is
 * older than that clock indicates. The time of day continues, but is sometimes adjusted, so a
 * difference between the two clocks does not prove a suspension. A false alarm costs one call to
 * the store. A missed suspension breaks a guarantee: a revoked key continues to work, or two nodes
 * both act as the controller. Therefore any difference, in either direction, is treated as a
 * suspension. (On Linux, the clock that includes suspensions is reachable from Java only through a
 * native library.)
 *
 * <p>Confined to the node's event loop.
 */
public final class SuspensionDetector {
  /** Clock adjustments by a time service stay far below this between two readings. */
  private static final Duration TOLERANCE = Duration.ofMillis(100);

  private final Executor clock;
  private final LongSupplier timeOfDayMillis;
  private final Counters counters;
  private final List<Runnable> listeners = new ArrayList<>();
  private long awakeSince;
  private long lastReadAt;
  private long lastTimeOfDay;

  private SuspensionDetector(Executor clock, LongSupplier timeOfDayMillis, Counters counters) {
    this.clock = checkNotNull(clock);
    this.timeOfDayMillis = checkNotNull(timeOfDayMillis);
    this.counters = checkNotNull(counters);
    lastReadAt = clock.currentTime(NANOSECONDS);
    lastTimeOfDay = timeOfDayMillis.getAsLong();
    awakeSince = lastReadAt;
  }

  /**
   * Returns a detector that starts to compare the clocks now.
   *
   * @param timeOfDayMillis the box's time of day, in milliseconds since the Unix epoch
   */
  public static SuspensionDetector create(
      Executor clock, LongSupplier timeOfDayMillis, Counters counters) {
    return new SuspensionDetector(clock, timeOfDayMillis, counters);
  }

  /**
   * Adds a listener that runs after the box may have been suspended, to renew leases and confirm
   * state obtained before.
   */
  public void onWake(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Returns the time since which the executor's clock has run without a possible suspension, in
   * nanoseconds on that clock.
   *
   * <p>Reads both clocks. Must be called immediately before each decision that depends on an age,
   * because the box may have been suspended since the previous call.
   */
  public long awakeSince() {
    long now = clock.currentTime(NANOSECONDS);
    long timeOfDay = timeOfDayMillis.getAsLong();
    long elapsedMillis = NANOSECONDS.toMillis(now - lastReadAt);
    long missedMillis = timeOfDay - lastTimeOfDay - elapsedMillis;
    lastReadAt = now;
    lastTimeOfDay = timeOfDay;
    if (Math.abs(missedMillis) > TOLERANCE.toMillis()) {
      awakeSince = now;
      counters.count(Metric.SUSPENSIONS, missedMillis > 0 ? "ahead" : "back");
      EventLog.warn(Event.MAYBE_SUSPENDED, "missedMs", missedMillis);
      // Scheduled rather than run here, so that listeners do not change state under the caller.
      listeners.forEach(listener -> clock.schedule(listener, 0, MILLISECONDS));
    }
    return awakeSince;
  }
}
