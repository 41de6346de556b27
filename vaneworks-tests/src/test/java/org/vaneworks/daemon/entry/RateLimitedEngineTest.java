package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.RecordedResponse;

/**
 * Checks that all nodes together keep to the rate limit that an engine advertises.
 *
 * <p>Guards against an incident in which an engine advertised 3.3 requests per second in its
 * answers, but still got some nine per second. All eight nodes had passed on such answers, but none
 * of them read the limit, and they selected engines by load only. By the log event of the first
 * answer with a limit, nodes that had received one sent 24 requests too many in four seconds, all
 * of them first attempts.
 */
final class RateLimitedEngineTest {
  private static final int NODES = 8;
  private static final int ENGINES = 3;
  private static final int LIMITED_ENGINE = 1;
  private static final double LIMIT = 3.3;
  private static final int REQUESTS_PER_SECOND = 28;

  private SimulatedCluster cluster = new SimulatedCluster(NODES, ENGINES, 7);
  private int nodes = NODES;
  private int sentRequests;
  private final List<RecordedResponse> responses = new ArrayList<>();

  /** Sends requests to the nodes round-robin. */
  private void sendRequests(int seconds, int perSecond) {
    for (int i = 0; i < seconds * perSecond; i++) {
      RecordedResponse response =
          cluster.sendRequest(sentRequests % nodes, "letter " + sentRequests);
      responses.add(response);
      sentRequests++;
      cluster.advance(1000 / perSecond);
    }
  }

  private void sendRequests(int seconds) {
    sendRequests(seconds, REQUESTS_PER_SECOND);
  }

  private EngineArrivals limitedEngine() {
    return cluster.arrivalsAt(LIMITED_ENGINE);
  }

  private void advertise(AdvertisedRateLimit limit) {
    limitedEngine().advertise(limit, cluster.nowMillis());
  }

  private long refusals() {
    return responses.stream().filter(response -> response.refusal.isPresent()).count();
  }

  @Test
  void allNodesTogetherKeepToTheLimit() {
    sendRequests(8);
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(12);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
  }

  @Test
  void limitOfASecondEngineHoldsToo() {
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(12);
    cluster.arrivalsAt(2).advertise(AdvertisedRateLimit.of(4.1), cluster.nowMillis());
    sendRequests(12);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
    assertEquals(0, cluster.arrivalsAt(2).excess(cluster.nowMillis()));
  }

  @Test
  void limitedEngineIsStillUsedWhileOthersHaveCapacity() {
    cluster = new SimulatedCluster(NODES, ENGINES, ENGINES, 7);
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(5);
    long from = cluster.nowMillis();
    sendRequests(20);
    long arrivals = limitedEngine().between(from, cluster.nowMillis());
    assertTrue(arrivals >= 20 && arrivals <= LIMIT * 20, arrivals + " requests in 20 s");
  }

  @Test
  void noRequestIsRefusedWhileOtherEnginesHaveCapacity() {
    sendRequests(2);
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(20);
    assertEquals(0, refusals());
  }

  @Test
  void engineIsUsedAsBeforeOnceItsLimitIsRemoved() {
    sendRequests(10);
    long usual = limitedEngine().between(cluster.nowMillis() - 5000, cluster.nowMillis());
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(10);
    advertise(AdvertisedRateLimit.none());
    sendRequests(3);
    long from = cluster.nowMillis();
    sendRequests(5);
    long after = limitedEngine().between(from, cluster.nowMillis());
    assertTrue(after >= 0.7 * usual, after + " requests in 5 s, " + usual + " before");
  }

  @Test
  void limitHoldsIfLoadReportsAreLost() {
    cluster.dropLoadReports = true;
    sendRequests(5);
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(60);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
    assertEquals(0, refusals());
  }

  @Test
  void limitHoldsWhileNodesRestart() {
    advertise(AdvertisedRateLimit.of(LIMIT));
    sendRequests(5);
    for (int node = 0; node < NODES; node++) {
      cluster.restartNode(node);
      sendRequests(3);
    }
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
  }

  /** Guards against a limit that is lost when the engine's entry expires. */
  @Test
  void limitOutlivesTheEntryOfTheEngine() {
    cluster.dropLoadReports = true;
    sendRequests(3);
    advertise(AdvertisedRateLimit.of(0.5));
    sendRequests(6);
    for (int i = 0; i < 6; i++) {
      cluster.relistEngine(LIMITED_ENGINE, 300);
      sendRequests(1);
    }
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
  }

  @Test
  void limitHoldsWithEighteenNodesInThreeDataCentres() {
    nodes = 18;
    cluster = new SimulatedCluster(nodes, 6, 3, 7);
    sendRequests(5, 125);
    advertise(AdvertisedRateLimit.of(2));
    sendRequests(30, 125);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
    long arrivals = limitedEngine().between(cluster.nowMillis() - 20_000, cluster.nowMillis());
    assertTrue(arrivals >= 0.5 * 2 * 20 && arrivals <= 2 * 20, arrivals + " requests in 20 s");
  }

  @Test
  void limitHoldsWithManyMoreNodesThanRequestsPerSecond() {
    nodes = 120;
    cluster = new SimulatedCluster(nodes, 4, 7);
    sendRequests(5, 250);
    advertise(AdvertisedRateLimit.of(1.5));
    sendRequests(30, 250);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
    long arrivals = limitedEngine().between(cluster.nowMillis() - 20_000, cluster.nowMillis());
    assertTrue(arrivals >= 0.5 * 1.5 * 20 && arrivals <= 1.5 * 20, arrivals + " requests in 20 s");
  }

  @Test
  void engineWithLimitZeroIsProbedAndUsedOnceTheLimitIsRemoved() {
    sendRequests(3);
    advertise(AdvertisedRateLimit.of(0));
    sendRequests(20);
    assertEquals(0, limitedEngine().excess(cluster.nowMillis()));
    advertise(AdvertisedRateLimit.none());
    sendRequests(15);
    long arrivals = limitedEngine().between(cluster.nowMillis() - 3000, cluster.nowMillis());
    assertTrue(arrivals > REQUESTS_PER_SECOND / 2, arrivals + " requests in 3 s");
  }

  @Test
  void onlyEngineGetsNearlyItsWholeLimit() {
    cluster = new SimulatedCluster(NODES, 1, 7);
    sendRequests(3);
    cluster.arrivalsAt(0).advertise(AdvertisedRateLimit.of(LIMIT), cluster.nowMillis());
    sendRequests(40);
    assertEquals(0, cluster.arrivalsAt(0).excess(cluster.nowMillis()));
    long arrivals =
        cluster.arrivalsAt(0).between(cluster.nowMillis() - 20_000, cluster.nowMillis());
    assertTrue(arrivals >= 0.8 * LIMIT * 20, arrivals + " requests in 20 s");
  }

  @Test
  void nodeWithoutAShareOfTheOnlyEngineRefusesAtOnceAsNotRun() {
    cluster = new SimulatedCluster(NODES, 1, 7);
    sendRequests(3);
    // The limit is so low that one node has the whole share.
    cluster.arrivalsAt(0).advertise(AdvertisedRateLimit.of(0.9), cluster.nowMillis());
    sendRequests(3);
    int refused = 0;
    for (int node = 0; node < NODES; node++) {
      Optional<Refusal> refusal = cluster.sendRequest(node, "now").refusal;
      refused += refusal.isPresent() ? 1 : 0;
      refusal.ifPresent(
          given -> {
            assertEquals(Reason.NO_ENDPOINT, given.reason());
            assertEquals(Verdict.NOT_RUN, given.verdict());
            assertTrue(given.retryAfter().isPresent());
          });
    }
    assertTrue(refused >= NODES - 1, refused + " nodes refused");
  }
}
