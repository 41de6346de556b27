package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/**
 * Checks that an interrupted stream whose attempts are used returns to engines that had it, and is
 * sent to no other.
 */
final class ReturningStreamTest {
  private static final String WHOLE = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

  /** Time after which an engine that crashed with its connection is known to have ended. */
  private static final int CRASH_DETECTION_MILLIS = 100;

  /** Three quarters of the time for which callers wait for the next event. */
  private static final int RESUMABLE_MILLIS = 1500;

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

  private TrackedEndpoint tracked(FleetEndpoint engine) {
    return node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow();
  }

  private void makeUnresponsive(FleetEndpoint engine) {
    node.control.dead.add(engine.address());
    node.advance(400);
    assertTrue(tracked(engine).suspected(), engine + " is suspected");
  }

  private void recover(FleetEndpoint engine) {
    node.control.dead.remove(engine.address());
    for (int i = 0; i < 100 && tracked(engine).suspected(); i++) {
      node.advance(20);
    }
    assertFalse(tracked(engine).suspected(), engine + " is suspected");
  }

  private Set<String> endpoints() {
    return node.sent.stream()
        .map(attempt -> attempt.attempt.endpoint().id())
        .collect(Collectors.toSet());
  }

  private void continueFrom(int event) {
    running = node.lastAttempt();
    running.head(200);
    for (int id = event; id <= 3; id++) {
      running.event(id);
    }
    running.end();
  }

  private void assertWhole() {
    assertFalse(response.cut, "cut");
    assertTrue(response.whole, "whole");
    assertEquals(WHOLE, response.body);
    assertNothingReserved();
  }

  private void assertNothingReserved() {
    node.fleet.all().forEach(any -> assertEquals(0, any.inFlight(), any.toString()));
    assertEquals(0, node.forwarder.inFlight());
  }

  /** A stream at an engine that is suspected, so that a second one got it as well. */
  private final class TwoEngines {
    final FleetEndpoint first = node.engine(1, 0, 80);
    final FleetEndpoint second;
    final SentAttempt replacement;

    TwoEngines() {
      startStream("/stream/x");
      second = node.engine(2, 0, 80);
      makeUnresponsive(first);
      assertEquals(2, node.sent.size(), "sends");
      replacement = node.lastAttempt();
      assertEquals(second, replacement.attempt.endpoint());
    }

    /** Lets the second engine deliver, which ends the attempt at the first one. */
    void replaced() {
      replacement.head(200);
      replacement.event(2);
      assertTrue(running.cancelled, "cancelled");
      running = replacement;
    }

    /** Lets the first engine deliver, which ends the attempt at the second one. */
    void superseded() {
      running.event(2);
      assertTrue(replacement.cancelled, "cancelled");
    }
  }

  // Guards against cutting a stream whose replacement breaks off though its first engine lives.
  @Test
  void streamReturnsToFirstEngineWhenReplacementBreaksOff() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    recover(engines.first);
    node.engine(3, 0, 80);
    disconnect(running);
    node.advance(CRASH_DETECTION_MILLIS);
    assertFalse(response.cut, "cut");
    assertEquals(3, node.sent.size(), "sends");
    assertEquals(engines.first, node.lastAttempt().attempt.endpoint());
    assertEquals(Optional.of("2"), node.lastAttempt().attempt.resumeAfter());
    continueFrom(3);
    assertWhole();
  }

  // Guards against cutting a stream whose engine breaks off after it was superseded in vain.
  @Test
  void streamReturnsToReplacementWhenFirstEngineBreaksOff() {
    TwoEngines engines = new TwoEngines();
    engines.superseded();
    node.engine(3, 0, 80);
    disconnect(running);
    node.advance(CRASH_DETECTION_MILLIS);
    assertFalse(response.cut, "cut");
    assertEquals(3, node.sent.size(), "sends");
    assertEquals(engines.second, node.lastAttempt().attempt.endpoint());
    continueFrom(3);
    assertWhole();
  }

  // Guards against cutting the stream of a route with one attempt whose engine lives.
  @Test
  void streamWithOneAttemptReturnsToItsEngine() {
    node.engine(1, 0, 80);
    startStream("/single/x");
    node.engine(2, 0, 80);
    disconnect(running);
    assertEquals(1, node.sent.size(), "sends before it is known whether the engine crashed");
    node.advance(CRASH_DETECTION_MILLIS);
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(Set.of("e1"), endpoints());
    continueFrom(2);
    assertWhole();
  }

  // Guards against a stream that is cut at once, or waits longer than its caller, while none of
  // its engines is usable.
  @Test
  void streamWaitsForItsEnginesAsLongAsItsCaller() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    node.engine(3, 0, 80);
    node.fleet.suspect(tracked(engines.second), "test");
    node.control.dead.add(engines.second.address());
    disconnect(running);
    node.advance(RESUMABLE_MILLIS - 100);
    assertFalse(response.cut, "cut while its caller waits");
    node.advance(200);
    assertTrue(response.cut, "cut");
    assertEquals(2, node.sent.size(), "sends");
    assertNothingReserved();
  }

  // Guards against a stream that waits on for its engines after one of them has recovered.
  @Test
  void streamReturnsOnceOneOfItsEnginesRecovers() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    node.engine(3, 0, 80);
    node.fleet.suspect(tracked(engines.second), "test");
    node.control.dead.add(engines.second.address());
    disconnect(running);
    node.advance(CRASH_DETECTION_MILLIS);
    assertEquals(2, node.sent.size(), "sends");
    recover(engines.first);
    node.advance(40);
    assertEquals(3, node.sent.size(), "sends");
    assertEquals(engines.first, node.lastAttempt().attempt.endpoint());
    continueFrom(3);
    assertWhole();
  }

  // Guards against a stream that waits for its engines although one of them has ended.
  @Test
  void streamMovesToAnotherEngineOnceOneOfItsOwnHasEnded() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    node.engine(3, 0, 80);
    node.fleet.suspect(tracked(engines.second), "test");
    node.control.dead.add(engines.second.address());
    disconnect(running);
    node.advance(300);
    assertEquals(2, node.sent.size(), "sends");
    node.fleet.recordConnectionRefused(tracked(engines.second));
    node.advance(40);
    assertEquals(3, node.sent.size(), "sends");
    assertEquals("e3", node.lastAttempt().attempt.endpoint().id());
    continueFrom(3);
    assertWhole();
  }

  // Guards against requests that wait behind a stream whose engines are not usable.
  @Test
  void waitingStreamDoesNotHoldUpOtherRequests() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    node.engine(3, 0, 80);
    node.fleet.suspect(tracked(engines.second), "test");
    node.control.dead.add(engines.second.address());
    disconnect(running);
    node.advance(300);
    node.request("/stream/new");
    assertEquals(3, node.sent.size(), "sends");
    assertEquals("e3", node.lastAttempt().attempt.endpoint().id());
  }

  // Guards against returns that the retry budget does not count.
  @Test
  void streamDoesNotReturnWithoutRetryBudget() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    recover(engines.first);
    node.forwarder.updateLimits(new ForwardingLimits(Duration.ofMillis(4750), 0, 0, Duration.ZERO));
    disconnect(running);
    node.advance(2000);
    assertEquals(2, node.sent.size(), "sends");
    assertTrue(response.cut, "cut");
  }

  // Guards against a path that begins at a third engine; later engines are free.
  @Test
  void returningPathBeginsAtEngineThatHadTheStream() {
    FleetEndpoint first = node.engine(1, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    startStream("/single/x");
    for (int number = 2; number <= 4; number++) {
      node.engine(number, 0, 40);
    }
    node.engine(7, 40, 80);
    node.fleet.withdraw(later.id(), "test");
    disconnect(running);
    node.advance(CRASH_DETECTION_MILLIS);
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(first, node.lastAttempt().attempt.endpoint());
    assertEquals(
        Optional.of("10.0.0.1:80=0-40,10.0.0.7:80=40-80"), node.lastAttempt().attempt.path());
    continueFrom(2);
    assertWhole();
  }

  // Guards against a stalled stream that stays at a silent engine though its other engine lives.
  @Test
  void stalledStreamReturnsToItsOtherEngine() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    recover(engines.first);
    running.event(3);
    node.engine(3, 0, 80);
    makeUnresponsive(engines.second);
    assertEquals(3, node.sent.size(), "sends");
    assertEquals(engines.first, node.lastAttempt().attempt.endpoint());
    assertFalse(running.cancelled, "cancelled before the other engine delivers");
    node.lastAttempt().head(200);
    node.lastAttempt().end();
    assertWhole();
  }

  // Control case: a stalled stream stays if its other engine broke it off.
  @Test
  void stalledStreamDoesNotReturnToEngineThatBrokeItOff() {
    node.engine(1, 0, 80);
    startStream("/stream/x");
    FleetEndpoint second = node.engine(2, 0, 80);
    disconnect(running);
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    node.engine(3, 0, 80);
    makeUnresponsive(second);
    node.advance(1000);
    assertEquals(2, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
    running.event(3);
    running.end();
    assertWhole();
  }

  // Guards against a stream that waits for a connection to a dead engine though its other one
  // lives.
  @Test
  void streamThatDoesNotConnectReturnsToEngineThatBrokeItOff() {
    TwoEngines engines = new TwoEngines();
    engines.replaced();
    recover(engines.first);
    node.engine(3, 0, 80);
    disconnect(running);
    node.advance(CRASH_DETECTION_MILLIS);
    SentAttempt unconnected = node.lastAttempt();
    assertEquals(engines.first, unconnected.attempt.endpoint());
    unconnected.arrived = false;
    makeUnresponsive(engines.first);
    assertTrue(unconnected.cancelled, "cancelled");
    assertEquals(4, node.sent.size(), "sends");
    assertEquals(engines.second, node.lastAttempt().attempt.endpoint());
    continueFrom(3);
    assertWhole();
  }

  // Guards against cutting a stream whose engine has restarted: the former process has ended.
  @Test
  void streamReturnsToRestartedEngine() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    startStream("/single/x");
    node.engine(2, 0, 80);
    disconnect(running);
    FleetEndpoint restarted = node.engine(1, 0, 80, Incarnation.startedAt(5000));
    assertNotEquals(engine, restarted);
    node.advance(CRASH_DETECTION_MILLIS);
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(restarted, node.lastAttempt().attempt.endpoint());
    continueFrom(2);
    assertWhole();
  }

  // Control case: a caller without a part of the response has an answer and can retry.
  @Test
  void requestWithoutResponseRunsNoMoreOftenThanRouteAllows() {
    node.engine(1, 0, 80);
    response = node.request("/stream/x");
    disconnect(node.lastAttempt());
    assertEquals(2, node.sent.size(), "sends");
    disconnect(node.lastAttempt());
    node.advance(CRASH_DETECTION_MILLIS);
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(Verdict.MAY_HAVE_RUN, response.refusal.orElseThrow().verdict());
  }

  // Control case: a stream that can't be resumed is not sent again.
  @Test
  void streamThatIsNotResumableDoesNotReturn() {
    node.engine(1, 0, 80);
    startStream("/once/x");
    disconnect(running);
    assertTrue(response.cut, "cut");
    node.advance(1000);
    assertEquals(1, node.sent.size(), "sends");
  }
}
