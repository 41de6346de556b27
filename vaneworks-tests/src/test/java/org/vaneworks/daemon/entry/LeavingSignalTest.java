package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that an engine gets no more requests after its answers announced that it leaves. */
final class LeavingSignalTest {
  private static final int NODES = 8;
  private static final int LEAVING_ENGINE = 1;
  private static final int STOPS_AFTER_MILLIS = 8000;
  private static final int REQUESTS_PER_SECOND = 28;

  private final SimulatedCluster cluster = new SimulatedCluster(NODES, 3, 7);
  private int sentRequests;

  /** Sends requests to the nodes round-robin. */
  private void sendRequests(int seconds) {
    for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
      cluster.sendRequest(sentRequests % NODES, "letter " + sentRequests);
      sentRequests++;
      cluster.advance(1000 / REQUESTS_PER_SECOND);
    }
  }

  /** Guards against nodes that ignore the announcement in an answer. */
  @Test
  void leavingEngineGetsNoRequestsOfNodesThatKnow() {
    sendRequests(3);
    cluster.announceLeavingInAnswers(LEAVING_ENGINE, STOPS_AFTER_MILLIS);
    sendRequests(6);
    assertEquals(0, cluster.arrivalsAfterLeaving(LEAVING_ENGINE));
  }

  /** Guards against an announcement that is lost when the engine's entry expires and reappears. */
  @Test
  void announcementOutlivesTheEntryOfTheEngine() {
    sendRequests(3);
    cluster.announceLeavingInAnswers(LEAVING_ENGINE, STOPS_AFTER_MILLIS);
    sendRequests(1);
    cluster.relistEngine(LEAVING_ENGINE, 300);
    sendRequests(6);
    assertEquals(0, cluster.arrivalsAfterLeaving(LEAVING_ENGINE));
  }
}
