package org.vaneworks.tests.shared;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.shared.SuspensionDetector;
import org.vaneworks.telemetry.Counters;

/**
 * The time of day of one simulated box, on top of a monotonic clock that all boxes share.
 *
 * <p>Both a suspension and an adjustment of the time of day are simulated by a difference between
 * the two clocks, because a box cannot tell them apart.
 */
public final class BoxClock {
  private final Executor clock;
  private final SuspensionDetector suspensionDetector;
  private long offsetMillis;

  /** Creates a time of day without an offset from the monotonic clock. */
  public BoxClock(Executor clock) {
    this.clock = clock;
    suspensionDetector =
        SuspensionDetector.create(clock, this::timeOfDay, Counters.in(new SimpleMeterRegistry()));
  }

  /** Returns the box's suspension detector. */
  public SuspensionDetector suspensionDetector() {
    return suspensionDetector;
  }

  private long timeOfDay() {
    return clock.currentTime(TimeUnit.MILLISECONDS) + offsetMillis;
  }

  /** Adjusts the time of day by the given offset; a positive offset simulates a suspension. */
  public void step(long millis) {
    offsetMillis += millis;
  }
}
