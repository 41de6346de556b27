package org.vaneworks.tests.once;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.vaneworks.tests.Schedules;

/** Property test with random schedules of streams that run at most once. */
final class OnceStreamSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("once streams");

  // Guards against a second run under a ticket or key, a verdict that is not true and answers that
  // are not right, for runs that outlast stops and faults of nodes.
  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void noStreamRunsTwice(@ForAll long seed) {
    SCHEDULES.run(seed, OnceStreamSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
