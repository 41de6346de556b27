package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.tests.Schedules;

/**
 * Checks over random courses that callers get whole what engines would have answered whole.
 *
 * <p>Guards against a node that lets go of an engine that pauses and lives, and has no other.
 */
final class InFlightResponseSimulationTest {
  private static final Schedules SCHEDULES = new Schedules("running answer");

  @Property(
      tries = Schedules.TRIES,
      seed = "20261203",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void answersAreNotBrokenOffWhileTheirEnginesLive(@ForAll long seed) {
    SCHEDULES.run(
        seed,
        each -> {
          InFlightResponseSimulation course = new InFlightResponseSimulation(each);
          return new Schedules.Result(course.play(), course.counts());
        });
  }

  // Guards against a stream that is cut as it left a live engine for one that turned it away.
  @Test
  void streamIsNotLetGoForAnEngineThatTurnsItAway() {
    for (long seed : new long[] {54, 69, 83, 663}) {
      assertEquals(ImmutableList.of(), new InFlightResponseSimulation(seed).play(), "seed " + seed);
    }
  }

  // Guards against a stream that is cut for the end of an engine that an unanswered order had
  // taken off its path.
  @Test
  void streamIsNotCutForAnEngineThatItNoLongerPasses() {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(98).play());
  }

  // Guards against a stream that goes on, still waits for another place, and is then sent twice.
  @ParameterizedTest
  @ValueSource(longs = {30, 74, 113, 236})
  void streamThatMakesProgressWaitsForNoOtherPlace(long seed) {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(seed).play());
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
