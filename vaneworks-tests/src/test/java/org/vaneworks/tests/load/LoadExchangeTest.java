package org.vaneworks.tests.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.LoadExchange;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks what a node tells its peers of its load, and what it makes of theirs. */
final class LoadExchangeTest {
  private static final HostPort PEER_1 = new HostPort("10.1.0.1", 7340);
  private static final HostPort PEER_2 = new HostPort("10.1.0.2", 7340);

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));
  private final List<HostPort> told = new ArrayList<>();
  private LoadReport last;
  private int liveNodes = 3;
  private final LoadExchange exchange =
      LoadExchange.create(
          clock,
          fleet,
          "here",
          () -> ImmutableList.of(PEER_1, PEER_2),
          () -> liveNodes,
          (peer, report) -> {
            told.add(peer);
            last = report;
          });
  private final TrackedEndpoint engine = engine();

  private TrackedEndpoint engine() {
    HostPort address = new HostPort("10.0.0.1", 80);
    fleet.put(
        new FleetEndpoint(
            "e1", "m", address, "dc1", 134, false, Optional.of(LayerRange.of(0, 80)), "large", 0));
    return fleet.at(address).get();
  }

  private void peerTells(String sender, int requests, long tokenLayers) {
    EndpointLoad load = new EndpointLoad(EndpointLoad.keyOf("e1"), requests, tokenLayers);
    exchange.heard(new LoadReport(sender, ImmutableList.of(load)));
  }

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  @Test
  void peersAreToldInTurn() {
    exchange.start();
    advance(170);
    assertEquals(List.of(PEER_2, PEER_1, PEER_2, PEER_1), told);
  }

  @Test
  void onlyOwnRequestsAreTold() {
    exchange.start();
    engine.reserve(5000);
    peerTells("other", 7, 70_000);
    advance(100);
    assertEquals(ImmutableList.of(new EndpointLoad("e1".hashCode(), 1, 5000)), last.loads());
  }

  @Test
  void requestsOfAllAreThoseOfThisNodeAndItsPeers() {
    exchange.start();
    engine.reserve(5000);
    peerTells("one", 7, 70_000);
    peerTells("two", 2, 20_000);
    advance(50);
    assertEquals(10, engine.requestsOfAll());
    assertEquals(95_000, engine.tokenLayersOfAll());
  }

  @Test
  void newerReportReplacesTheOneBefore() {
    exchange.start();
    peerTells("one", 7, 70_000);
    peerTells("two", 0, 0);
    peerTells("one", 3, 30_000);
    advance(50);
    assertEquals(3, engine.requestsOfAll());
  }

  @Test
  void nodesThatWereNotHeardAreTakenToBeLikeTheOthers() {
    exchange.start();
    engine.reserve(5000);
    advance(50);
    assertEquals(3, engine.requestsOfAll());
    peerTells("one", 5, 50_000);
    advance(50);
    assertEquals(9, engine.requestsOfAll());
  }

  @Test
  void peerThatIsNoLongerHeardIsForgotten() {
    exchange.start();
    liveNodes = 1;
    peerTells("one", 7, 70_000);
    advance(1400);
    assertEquals(7, engine.requestsOfAll());
    advance(200);
    assertEquals(0, engine.requestsOfAll());
  }

  @Test
  void ownReportThatComesBackIsIgnored() {
    exchange.start();
    liveNodes = 1;
    peerTells("here", 7, 70_000);
    advance(50);
    assertEquals(0, engine.requestsOfAll());
  }

  @Test
  void nothingIsToldAfterTheStop() {
    exchange.start();
    exchange.stop();
    advance(500);
    assertEquals(List.of(), told);
  }
}
