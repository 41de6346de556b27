package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks that a stream whose engine is lost continues elsewhere while its caller waits. */
final class InterruptedStreamTest {
  private static final String WHOLE = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

  /** The limit for sends of any request. */
  private static final int MAX_SENDS = 6;

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

  private void fillCapacity(FleetEndpoint other) {
    node.fleet
        .find(ForwardingFixture.MODEL, other.address())
        .orElseThrow()
        .setPeerLoad(100, 1e9, 1);
  }

  private void registerFullEngines() {
    for (int number = 2; number <= 5; number++) {
      fillCapacity(node.engine(number, 20 * (number - 2), 20 * (number - 1)));
    }
  }

  private void freeCapacity() {
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
  }

  private void continueFrom(int event) {
    for (int id = event; id <= 3; id++) {
      running.event(id);
    }
    running.end();
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

  // Guards against a stream on a third live engine; those that had it lose connections, but run.
  @Test
  void streamRunsOnNoMoreLiveEnginesThanRouteAllows() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    startStream("/stream/x");
    Set<FleetEndpoint> engines = new HashSet<>();
    for (int sends = 1; sends <= MAX_SENDS; sends++) {
      assertEquals(sends, node.sent.size(), "sends");
      SentAttempt last = node.lastAttempt();
      engines.add(last.attempt.endpoint());
      disconnect(last);
      node.advance(100);
      boolean again = sends < MAX_SENDS;
      assertEquals(!again, response.cut, "cut");
      if (again) {
        assertNotEquals(last.attempt.endpoint(), node.lastAttempt().attempt.endpoint());
      }
    }
    assertEquals(MAX_SENDS, node.sent.size(), "sends");
    assertEquals(2, engines.size(), "engines");
  }

  // Guards against aborting a stream before it is known that the engine that it lost has crashed.
  @Test
  void streamContinuesAfterCrashThatIsKnownLater() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    startStream("/stream/x");
    disconnect(running);
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    disconnect(running);
    assertFalse(response.cut, "cut");
    FleetEndpoint crashed = running.attempt.endpoint();
    node.fleet.recordConnectionRefused(
        node.fleet.find(ForwardingFixture.MODEL, crashed.address()).orElseThrow());
    node.advance(100);
    assertEquals(3, node.sent.size(), "sends");
    running = node.lastAttempt();
    running.head(200);
    continueFrom(3);
    assertWhole();
  }

  // Guards against aborting an interrupted stream although its caller still waits.
  @Test
  void streamWaitsForCapacityAsLongAsItsCaller() {
    node.engine(1, 0, 80);
    startStream("/patient/x");
    registerFullEngines();
    node.fleet.withdraw("e1", "test");
    disconnect(running);
    node.advance(4000);
    assertEquals(1, node.sent.size(), "sends without capacity");
    assertFalse(response.cut, "cut while its caller waits");
    freeCapacity();
    node.advance(100);
    assertEquals(2, node.sent.size(), "sends");
    running = node.lastAttempt();
    running.head(200);
    continueFrom(2);
    assertWhole();
  }

  // Guards against aborting interrupted streams because the node started few requests lately.
  @Test
  void streamsOfOneEngineWaitForCapacityTogether() {
    node.engine(1, 0, 80);
    List<RecordedResponse> responses = new ArrayList<>();
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      startStream("/stream/" + i);
      responses.add(response);
      streams.add(running);
    }
    for (int id = 2; id < 40; id++) {
      node.advance(200);
      for (SentAttempt stream : streams) {
        stream.event(id);
      }
    }
    registerFullEngines();
    node.fleet.withdraw("e1", "test");
    streams.forEach(this::disconnect);
    node.advance(300);
    assertEquals(8, node.sent.size(), "sends without capacity");
    freeCapacity();
    node.advance(300);
    long cut = responses.stream().filter(each -> each.cut).count();
    assertEquals(0, cut, "streams cut");
    assertEquals(16, node.sent.size(), "sends");
  }

  // Guards against using up the sends of a stream at an engine whose box refuses connections.
  @Test
  void streamIsNotSentAgainToEngineThatRefusedItsConnection() {
    node.engine(1, 0, 80);
    startStream("/stream/x");
    running.listener.failed(false, new IllegalStateException("reset"));
    assertEquals(2, node.sent.size(), "sends");
    ConnectException cause = new ConnectException("Connection refused");
    node.lastAttempt().listener.failed(true, new ConnectionRefusedException(cause));
    node.advance(100);
    assertEquals(2, node.sent.size(), "sends after the refusal");
    assertFalse(response.cut, "cut");
    node.engine(2, 0, 80);
    node.advance(100);
    running = node.lastAttempt();
    running.head(200);
    continueFrom(2);
    assertWhole();
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

  // Guards against sending a stream again whose engine has completed it and forgotten it.
  @Test
  void streamThatItsEngineHasCompletedIsNotSentAgain() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    startStream("/stream/x");
    node.engine(7, 40, 80);
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    var lost = node.fleet.find(ForwardingFixture.MODEL, later.address()).orElseThrow();
    node.fleet.recordConnectionRefused(lost);
    node.fleet.suspect(lost, "its box refuses connections");
    node.clock.runDue();
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
    assertFalse(running.cancelled, "cancelled");
    continueFrom(2);
    assertEquals(1, node.sent.size(), "sends");
    assertWhole();
  }

  private void suspect(FleetEndpoint engine) {
    node.control.dead.add(engine.address());
    node.fleet.suspect(
        node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow(), "test");
  }

  private void recover(FleetEndpoint engine) {
    node.control.dead.remove(engine.address());
    node.advance(2500);
    assertFalse(
        node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow().suspected());
  }

  // Guards against a stream that waits for a lost engine although another one has become available.
  @Test
  void streamThatCannotFailOverIsReroutedWhenEngineBecomesAvailable() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    startStream("/once/x");
    suspect(later);
    node.advance(1500);
    assertEquals(0, node.control.repathedPaths.size(), "path changes without another engine");
    node.engine(7, 40, 80);
    node.advance(1000);
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
    continueFrom(2);
    assertWhole();
  }

  // Guards against a stream that waits for a lost engine although another one has become available.
  @Test
  void streamWithoutAttemptsLeftIsReroutedWhenEngineBecomesAvailable() {
    node.engine(1, 0, 80);
    startStream("/stream/x");
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    disconnect(running);
    node.fleet.withdraw("e1", "test");
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    suspect(later);
    node.advance(1500);
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(0, node.control.repathedPaths.size(), "path changes without another engine");
    node.engine(7, 40, 80);
    node.advance(1000);
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
    continueFrom(3);
    assertWhole();
  }

  // Guards against a stream that stays on a lost engine which had recovered from a suspicion
  // before.
  @Test
  void streamIsReroutedWhenEngineIsLostAfterItRecovered() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    startStream("/stream/x");
    suspect(later);
    node.control.dead.remove(later.address());
    node.advance(2500);
    running.event(2);
    node.engine(7, 40, 80);
    suspect(later);
    node.advance(500);
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
    continueFrom(3);
    assertWhole();
  }

  // Guards against sending a stream to an engine on which a previous attempt continues.
  @Test
  void replacementThatDidNotConnectIsNotSentToEngineOfPreviousAttempt() {
    FleetEndpoint first = node.engine(1, 0, 80);
    startStream("/thrice/x");
    FleetEndpoint second = node.engine(2, 0, 80);
    node.advance(300);
    suspect(first);
    assertEquals(2, node.sent.size(), "sends");
    SentAttempt replacement = node.lastAttempt();
    replacement.arrived = false;
    recover(first);
    suspect(second);
    node.advance(500);
    assertEquals(2, node.sent.size(), "sends");
    continueFrom(2);
    assertWhole();
    node.fleet.all().forEach(any -> assertEquals(0, any.inFlight(), any.toString()));
  }
}
