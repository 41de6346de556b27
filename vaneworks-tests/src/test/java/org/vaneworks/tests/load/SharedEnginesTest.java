package org.vaneworks.tests.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.testlib.fleet.FleetOutcome;
import org.vaneworks.testlib.fleet.FleetShape;
import org.vaneworks.testlib.fleet.FleetShape.DataCentre;
import org.vaneworks.testlib.fleet.SharedEnginesModel;
import org.vaneworks.tests.placement.Models;

/**
 * Tests the selection of engines that many nodes share, under steady load.
 *
 * <p>Failure guarded against: all engines are healthy and have capacity, but nodes that see the
 * same outdated reports prefer the same engines, fill them and abandon them together. Streams last
 * one to two seconds, so an older report says nothing about the present.
 *
 * <p>The fleet has engines of three kinds in five data centres in the users' proportions, and
 * receives 342 streams per second that read 774 and write 200 tokens on average.
 */
final class SharedEnginesTest {
  private static final Duration DURATION = Duration.ofSeconds(8);

  private static final FleetShape FLEET =
      new FleetShape(
          ImmutableList.of(
              centre("dc-a", 17, 4, 11, 28, 75.5),
              centre("dc-b", 20, 2, 18, 16, 60),
              centre("dc-c", 21, 6, 8, 19, 61),
              centre("dc-d", 20, 4, 11, 28, 68),
              centre("dc-e", 17, 2, 18, 15, 77.5)));

  private static DataCentre centre(
      String name, int nodes, int large, int middle, int small, double streamsPerSecond) {
    return new DataCentre(
        name,
        nodes,
        ImmutableMap.of("large", large, "middle", middle, "small", small),
        streamsPerSecond);
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 20, 95})
  void fewStreamsAreRejectedOrLateForAnyNumberOfNodes(int nodes) {
    FleetOutcome outcome = run(FLEET.withNodes(nodes));
    assertTrue(outcome.rejectedShare() < 0.01, outcome.toString());
    assertTrue(outcome.lateShare() < 0.005, outcome.toString());
  }

  @Test
  void fewStreamsAreRejectedOrLateWithEightNodesInOneDataCentre() {
    FleetShape one = new FleetShape(ImmutableList.of(centre("dc-a", 8, 4, 11, 28, 75.5)));
    FleetOutcome outcome = run(one);
    assertTrue(outcome.rejectedShare() < 0.01, outcome.toString());
    assertTrue(outcome.lateShare() < 0.005, outcome.toString());
  }

  /** Each node starts one stream per second, which indicates little about its peers' streams. */
  @Test
  void fewStreamsAreRejectedWithMoreNodesThanEngines() {
    FleetOutcome outcome = run(FLEET.withNodes(350));
    assertTrue(outcome.rejectedShare() < 0.08, outcome.toString());
    assertTrue(outcome.lateShare() < 0.01, outcome.toString());
  }

  @Test
  void fewStreamsAreRejectedUnderHighTraffic() {
    FleetOutcome outcome = run(FLEET.withTraffic(1.6));
    assertTrue(outcome.rejectedShare() < 0.06, outcome.toString());
    assertTrue(outcome.lateShare() < 0.01, outcome.toString());
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 95, 350})
  void reportsStayWithinControlTrafficBudget(int nodes) {
    FleetOutcome outcome = run(FLEET.withNodes(nodes).withTraffic(1.6));
    assertTrue(outcome.reportBytesPerNodeSecond() < 5000, outcome.toString());
  }

  private static FleetOutcome run(FleetShape fleet) {
    return SharedEnginesModel.run(fleet, Models.eightyLayers(), 1, DURATION);
  }
}
