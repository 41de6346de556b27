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

/** Runs random courses of cuts, outages, lapsed entries and leavings. */
final class EndpointListSimulationTest {
  private static final Schedules SCHEDULES = new Schedules("listing");

  @Property(
      tries = Schedules.TRIES,
      seed = Schedules.SEED,
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void endpointsInUseAreThoseThatLive(@ForAll long seed) {
    SCHEDULES.run(seed, EndpointListSimulation::run);
  }

  /**
   * An outage and two cuts follow each other without a view in between, and all endpoints that the
   * node knew leave meanwhile: nothing outlived the silence, so only the longer bound holds.
   */
  @Example
  void courseInWhichAllKnownEndpointsLeaveDuringOneSilence() {
    assertEquals(ImmutableList.of(), EndpointListSimulation.run(-691_308_409_820_403_680L).problems());
  }

  @AfterContainer
  static void report() {
    SCHEDULES.report();
  }
}
