package org.vaneworks.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the retry budgets of all nodes together stay within that of the fleet. */
final class FleetBudgetTest {
  /** How long endpoints stand still at most while nodes go on sending to them. */
  private static final int MAX_HOLD_MILLIS = 1000;

  // Guards against nodes whose parts of the reserve add up to more than the whole, as each divides
  // it by the nodes that it sees.
  @ParameterizedTest
  @CsvSource({"8, 60, 30", "3, 20, 30", "24, 1500, 30"})
  void partsOfTheReserveAreNeverMoreThanTheWhole(int boxes, int requestsPerSecond, int seeds) {
    for (int seed = 0; seed < seeds; seed++) {
      FleetBudgetSimulation simulation =
          new FleetBudgetSimulation(seed, boxes, requestsPerSecond, 0, false, false);
      assertEquals(Optional.empty(), simulation.run(), "seed " + seed);
    }
  }

  // Guards against nodes that divide the reserve by too few: the entries of others expired before
  // an outage of the store, in which the next ones could not be read.
  @ParameterizedTest
  @CsvSource({"8, 60, 30", "3, 20, 30", "24, 1500, 30"})
  void partsOfTheReserveAreNeverMoreThanTheWholeAfterRepeatedOutages(
      int boxes, int requestsPerSecond, int seeds) {
    for (int seed = 0; seed < seeds; seed++) {
      FleetBudgetSimulation simulation =
          new FleetBudgetSimulation(seed, boxes, requestsPerSecond, 0, true, false);
      assertEquals(Optional.empty(), simulation.run(), "seed " + seed);
    }
  }

  // Guards against repeats that endpoints read a little late, together with those sent meanwhile.
  @ParameterizedTest
  @CsvSource({"8, 60, 30", "3, 20, 30", "24, 1500, 30"})
  void repeatsThatArriveLateKeepTheBudget(int boxes, int requestsPerSecond, int seeds) {
    for (int seed = 0; seed < seeds; seed++) {
      FleetBudgetSimulation simulation =
          new FleetBudgetSimulation(seed, boxes, requestsPerSecond, MAX_HOLD_MILLIS, false, false);
      assertEquals(Optional.empty(), simulation.run(), "seed " + seed);
    }
  }

  // Guards against processes that save what their requests deposit and spend it beyond the bound.
  @ParameterizedTest
  @CsvSource({
    "8, 60, false",
    "3, 20, false",
    "24, 1500, false",
    "8, 60, true",
    "3, 20, true",
    "24, 1500, true"
  })
  void repeatsThatComeInBurstsKeepTheBudget(
      int boxes, int requestsPerSecond, boolean repeatedOutages) {
    for (int seed = 0; seed < 15; seed++) {
      FleetBudgetSimulation simulation =
          new FleetBudgetSimulation(seed, boxes, requestsPerSecond, 0, repeatedOutages, true);
      assertEquals(Optional.empty(), simulation.run(), "seed " + seed);
    }
  }
}
