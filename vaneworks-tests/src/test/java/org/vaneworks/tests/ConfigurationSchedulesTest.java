package org.vaneworks.tests;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Property test with random schedules of configuration changes. */
final class ConfigurationSchedulesTest {
  private static final Schedules SCHEDULES = new Schedules("configuration");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void acceptedChangesAreNeverLost(@ForAll long seed) {
    SCHEDULES.run(seed, ConfigurationSchedule::run);
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
