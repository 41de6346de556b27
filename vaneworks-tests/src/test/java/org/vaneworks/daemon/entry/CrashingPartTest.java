package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that requests which share a part of their prompts that crashes engines are quarantined,
 * and that requests which share only their other parts are not.
 */
final class CrashingPartTest {
  private static final int SEEDS = 3;

  private static List<String> problems(double crashingPerSecond, boolean faults) {
    List<String> problems = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      CrashingPartSimulation simulation =
          new CrashingPartSimulation(seed, crashingPerSecond, faults);
      simulation.run();
      long failed = seed;
      simulation.problems().forEach(problem -> problems.add("seed " + failed + ": " + problem));
    }
    return problems;
  }

  // Guards against engines crashing one after the other under requests that no two are alike.
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1, 4, 10})
  void requestsThatShareCrashingPartAreQuarantinedAndOthersAreNot(double crashingPerSecond) {
    assertEquals(List.of(), problems(crashingPerSecond, false));
  }

  @Test
  void partIsQuarantinedDespiteRestartsOfNodesAndOutagesOfTheStore() {
    assertEquals(List.of(), problems(2, true));
  }
}
