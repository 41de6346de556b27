package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Runs random schedules of requests and faults.
 *
 * <p>{@code -Dvaneworks.schedules=N} runs more; a failing seed is printed and replays with {@link
 * StreamSchedule#run}.
 */
final class StreamSchedulesTest {
  private static final int TRIES = 200;
  private static final int SCHEDULES = Integer.getInteger("vaneworks.schedules", TRIES);

  private static int schedules;
  private static int requests;
  private static int faults;

  @Property(
      tries = TRIES,
      seed = "20261202",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void promisesHoldUnderAnySchedule(@ForAll long seed) {
    for (int i = 0; i < Math.max(1, SCHEDULES / TRIES); i++) {
      long each = seed + i;
      StreamSchedule.Outcome outcome = StreamSchedule.run(each);
      schedules++;
      requests += outcome.requests();
      faults += outcome.faults();
      assertEquals(ImmutableList.of(), outcome.problems(), () -> "seed " + each);
    }
  }

  @AfterContainer
  static void report() {
    System.out.println(
        "stream schedules: " + schedules + ", requests: " + requests + ", faults: " + faults);
  }
}
