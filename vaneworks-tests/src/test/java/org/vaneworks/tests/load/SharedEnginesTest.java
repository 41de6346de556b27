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
 * The load of calm seconds on engines that many nodes share.
 *
 * <p>Pattern: nothing is wrong and the engines have room, yet nodes that see the same late reports
 * prefer the same engines, fill them and leave them together. Streams last one to two seconds, so a
 * report that is older than that tells nothing of the present.
 *
 * <p>Grounds for the figures: engines of three kinds in five data centres in the users'
 * proportions, 342 streams a second of 774 tokens to read and 200 to write on average.
 */
final class SharedEnginesTest {
  private static final Duration LENGTH = Duration.ofSeconds(8);

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
  void engineWithRoomIsFoundWhateverTheNumberOfNodes(int nodes) {
    FleetOutcome outcome = run(FLEET.withNodes(nodes));
    assertTrue(outcome.rejectedShare() < 0.01, outcome.toString());
    assertTrue(outcome.lateShare() < 0.005, outcome.toString());
  }

  @Test
  void engineWithRoomIsFoundByEightNodesOfOneDataCentre() {
    FleetShape one = new FleetShape(ImmutableList.of(centre("dc-a", 8, 4, 11, 28, 75.5)));
    FleetOutcome outcome = run(one);
    assertTrue(outcome.rejectedShare() < 0.01, outcome.toString());
    assertTrue(outcome.lateShare() < 0.005, outcome.toString());
  }

  /** A node there begins one stream a second, which tells it little of its peers. */
  @Test
  void enginesRejectLittleWithMoreNodesThanEngines() {
    FleetOutcome outcome = run(FLEET.withNodes(350));
    assertTrue(outcome.rejectedShare() < 0.08, outcome.toString());
    assertTrue(outcome.lateShare() < 0.01, outcome.toString());
  }

  @Test
  void enginesRejectLittleUnderMoreThanTheUsualTraffic() {
    FleetOutcome outcome = run(FLEET.withTraffic(1.6));
    assertTrue(outcome.rejectedShare() < 0.06, outcome.toString());
    assertTrue(outcome.lateShare() < 0.01, outcome.toString());
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 95, 350})
  void reportsStayWithinTheBytesOfControlTraffic(int nodes) {
    FleetOutcome outcome = run(FLEET.withNodes(nodes).withTraffic(1.6));
    assertTrue(outcome.reportBytesPerNodeSecond() < 5000, outcome.toString());
  }

  private static FleetOutcome run(FleetShape fleet) {
    return SharedEnginesModel.run(fleet, Models.eightyLayers(), 1, LENGTH);
  }
}
