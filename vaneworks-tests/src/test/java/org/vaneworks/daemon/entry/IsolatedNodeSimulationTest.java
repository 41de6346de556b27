package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

final class IsolatedNodeSimulationTest {
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
    Assertions.assertEquals(ImmutableList.of(), problems);
  }
}
