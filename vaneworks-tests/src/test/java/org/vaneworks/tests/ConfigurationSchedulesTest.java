package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Runs random schedules of operators' changes; see {@link StreamSchedulesTest}. */
final class ConfigurationSchedulesTest {
  private static final int TRIES = 200;
  private static final int SCHEDULES = Integer.getInteger("vaneworks.schedules", TRIES);

  private static int schedules;
  private static int changes;
  private static int accepted;
  private static int faults;

  @Property(
      tries = TRIES,
      seed = "20261202",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void acceptedChangesStayInForceUnderAnySchedule(@ForAll long seed) {
    for (int i = 0; i < Math.max(1, SCHEDULES / TRIES); i++) {
      long each = seed + i;
      ConfigurationSchedule.Outcome outcome = ConfigurationSchedule.run(each);
      schedules++;
      changes += outcome.changes();
      accepted += outcome.accepted();
      faults += outcome.faults();
      assertEquals(ImmutableList.of(), outcome.problems(), () -> "seed " + each);
    }
  }

  @AfterContainer
  static void report() {
    System.out.println(
        "configuration schedules: "
            + schedules
            + ", changes: "
            + changes
            + ", accepted: "
            + accepted
            + ", faults: "
            + faults);
  }
}
