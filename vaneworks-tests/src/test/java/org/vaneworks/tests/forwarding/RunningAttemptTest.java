package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks that an attempt is not aborted before another endpoint has accepted the request. */
final class RunningAttemptTest {
  /** Time after which an engine that crashed with its connection is known to have ended. */
  private static final int CRASH_DETECTION_MILLIS = 100;

  /** The limit for sends of any request. */
  private static final int MAX_SENDS = 6;

  private final ForwardingFixture node = new ForwardingFixture();
  private FleetEndpoint engine;
  private RecordedResponse response;
  private SentAttempt running;

  /** Starts a stream at an engine that stops responding after the first event. */
  @BeforeEach
  void startStream() {
    engine = node.engine(1, 0, 80);
    response = node.request("/stream/x");
    running = node.lastAttempt();
    running.head(200);
    running.event(1);
    node.control.dead.add(engine.address());
  }

  // Guards against aborting a stream of a live engine for lack of retry budget.
  @Test
  void streamStaysOnSilentEngineWithoutRetryBudget() {
    node.engine(2, 0, 80);
    exhaustRetryBudget();
    node.advance(1000);
    engineContinues();
    assertResponseComplete();
  }

  // Guards against aborting a stream of a live engine when no other engine has capacity.
  @Test
  void streamStaysOnSilentEngineWithoutCapacityElsewhere() {
    fillCapacity(node.engine(2, 0, 27));
    fillCapacity(node.engine(3, 27, 54));
    fillCapacity(node.engine(4, 54, 80));
    node.advance(1000);
    engineContinues();
    assertResponseComplete();
  }

  // Guards against aborting a stream of a live engine when its attempts are exhausted.
  @Test
  void streamStaysOnSilentEngineOnceAttemptsAreExhausted() {
    node.engine(2, 0, 80);
    node.advance(1000);
    assertEquals(2, node.sent.size());
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    node.control.dead.add(running.attempt.endpoint().address());
    node.advance(1000);
    running.event(3);
    running.end();
    assertResponseComplete();
  }

  // Guards against aborting a stream whose later engine is alive for lack of retry budget.
  @Test
  void streamWithSilentLaterEngineStaysWhenNoOtherPathIsAccepted() {
    node.fleet.remove(engine.id());
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    response = node.request("/stream/x");
    running = node.lastAttempt();
    running.head(200);
    running.event(1);
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    node.control.dead.add(later.address());
    node.engine(7, 40, 80);
    exhaustRetryBudget();
    node.advance(1000);
    engineContinues();
    assertResponseComplete();
  }

  // Guards against failing a stream over from an engine that delivers it, because a probe for
  // another request got lost.
  @Test
  void streamThatMakesProgressStaysOnSuspectedEngine() {
    node.control.dead.clear();
    node.engine(2, 0, 80);
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, engine.address()).get(), "test");
    for (int id = 2; id <= 3; id++) {
      node.advance(200);
      running.event(id);
    }
    running.end();
    assertEquals(1, node.sent.size());
    assertResponseComplete();
  }

  @Test
  void streamFailsOverOnceRetryBudgetIsAvailable() {
    FleetEndpoint other = node.engine(2, 0, 80);
    exhaustRetryBudget();
    node.advance(1000);
    assertEquals(1, node.sent.size());
    restoreRetryBudget();
    node.advance(300);
    assertEquals(other, node.lastAttempt().attempt.endpoint());
    assertAbandonedOnceReplacementResponds();
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
  }

  @Test
  void streamFailsOverOnceAnotherEngineHasCapacity() {
    fillCapacity(node.engine(2, 0, 40));
    fillCapacity(node.engine(3, 40, 80));
    node.advance(1000);
    assertEquals(1, node.sent.size());
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(300);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
    assertAbandonedOnceReplacementResponds();
  }

  @Test
  void failoverStopsOnceStreamMakesProgress() {
    FleetEndpoint other = node.engine(2, 0, 40);
    fillCapacity(other);
    fillCapacity(node.engine(3, 40, 80));
    node.advance(400);
    running.event(2);
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(100);
    assertEquals(1, node.sent.size());
    running.event(3);
    running.end();
    assertResponseComplete();
  }

  @Test
  void streamFailsOverWhenItStallsAgainOnSuspectedEngine() {
    node.advance(1000);
    running.event(2);
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
    assertAbandonedOnceReplacementResponds();
    assertEquals(Optional.of("2"), node.lastAttempt().attempt.resumeAfter());
  }

  @Test
  void streamIsAbortedWhenItsSilentEngineDisconnects() {
    exhaustRetryBudget();
    node.advance(1000);
    running.listener.failed(false, new IllegalStateException("reset"));
    assertTrue(response.cut);
    assertEquals(0, node.forwarder.inFlight());
  }

  // Guards against aborting a stream that another engine rejected while its previous one is alive.
  @Test
  void streamRejectedElsewhereContinuesAtPreviousEngine() {
    node.engine(2, 0, 80);
    node.advance(600);
    exhaustRetryBudget();
    node.lastAttempt().notRun(429, Optional.empty());
    engineContinues();
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  @Test
  void previousEngineThatContinuesFirstIsKept() {
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals(2, node.sent.size());
    engineContinues();
    assertTrue(node.lastAttempt().cancelled);
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  @Test
  void partialEventOfPreviousEngineIsCompleted() {
    running.text("id: 2\nda");
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
    running.text("ta: x\n\n");
    running.event(3);
    running.end();
    assertResponseComplete();
  }

  @Test
  void streamContinuesAtNewEngineWhenPreviousOneDisconnects() {
    node.engine(2, 0, 80);
    node.advance(600);
    SentAttempt previous = running;
    running = node.lastAttempt();
    previous.listener.failed(false, new IllegalStateException("reset"));
    running.head(200);
    engineContinues();
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  // Guards against a stream on a third live engine; one that had the stream may get it again.
  @Test
  void streamRunsOnNoMoreEnginesThanRouteAllows() {
    node.engine(2, 0, 80);
    node.engine(3, 0, 80);
    node.advance(600);
    running.event(2);
    disconnect(running);
    assertCutOnceSendsAreUsedAt(node.sent.get(1).attempt.endpoint());
  }

  private static void disconnect(SentAttempt attempt) {
    attempt.listener.failed(false, new IllegalStateException("reset"));
  }

  /** Breaks off all attempts at the only usable engine that had the stream. */
  private void assertCutOnceSendsAreUsedAt(FleetEndpoint only) {
    for (int sends = 3; sends <= MAX_SENDS; sends++) {
      node.advance(CRASH_DETECTION_MILLIS);
      assertEquals(sends, node.sent.size(), "sends");
      assertEquals(only, node.lastAttempt().attempt.endpoint());
      assertFalse(response.cut, "cut");
      disconnect(node.lastAttempt());
    }
    node.advance(CRASH_DETECTION_MILLIS);
    assertTrue(response.cut, "cut");
    assertEquals(MAX_SENDS, node.sent.size(), "sends");
    assertNoCapacityReserved();
  }

  @Test
  void disconnectedCallerCancelsBothAttempts() {
    node.engine(2, 0, 80);
    node.advance(600);
    response.listener.disconnected();
    assertTrue(running.cancelled);
    assertTrue(node.lastAttempt().cancelled);
    assertNoCapacityReserved();
  }

  @Test
  void deadlineEndsBothAttempts() {
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals(2, node.sent.size());
    node.advance(19_400);
    assertTrue(response.cut);
    assertTrue(running.cancelled);
    assertTrue(node.lastAttempt().cancelled);
    assertNoCapacityReserved();
  }

  @Test
  void streamEndsWhenPreviousAttemptFailsBeforeItsReplacement() {
    node.engine(2, 0, 80);
    node.advance(600);
    node.engine(3, 0, 80);
    SentAttempt replacement = node.lastAttempt();
    disconnect(running);
    assertFalse(response.cut);
    disconnect(replacement);
    assertCutOnceSendsAreUsedAt(replacement.attempt.endpoint());
  }

  @Test
  void streamEndsWhenReplacementFailsBeforePreviousAttempt() {
    node.engine(2, 0, 80);
    node.advance(600);
    node.engine(3, 0, 80);
    SentAttempt replacement = node.lastAttempt();
    disconnect(replacement);
    assertFalse(response.cut);
    assertEquals(2, node.sent.size(), "sends while the first engine may continue");
    disconnect(running);
    assertCutOnceSendsAreUsedAt(replacement.attempt.endpoint());
  }

  // Guards against failing a request whose engine is about to respond.
  @Test
  void requestWithoutResponseStaysOnSilentEngineWhileItsCallerWaits() {
    exhaustRetryBudget();
    response = node.request("/stream/y");
    running = node.lastAttempt();
    node.advance(1700);
    assertFalse(running.cancelled);
    running.head(200);
    running.event(1);
    engineContinues();
    assertResponseComplete();
  }

  // Guards against a failover that goes on for a request whose caller has left.
  @Test
  void failoverStopsWhenCallerWithoutResponseDisconnects() {
    exhaustRetryBudget();
    RecordedResponse unanswered = node.request("/stream/y");
    node.advance(1000);
    unanswered.listener.disconnected();
    assertTrue(node.lastAttempt().cancelled);
    node.advance(2000);
    assertEquals(Optional.empty(), unanswered.refusal);
  }

  /** Callers give a stream up after two seconds without an event. */
  @Test
  void callerWithoutResponseIsRefusedBeforeItGivesUp() {
    exhaustRetryBudget();
    RecordedResponse unanswered = node.request("/stream/y");
    node.advance(1890);
    assertEquals(Optional.empty(), unanswered.refusal);
    node.advance(20);
    assertEquals(Verdict.MAY_HAVE_RUN, unanswered.refusal.orElseThrow().verdict());
    assertTrue(node.lastAttempt().cancelled);
  }

  @Test
  void callerWithoutResponseIsRefusedInTimeWhenNoOtherEngineHasCapacity() {
    fillCapacity(node.engine(2, 0, 40));
    fillCapacity(node.engine(3, 40, 80));
    RecordedResponse unanswered = node.request("/stream/y");
    node.advance(1950);
    assertEquals(Verdict.MAY_HAVE_RUN, unanswered.refusal.orElseThrow().verdict());
    assertTrue(node.lastAttempt().cancelled);
  }

  /** No part of a response could be lost, and the caller can retry. */
  @Test
  void callerWithoutResponseIsRefusedImmediatelyWhenEngineHasEnded() {
    exhaustRetryBudget();
    node.control.refusing.add(engine.address());
    RecordedResponse unanswered = node.request("/stream/y");
    node.advance(400);
    assertEquals(Verdict.MAY_HAVE_RUN, unanswered.refusal.orElseThrow().verdict());
    assertTrue(node.lastAttempt().cancelled);
  }

  // Guards against aborting a stream whose replacement fails before it delivers anything.
  @Test
  void streamContinuesAtPreviousEngineWhenReplacementFailsAfterItsHead() {
    node.engine(2, 0, 80);
    node.advance(600);
    exhaustRetryBudget();
    node.lastAttempt().head(200);
    node.lastAttempt().listener.failed(false, new IllegalStateException("reset"));
    engineContinues();
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  // Guards against a stream that waits for a silent replacement while its previous engine
  // continues.
  @Test
  void streamContinuesAtPreviousEngineWhenReplacementFallsSilentAfterItsHead() {
    node.engine(2, 0, 80);
    node.advance(600);
    node.lastAttempt().head(200);
    node.lastAttempt().text("id: 2\nda");
    engineContinues();
    assertTrue(node.lastAttempt().cancelled);
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  // Guards against aborting a stream when the engine of its replacement restarts after its head.
  @Test
  void streamContinuesAtPreviousEngineWhenReplacementRestartsAfterItsHead() {
    FleetEndpoint other = node.engine(2, 0, 80);
    node.advance(600);
    exhaustRetryBudget();
    node.lastAttempt().head(200);
    node.restart(other);
    engineContinues();
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  @Test
  void replacementWithHeadContinuesWhenPreviousEngineDisconnects() {
    node.engine(2, 0, 80);
    node.advance(600);
    SentAttempt previous = running;
    running = node.lastAttempt();
    running.head(200);
    previous.listener.failed(false, new IllegalStateException("reset"));
    engineContinues();
    assertResponseComplete();
    assertNoCapacityReserved();
  }

  private void assertAbandonedOnceReplacementResponds() {
    node.lastAttempt().head(200);
    assertFalse(running.cancelled);
    node.lastAttempt().event(10);
    assertTrue(running.cancelled);
  }

  private void assertNoCapacityReserved() {
    node.fleet.all().forEach(any -> assertEquals(0, any.inFlight(), any.toString()));
    assertEquals(0, node.forwarder.inFlight());
  }

  /** Lets requests of other nodes use all memory of an engine. */
  private void fillCapacity(FleetEndpoint other) {
    node.fleet
        .find(ForwardingFixture.MODEL, other.address())
        .orElseThrow()
        .setPeerLoad(100, 1e9, 1);
  }

  private void exhaustRetryBudget() {
    node.forwarder.updateLimits(new ForwardingLimits(Duration.ofMillis(4750), 0, 0, Duration.ZERO));
  }

  private void restoreRetryBudget() {
    node.forwarder.updateLimits(
        new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100, Duration.ZERO));
  }

  private void engineContinues() {
    node.control.dead.clear();
    running.event(2);
    running.event(3);
    running.end();
  }

  private void assertResponseComplete() {
    assertFalse(running.cancelled);
    assertFalse(response.cut);
    assertTrue(response.whole);
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", response.body);
  }
}
