package org.vaneworks.tests.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.DataCentreLinks;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.LinkReservation;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.LinkProfile;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.placement.Models;

/**
 * Guards against more crossings between data centres than their link passes. The load: four engines
 * of one data centre end at once, so its layers are held only elsewhere, and all requests look for
 * paths that cross.
 */
final class LinkReservationTest {
  /** A prompt of 772 tokens and an answer of 138 take 171 Mbit on a link of 800 Mbit/s. */
  private static final LinkProfile LINK = new LinkProfile(0.187984, 800);

  private static final RequestSize SIZE = new RequestSize(772, 138);

  private final Fleet fleet =
      Fleet.create(
          PausedExecutor.create(), Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));
  private final DataCentreLinks links = fleet.links();
  private final PathPlanner planner = PathPlanner.create(new Random(1));

  private void listEngine(String id, String dataCentre, int from, int to) {
    fleet.put(
        new FleetEndpoint(
            id,
            "m",
            new HostPort("10.0.0.1", 8000 + id.charAt(0)),
            dataCentre,
            134,
            false,
            Optional.of(LayerRange.of(from, to)),
            "large",
            StorePosition.START));
  }

  private void listHalvesInTwoDataCentres() {
    listEngine("a", "dc1", 0, 40);
    listEngine("b", "dc2", 40, 80);
  }

  private Optional<EnginePath> plan(double maxMegabits) {
    PathPlanner.LinkRoom room =
        (from, to) -> links.reservedMegabits(from, to) + megabits() <= maxMegabits;
    return planner.plan(
        new PathPlanner.Query(Models.eightyLayers(), SIZE, "dc1", 0, room), fleet.listed("m"));
  }

  private static double megabits() {
    return SIZE.tokens() * LINK.megabitsPerToken();
  }

  @Test
  void pathsCrossOnlyWhileTheLinkHasRoom() {
    listHalvesInTwoDataCentres();
    List<LinkReservation> reservations = new ArrayList<>();
    // The objective of 0.5 s allows 400 Mbit, which two requests nearly use up.
    for (Optional<EnginePath> path = plan(400); path.isPresent(); path = plan(400)) {
      reservations.add(LinkReservation.reserve(links, LINK, path.get(), SIZE));
    }
    assertEquals(2, reservations.size());
    reservations.get(0).recordPromptPassed();
    assertTrue(plan(400).isPresent(), "the prompt of the first request has passed the link");
  }

  @Test
  void fullLinkDoesNotBlockPathsWithinADataCentre() {
    listHalvesInTwoDataCentres();
    listEngine("c", "dc2", 0, 40);
    EnginePath path = plan(0).orElseThrow();
    assertEquals("dc2", path.first().endpoint().dataCentre());
  }

  @Test
  void eventAndEndReleaseEachReservationOnce() {
    listHalvesInTwoDataCentres();
    LinkReservation reservation =
        LinkReservation.reserve(links, LINK, plan(400).orElseThrow(), SIZE);
    assertEquals(megabits(), links.reservedMegabits("dc2", "dc1"), 0.01);
    reservation.recordPromptPassed();
    reservation.recordPromptPassed();
    assertEquals(138 * LINK.megabitsPerToken(), links.reservedMegabits("dc1", "dc2"), 0.01);
    reservation.release();
    reservation.release();
    reservation.recordPromptPassed();
    assertEquals(0, links.reservedMegabits("dc1", "dc2"));
    assertTrue(links.ownLoads().isEmpty());
  }

  @Test
  void requestsOfPeersCountAndAreForgottenWithTheirReports() {
    ImmutableMap<Integer, Double> reported =
        ImmutableMap.of(DataCentreLinks.keyOf("dc2", "dc1"), 300.0);
    links.setPeerLoads(reported, 2, 0, 1);
    assertEquals(600, links.reservedMegabits("dc1", "dc2"), 0.01);
    links.setPeerLoads(ImmutableMap.of(), 1, 0, 1);
    assertEquals(0, links.reservedMegabits("dc1", "dc2"));
  }

  // Nodes that decide between two reports must not all use the same room.
  @Test
  void peersWithTheSameViewAreAssumedToCrossAsWell() {
    listHalvesInTwoDataCentres();
    links.setPeerLoads(ImmutableMap.of(), 1, 3, 1);
    LinkReservation.reserve(links, LINK, plan(1e9).orElseThrow(), SIZE);
    assertEquals(4 * megabits(), links.reservedMegabits("dc1", "dc2"), 0.01);
    links.setPeerLoads(ImmutableMap.of(), 1, 3, 0.5);
    assertEquals(2.5 * megabits(), links.reservedMegabits("dc1", "dc2"), 0.01);
  }
}
