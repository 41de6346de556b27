package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Example;
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
  /** Late answers may cost one request in this many, compared with the same course without them. */
  private static final int MIN_REQUESTS_PER_REFUSAL = 10;

  private static final Schedules SIMULATIONS = new Schedules("late report");

  @Property(
      tries = 100,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void answersOfLiveEnginesAreNotLost(@ForAll long seed) {
    SIMULATIONS.run(seed, LateReportSimulationTest::run);
  }

  /** Stalled streams and unlisted engines alone leave too little capacity for many requests. */
  @Example
  void requestsRefusedWithPunctualAnswersAreNotCounted() {
    for (long seed : new long[] {487, 97455}) {
      assertEquals(ImmutableList.of(), run(seed).problems(), "seed " + seed);
    }
  }

  private static Schedules.Result run(long seed) {
    LateReportSimulation late = new LateReportSimulation(seed, true);
    LateReportSimulation punctual = new LateReportSimulation(seed, false);
    List<String> problems = new ArrayList<>(late.run());
    problems.addAll(punctual.run());
    long refused = late.refusedCount() - punctual.refusedCount();
    if (refused * MIN_REQUESTS_PER_REFUSAL > late.requestCount()) {
      problems.add(refused + " of " + late.requestCount() + " requests were refused for lateness");
    }
    Map<String, Integer> counts = new TreeMap<>(late.counts());
    counts.put("refused if punctual", (int) punctual.refusedCount());
    return new Schedules.Result(ImmutableList.copyOf(problems), counts);
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
  }
}
