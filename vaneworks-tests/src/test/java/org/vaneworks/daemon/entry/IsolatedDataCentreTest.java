package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.vaneworks.daemon.entry.IsolatedNodeSimulation.FleetSize;
import org.vaneworks.tests.Schedules;

/** Tests fleets of which whole data centres, or most nodes, are cut off from all endpoints. */
final class IsolatedDataCentreTest {
  private static final FleetSize FLEET = new FleetSize(69, 4, 60, 300);
  private static final FleetSize LARGE_FLEET = new FleetSize(350, 3, 60, 350);
  private static final ImmutableList<EndpointCut> CUTS =
      ImmutableList.of(
          EndpointCut.HANG, EndpointCut.RESET, EndpointCut.NEW_REFUSED, EndpointCut.ANSWERS_HELD);

  private static final Schedules SIMULATIONS = new Schedules("isolated data centre");

  private final List<String> problems = new ArrayList<>();

  private void run(FleetSize fleet, EndpointCut cut, ImmutableSet<Integer> isolated) {
    IsolatedNodeSimulation simulation = new IsolatedNodeSimulation(1, cut, fleet, isolated);
    String name = String.format("%s, %s of %s: ", cut, isolated.size(), fleet.nodes());
    simulation.run().forEach(problem -> problems.add(name + problem));
    System.out.println(name + simulation.counts());
  }

  private void assertNoProblems() {
    assertEquals(ImmutableList.of(), problems);
  }

  // Guards against nodes that give up the search for a peer among those of their own data centre,
  // all of which are cut off as well, the sooner the more of them there are.
  @Test
  void callersOfDataCentresThatAreCutOffAsAWholeAreServed() {
    for (EndpointCut cut : CUTS) {
      for (int dataCentres = 1; dataCentres < FLEET.dataCentres(); dataCentres++) {
        run(FLEET, cut, FLEET.nodesOf(dataCentres));
      }
    }
    run(LARGE_FLEET, EndpointCut.HANG, LARGE_FLEET.nodesOf(1));
    run(LARGE_FLEET, EndpointCut.NEW_REFUSED, LARGE_FLEET.nodesOf(1));
    assertNoProblems();
  }

  // Guards against a search that does not find the few peers that still reach endpoints, or that
  // begins anew with each request.
  @Test
  void callersAreServedWhileMostNodesAreCutOff() {
    for (EndpointCut cut : CUTS) {
      run(FLEET, cut, FLEET.anyNodes(62, new Random(1)));
    }
    assertNoProblems();
  }

  // Guards against requests that circulate among nodes, or wait, while no node reaches an endpoint.
  @Test
  void requestsAreRefusedAtOnceWhileNoNodeReachesAnEndpoint() {
    for (EndpointCut cut : CUTS) {
      run(FLEET, cut, FLEET.nodesOf(FLEET.dataCentres()));
    }
    assertNoProblems();
  }

  // Guards against faults that need a fleet, or a part that is cut off, of a size that is not
  // among the above, and nodes that restart and stall meanwhile.
  @Property(
      tries = 6,
      seed = "20261204",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void callersAreServedInFleetsOfAnySize(@ForAll long seed) {
    SIMULATIONS.run(
        seed,
        each -> {
          IsolatedNodeSimulation simulation = IsolatedNodeSimulation.ofRandomFleet(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
  }
}
