package org.vaneworks.tests;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Property test with random schedules of completions and engine faults. */
final class StreamSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("stream");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void completionGuaranteesHold(@ForAll long seed) {
    SCHEDULES.run(seed, StreamSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
