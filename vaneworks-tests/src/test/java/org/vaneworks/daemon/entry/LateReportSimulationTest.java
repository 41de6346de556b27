package org.vaneworks.daemon.entry;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.vaneworks.tests.Schedules;

/**
 * Runs random simulations in which every engine lives, to show that no answer is lost to probes and
 * orders that are answered late.
 *
 * <p>Guards against answers aborted on evidence that does not prove the loss of an engine.
 */
final class LateReportSimulationTest {
  private static final Schedules SIMULATIONS = new Schedules("late report");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void answersOfLiveEnginesAreNotLost(@ForAll long seed) {
    SIMULATIONS.run(
        seed,
        each -> {
          LateReportSimulation simulation = new LateReportSimulation(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
  }
}
