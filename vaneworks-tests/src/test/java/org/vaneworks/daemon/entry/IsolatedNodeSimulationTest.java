package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.vaneworks.tests.Schedules;

final class IsolatedNodeSimulationTest {
  private static final Schedules SIMULATIONS = new Schedules("isolated node");
  private static final int SEEDS = 5;

  // Guards against nodes that refuse what their peers could serve, because they can't reach any
  // endpoint themselves.
  @Test
  void callersOfNodesThatAreCutOffFromAllEndpointsAreServed() {
    List<String> problems = new ArrayList<>();
    for (EndpointCut cut : EndpointCut.values()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        for (String problem : new IsolatedNodeSimulation(seed, cut).run()) {
          problems.add(cut + " seed " + seed + ": " + problem);
        }
      }
    }
    assertEquals(ImmutableList.of(), problems);
  }

  // Guards against the same, and against lost or repeated runs, while peers restart and stall and
  // engines pause.
  @Property(
      tries = 40,
      seed = "20261206",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void callersAreServedWhilePeersRestart(@ForAll long seed) {
    SIMULATIONS.run(
        seed,
        each -> {
          IsolatedNodeSimulation simulation = IsolatedNodeSimulation.withOtherFaults(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  // Guards against streams that look complete because their engines crashed while their nodes could
  // not reach any engine.
  @Test
  void undelimitedStreamsOfNodesThatAreCutOffAreCompleteOrVisiblyNot() {
    List<String> problems = new ArrayList<>();
    for (EndpointCut cut : List.of(EndpointCut.NEW_REFUSED, EndpointCut.RESET)) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        problems.addAll(IsolatedNodeSimulation.withUndelimitedResponses(seed, cut).run());
      }
    }
    assertEquals(List.of(), problems);
  }

  // Guards against a node whose only peer restarts, and which then tries endpoints that it can't
  // reach.
  @Test
  void requestsGoToTheOnlyPeerAfterItsRestart() {
    assertEquals(ImmutableList.of(), IsolatedNodeSimulation.withOtherFaults(-10787765).run());
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
  }
}
