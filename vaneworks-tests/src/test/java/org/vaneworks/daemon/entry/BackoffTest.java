package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.RecordedResponse;

/** Guards against calls to an engine during a backoff that it requested. */
final class BackoffTest {
  private static final int NODES = 8;
  private static final int ENGINES = 3;
  private static final int FULL_ENGINE = 1;
  private static final int BACKOFF_MILLIS = 3000;
  private static final int REQUESTS_PER_SECOND = 28;

  private final SimulatedCluster cluster = new SimulatedCluster(NODES, ENGINES, 7);
  private int sentRequests;
  private final List<RecordedResponse> responses = new ArrayList<>();

  /** Sends requests to the nodes round-robin. */
  private void sendRequests(int seconds) {
    for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
      responses.add(cluster.sendRequest(sentRequests % NODES, "letter " + sentRequests));
      sentRequests++;
      cluster.advance(1000 / REQUESTS_PER_SECOND);
    }
  }

  private long refusals() {
    return responses.stream().filter(response -> response.refusal.isPresent()).count();
  }

  @Test
  void fullEngineGetsNoCallsDuringTheBackoff() {
    sendRequests(6);
    cluster.rejectCalls(FULL_ENGINE, BACKOFF_MILLIS);
    sendRequests(9);
    assertTrue(cluster.backoffsAt(FULL_ENGINE).requestedCount() >= NODES);
    assertEquals(
        0, cluster.backoffsAt(FULL_ENGINE).excess(), cluster.callsDuringBackoffs().toString());
  }

  @Test
  void noRequestIsRefusedWhileOtherEnginesHaveCapacity() {
    sendRequests(6);
    cluster.rejectCalls(FULL_ENGINE, BACKOFF_MILLIS);
    sendRequests(9);
    assertEquals(0, refusals());
  }

  @Test
  void engineIsUsedAsBeforeOnceItsBackoffIsOver() {
    sendRequests(6);
    int before = cluster.backoffsAt(FULL_ENGINE).calls();
    cluster.rejectCalls(FULL_ENGINE, BACKOFF_MILLIS);
    sendRequests(3);
    cluster.acceptCalls(FULL_ENGINE);
    sendRequests(BACKOFF_MILLIS / 1000);
    int callsBefore = cluster.backoffsAt(FULL_ENGINE).calls();
    sendRequests(6);
    int after = cluster.backoffsAt(FULL_ENGINE).calls() - callsBefore;
    assertTrue(after >= 0.7 * before, after + " calls in 6 s, " + before + " before");
  }

  @Test
  void backoffOutlivesTheEntryOfTheEngine() {
    sendRequests(6);
    cluster.rejectCalls(FULL_ENGINE, BACKOFF_MILLIS);
    sendRequests(1);
    cluster.relistEngine(FULL_ENGINE, 300);
    sendRequests(8);
    assertEquals(0, cluster.backoffsAt(FULL_ENGINE).excess());
  }

  @Test
  void stalledStreamsCauseFewStatusCallsDuringTheBackoff() {
    sendRequests(6);
    cluster.stallStreams(FULL_ENGINE, BACKOFF_MILLIS);
    cluster.rejectCalls(FULL_ENGINE, BACKOFF_MILLIS);
    sendRequests(9);
    assertEquals(0, cluster.backoffsAt(FULL_ENGINE).excess());
  }

  @Test
  void requestIsRefusedAtOnceIfAllBackoffsExceedItsTimeout() {
    sendRequests(2);
    for (int engine = 0; engine < ENGINES; engine++) {
      cluster.rejectCalls(engine, 10_000);
    }
    sendRequests(2);
    RecordedResponse response = cluster.sendRequest(0, "now");
    Refusal refusal = response.refusal.orElseThrow();
    assertEquals(Reason.NO_ENDPOINT, refusal.reason());
    assertEquals(Verdict.NOT_RUN, refusal.verdict());
  }

  @Test
  void retryAfterOfARefusalCoversTheBackoffOfAllEngines() {
    sendRequests(2);
    for (int engine = 0; engine < ENGINES; engine++) {
      cluster.rejectCalls(engine, 10_000);
    }
    sendRequests(2);
    long refusedAt = cluster.nowMillis();
    Duration retryAfter =
        cluster.sendRequest(0, "now").refusal.orElseThrow().retryAfter().orElseThrow();
    for (int engine = 0; engine < ENGINES; engine++) {
      cluster.acceptCalls(engine);
    }
    cluster.advance((int) retryAfter.toMillis());
    RecordedResponse retry = cluster.sendRequest(0, "again");
    cluster.advance(1000);
    assertTrue(retry.whole, "retry after " + retryAfter + " from " + refusedAt + " ms");
  }
}
