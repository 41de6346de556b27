package org.vaneworks.tests.shared;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.shared.SuspensionWatch;
import org.vaneworks.telemetry.Counters;

/**
 * One box's time of day, over a steady clock that other boxes share.
 *
 * <p>A suspension and a step of the time of day look alike to the box: the two clocks differ.
 */
public final class BoxTime {
  private final Executor clock;
  private final SuspensionWatch watch;
  private long aheadMillis;

  /** Creates a time of day that agrees with the clock. */
  public BoxTime(Executor clock) {
    this.clock = clock;
    watch = SuspensionWatch.create(clock, this::timeOfDay, Counters.in(new SimpleMeterRegistry()));
  }

  /** Returns the box's watch. */
  public SuspensionWatch watch() {
    return watch;
  }

  private long timeOfDay() {
    return clock.currentTime(TimeUnit.MILLISECONDS) + aheadMillis;
  }

  /** Moves the time of day; a suspension moves it ahead. */
  public void step(long millis) {
    aheadMillis += millis;
  }
}
