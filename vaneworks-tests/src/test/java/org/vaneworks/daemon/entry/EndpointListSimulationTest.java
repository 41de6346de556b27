package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.vaneworks.tests.Schedules;

/** Runs random simulations with disconnects, outages, expired entries and leaving endpoints. */
final class EndpointListSimulationTest {
  private static final Schedules SIMULATIONS = new Schedules("listing");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void exactlyTheLiveEndpointsAreInUse(@ForAll long seed) {
    SIMULATIONS.run(seed, EndpointListSimulation::run);
  }

  /**
   * An outage and two disconnects follow each other without a read of the store in between, and all
   * endpoints that the node knew leave meanwhile. No entry outlives the faults, so only the longer
   * bound holds.
   */
  @Example
  void allKnownEndpointsLeaveWhileTheNodeIsDisconnected() {
    assertEquals(
        ImmutableList.of(), EndpointListSimulation.run(-691_308_409_820_403_680L).problems());
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
  }
}
