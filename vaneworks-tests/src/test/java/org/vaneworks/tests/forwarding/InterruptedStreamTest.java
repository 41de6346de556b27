package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks that a stream whose engine is lost continues elsewhere while its caller waits. */
final class InterruptedStreamTest {
  private static final String WHOLE = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

  private final ForwardingFixture node = new ForwardingFixture();
  private RecordedResponse response;
  private SentAttempt running;

  private void startStream(String path) {
    response = node.request(path);
    running = node.lastAttempt();
    running.head(200);
    running.event(1);
  }

  private void disconnect(SentAttempt attempt) {
    attempt.listener.failed(false, new IllegalStateException("reset"));
    node.clock.runDue();
  }

  /** Ends the process of an engine, whose box then refuses connections. */
  private void crash(SentAttempt attempt) {
    node.control.refusing.add(attempt.attempt.endpoint().address());
    disconnect(attempt);
  }

  private void continueFrom(int event) {
    for (int id = event; id <= 3; id++) {
      running.event(id);
    }
    running.listener.end();
  }

  private void assertWhole() {
    assertFalse(response.cut, "cut");
    assertTrue(response.whole, "whole");
    assertEquals(WHOLE, response.body);
  }

  // Guards against aborting a stream because the engines on which it ran before have crashed.
  @Test
  void streamContinuesAfterSecondCrashOfItsEngine() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    startStream("/stream/x");
    crash(running);
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    crash(running);
    assertEquals(3, node.sent.size(), "sends");
    running = node.lastAttempt();
    running.head(200);
    continueFrom(3);
    assertWhole();
  }

  // Control case: the first engine lost its connections, but still runs.
  @Test
  void streamRunsOnNoMoreLiveEnginesThanRouteAllows() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    startStream("/stream/x");
    disconnect(running);
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    disconnect(running);
    assertEquals(2, node.sent.size(), "sends");
    assertTrue(response.cut, "cut");
  }

  // Guards against cancelling a replacement because the previous engine refused the request.
  @Test
  void replacementContinuesWhenPreviousEngineRefusesRequest() {
    node.engine(1, 0, 80);
    startStream("/thrice/x");
    FleetEndpoint second = node.engine(2, 0, 80);
    disconnect(running);
    SentAttempt previous = node.lastAttempt();
    assertEquals(second, previous.attempt.endpoint());
    node.control.dead.add(second.address());
    node.fleet.withdraw("e1", "test");
    node.engine(3, 0, 80);
    node.advance(1000);
    assertEquals(3, node.sent.size(), "sends");
    running = node.lastAttempt();
    previous.notRun(503, Optional.empty());
    assertFalse(running.cancelled, "cancelled");
    running.head(200);
    continueFrom(2);
    assertWhole();
    node.fleet.all().forEach(any -> assertEquals(0, any.inFlight(), any.toString()));
  }
}
