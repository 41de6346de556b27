package org.vaneworks.tests.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.load.EndpointLimit;
import org.vaneworks.coordination.load.EndpointLoad;
import org.vaneworks.coordination.load.EnginePace;
import org.vaneworks.coordination.load.LoadExchange;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks what a node tells its peers of its load, and what it makes of theirs. */
final class LoadExchangeTest {
  private static final HostPort PEER_1 = new HostPort("10.1.0.1", 7340);
  private static final HostPort PEER_2 = new HostPort("10.1.0.2", 7340);

  /** After that peers have told of what they began beside this node. */
  private static final int LONG_AGO_MILLIS = 3000;

  /** Allowed for what fades and is never quite gone. */
  private static final double EXACT = 1e-6;

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));
  private final List<HostPort> told = new ArrayList<>();
  private final List<LoadReport> reports = new ArrayList<>();
  private LoadReport last;
  private int liveNodes = 3;
  private int bytesOfAReport = 100;
  private ImmutableList<Peer> peers =
      ImmutableList.of(new Peer("one", "dc1", PEER_1), new Peer("two", "dc1", PEER_2));
  private final LoadExchange exchange =
      LoadExchange.create(
          clock,
          fleet,
          "here",
          "dc1",
          () -> peers,
          () -> liveNodes,
          () -> 7,
          (peer, report) -> {
            told.add(peer);
            last = report;
            reports.add(report);
            return bytesOfAReport;
          });
  private final TrackedEndpoint engine = engine();

  private TrackedEndpoint engine() {
    HostPort address = new HostPort("10.0.0.1", 80);
    fleet.put(
        new FleetEndpoint(
            "e1",
            "m",
            address,
            "dc1",
            134,
            false,
            Optional.of(LayerRange.of(0, 80)),
            "large",
            StorePosition.START));
    return fleet.at("m", address).get();
  }

  private void peerTells(String sender, int requests, long tokenLayers) {
    EndpointLoad load =
        new EndpointLoad(EndpointLoad.keyOf(engine.endpoint()), requests, tokenLayers);
    exchange.heard(LoadReport.ofNode(sender, ImmutableList.of(load)));
  }

  /** Lets time pass; then endpoints are looked at to choose from, as before each request. */
  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
    fleet.of("m");
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
    assertEquals(
        ImmutableList.of(new EndpointLoad(EndpointLoad.keyOf(engine.endpoint()), 1, 5000)),
        last.loads());
  }

  @Test
  void requestsOfAllAreThoseOfThisNodeAndItsPeers() {
    exchange.start();
    engine.reserve(5000);
    advance(LONG_AGO_MILLIS);
    peerTells("one", 7, 70_000);
    peerTells("two", 2, 20_000);
    advance(50);
    assertEquals(10, engine.requestsOfAll(), EXACT);
    assertEquals(95_000, engine.tokenLayersOfAll(), EXACT);
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
    advance(LONG_AGO_MILLIS);
    peerTells("one", 5, 50_000);
    advance(50);
    assertEquals(9, engine.requestsOfAll(), EXACT);
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

  @Test
  void otherDataCentresAreToldTheSumOfTheGroup() {
    peers = ImmutableList.of(new Peer("one", "dc1", PEER_1), new Peer("far", "dc2", PEER_2));
    exchange.start();
    engine.reserve(5000);
    advance(10);
    peerTells("one", 7, 70_000);
    advance(80);
    LoadReport sum = reports.stream().filter(LoadReport::ofGroup).findFirst().orElseThrow();
    assertEquals(
        ImmutableList.of(new EndpointLoad(EndpointLoad.keyOf(engine.endpoint()), 8, 75_000)),
        sum.loads());
    assertEquals(2, sum.nodes());
    assertEquals(PEER_2, told.get(reports.indexOf(sum)));
  }

  @Test
  void newestSumOfAGroupCountsWhoeverTellsIt() {
    exchange.start();
    liveNodes = 1;
    advance(50);
    groupTells("far1", "dc2/1/0", 9);
    groupTells("far2", "dc2/1/0", 4);
    groupTells("far3", "dc3/1/0", 2);
    advance(50);
    assertEquals(6, engine.requestsOfAll());
  }

  @Test
  void sumOfThisNodesOwnGroupIsNotCountedTwice() {
    exchange.start();
    liveNodes = 1;
    peerTells("one", 7, 70_000);
    advance(50);
    groupTells("one", "dc1/1/0", 8);
    advance(50);
    assertEquals(7, engine.requestsOfAll());
  }

  @Test
  void manyNodesOfADataCentreMakeSeveralGroups() {
    ImmutableList.Builder<Peer> many = ImmutableList.builder();
    for (int i = 1; i < 64; i++) {
      many.add(new Peer("box-" + i, "dc1", new HostPort("10.1.1." + i, 7340)));
    }
    peers = many.build();
    engine.reserve(5000);
    exchange.start();
    advance(40 * 200);
    long membersTold = told.stream().distinct().count();
    assertTrue(membersTold > 10 && told.size() > 150, membersTold + " of " + told.size());
    assertTrue(last.nodes() == 1, "nobody was heard: " + last);
  }

  @Test
  void pauseFollowsTheSizeOfAReport() {
    bytesOfAReport = 4472;
    exchange.start();
    advance(45);
    assertEquals(1, told.size());
    advance(950);
    assertEquals(1, told.size());
    advance(60);
    assertEquals(2, told.size());
  }

  @Test
  void peersAreTakenToBeginWhatThisNodeBegins() {
    exchange.start();
    liveNodes = 3;
    peerTells("one", 0, 0);
    peerTells("two", 0, 0);
    advance(50);
    engine.reserve(1000);
    assertEquals(3, engine.requestsOfAll());
    assertEquals(3000, engine.tokenLayersOfAll());
    peerTells("one", 0, 0);
    peerTells("two", 0, 0);
    advance(400);
    assertEquals(1, engine.requestsOfAll(), 0.1);
  }

  private void groupTells(String sender, String group, int requests) {
    EndpointLoad load = new EndpointLoad(EndpointLoad.keyOf(engine.endpoint()), requests, 0);
    exchange.heard(
        new LoadReport(
            sender, group, 2, ImmutableList.of(load), ImmutableList.of(), ImmutableList.of(), 0));
  }

  private ImmutableList<EnginePace> slow(double pace) {
    return ImmutableList.of(new EnginePace(EndpointLoad.keyOf(engine.endpoint()), pace));
  }

  private void peerKnowsSlow(String sender, ImmutableList<EnginePace> slow) {
    exchange.heard(LoadReport.ofNode(sender, ImmutableList.of(), slow, ImmutableList.of()));
  }

  /** The load of an engine that turned slow: each of many nodes would find out by a late stream. */
  @Test
  void engineThatAPeerKnowsToBeSlowIsTakenAsSlow() {
    exchange.start();
    peerKnowsSlow("one", slow(5));
    advance(50);
    assertEquals(5, engine.pace());
  }

  @Test
  void engineThatNoPeerCallsSlowAnyMoreIsFastAgain() {
    exchange.start();
    peerKnowsSlow("one", slow(5));
    advance(50);
    peerKnowsSlow("one", ImmutableList.of());
    advance(50);
    assertEquals(1, engine.pace());
  }

  @Test
  void silentPeersWordOfASlowEngineLapses() {
    exchange.start();
    peerKnowsSlow("one", slow(5));
    advance(1600);
    assertEquals(1, engine.pace());
  }

  @Test
  void whatPeersSayOfASlowEngineIsNotToldAsFirstHand() {
    exchange.start();
    peerKnowsSlow("one", slow(5));
    advance(100);
    assertEquals(ImmutableList.of(), last.slow());
  }

  @Test
  void slowEnginesOfTheGroupAreToldToOtherGroups() {
    peers = ImmutableList.of(new Peer("far", "dc2", PEER_2));
    exchange.start();
    peerKnowsSlow("one", slow(5));
    advance(50);
    assertTrue(last.ofGroup());
    assertEquals(slow(5), last.slow());
  }

  @Test
  void loadThatPeersTellOfAFormerRunSaysNothingOfTheNext() {
    FleetEndpoint listed = engine.endpoint();
    exchange.start();
    advance(LONG_AGO_MILLIS);
    peerTells("one", 7, 70_000);
    peerTells("two", 0, 0);
    advance(100);
    assertEquals(7, engine.requestsOfAll(), 0.1);
    engineStartsAgain();
    advance(100);
    assertEquals(0, fleet.at("m", listed.address()).get().requestsOfAll(), 0.1);
  }

  /** Nodes wait for traffic most of a night; each report costs them and their peers time. */
  @Test
  void nodeWithoutRequestsTellsAFifthAsOftenOnceAllWereTold() {
    exchange.start();
    advance(2000);
    told.clear();
    advance(10_000);
    assertEquals(40, told.size(), 1);
  }

  @Test
  void nodeTellsOftenAgainFromItsFirstRequestOn() {
    exchange.start();
    advance(2000);
    engine.reserve(5000);
    advance(250);
    told.clear();
    advance(1000);
    assertEquals(25, told.size(), 1);
  }

  @Test
  void peerThatToldOfNoRequestCountsUntilItsNextReportIsOverdue() {
    exchange.start();
    advance(2000);
    engine.reserve(5000);
    advance(250);
    exchange.heard(LoadReport.ofNode("one", ImmutableList.of()));
    exchange.heard(LoadReport.ofNode("two", ImmutableList.of()));
    advance(1900);
    assertEquals(1, engine.requestsOfAll(), 0.1);
    advance(300);
    assertEquals(3, engine.requestsOfAll(), 0.1);
  }

  private void engineStartsAgain() {
    FleetEndpoint listed = engine.endpoint();
    fleet.put(
        new FleetEndpoint(
            listed.id(),
            listed.service(),
            listed.address(),
            listed.dataCentre(),
            listed.slots(),
            false,
            Optional.empty(),
            listed.accelerator(),
            listed.listedAt(),
            Incarnation.startedAt(2000)));
  }

  private void peerTellsLimit(AdvertisedRateLimit limit, int ageMillis) {
    EndpointLimit told =
        new EndpointLimit(
            EndpointLoad.keyOf(engine.endpoint()), limit, Duration.ofMillis(ageMillis));
    exchange.heard(
        LoadReport.ofNode("one", ImmutableList.of(), ImmutableList.of(), ImmutableList.of(told)));
  }

  private void engineSays(AdvertisedRateLimit limit) {
    fleet.statements().limits().heard(engine, limit);
  }

  @Test
  void limitThatAnEngineNamedIsToldWithItsAge() {
    exchange.start();
    engineSays(AdvertisedRateLimit.of(3));
    advance(200);
    EndpointLimit told = last.limits().get(0);
    assertEquals(AdvertisedRateLimit.of(3), told.stated());
    assertTrue(told.age().toMillis() >= 100 && told.age().toMillis() <= 200, told.toString());
  }

  @Test
  void endOfALimitIsToldForAWhile() {
    exchange.start();
    engineSays(AdvertisedRateLimit.of(3));
    engineSays(AdvertisedRateLimit.none());
    advance(1000);
    assertEquals(AdvertisedRateLimit.none(), last.limits().get(0).stated());
    advance(5000);
    assertEquals(ImmutableList.of(), last.limits());
  }

  @Test
  void limitThatAPeerToldIsInForceAndNotToldAgain() {
    exchange.start();
    peerTellsLimit(AdvertisedRateLimit.of(3), 0);
    advance(200);
    assertEquals(ImmutableList.of(engine), fleet.statements().limits().inForce());
    assertEquals(ImmutableList.of(), last.limits());
  }

  @Test
  void groupsAreToldWhatTheirSendersMembersHeard() {
    peers =
        ImmutableList.of(
            new Peer("one", "dc1", PEER_1), new Peer("far", "dc2", new HostPort("10.2.0.1", 7340)));
    exchange.start();
    peerTellsLimit(AdvertisedRateLimit.of(3), 0);
    advance(300);
    LoadReport ofGroup =
        reports.stream().filter(LoadReport::ofGroup).reduce((first, later) -> later).orElseThrow();
    assertEquals(AdvertisedRateLimit.of(3), ofGroup.limits().get(0).stated());
  }

  @Test
  void newestWordCountsWhoeverHeardIt() {
    engineSays(AdvertisedRateLimit.of(3));
    advance(1000);
    peerTellsLimit(AdvertisedRateLimit.none(), 2000);
    assertEquals(ImmutableList.of(engine), fleet.statements().limits().inForce());
    peerTellsLimit(AdvertisedRateLimit.none(), 100);
    assertEquals(ImmutableList.of(), fleet.statements().limits().inForce());
    peerTellsLimit(AdvertisedRateLimit.of(3), 500);
    assertEquals(ImmutableList.of(), fleet.statements().limits().inForce());
  }

  @Test
  void unreadableWordChangesNothing() {
    engineSays(AdvertisedRateLimit.of(3));
    engineSays(AdvertisedRateLimit.unreadable());
    assertEquals(ImmutableList.of(engine), fleet.statements().limits().inForce());
  }

  @Test
  void limitOfAFormerRunSaysNothingOfTheNext() {
    engineSays(AdvertisedRateLimit.of(3));
    engineStartsAgain();
    peerTellsLimit(AdvertisedRateLimit.of(3), 0);
    assertEquals(ImmutableList.of(), fleet.statements().limits().inForce());
  }

  @Test
  void newestConfigurationThatTheNodeHasSeenIsTold() {
    exchange.start();
    advance(200);
    assertEquals(7, last.configuration());
  }
}
