package org.vaneworks.tests;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Property test with random schedules of requests that run at most once. */
final class OnceSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("once");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void noRequestRunsTwice(@ForAll long seed) {
    SCHEDULES.run(seed, OnceSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
