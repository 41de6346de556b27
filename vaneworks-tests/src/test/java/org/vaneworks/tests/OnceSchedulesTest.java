package org.vaneworks.tests;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Runs random schedules of requests that may run once. */
final class OnceSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("once");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void nothingRunsTwiceUnderAnySchedule(@ForAll long seed) {
    SCHEDULES.run(seed, OnceSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
