package org.vaneworks.tests.pipeline;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.vaneworks.tests.Schedules;

/** Property test with random schedules of streams over engines that pause and live. */
final class PausedEngineSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("paused engines");

  // Guards against cutting a stream whose engine pauses, has no room for a while or is slow to
  // reach, and against sessions that are left over on engines.
  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void noStreamOfALivingEngineIsCut(@ForAll long seed) {
    SCHEDULES.run(seed, PausedEngineSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
