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

/** Checks that an answer is not broken off before the request has a place elsewhere. */
final class RunningAnswerTest {
  private final ForwardingFixture node = new ForwardingFixture();
  private FleetEndpoint engine;
  private Got got;
  private SentAttempt running;

  /** Begins a stream at an engine that falls silent after the first event. */
  @BeforeEach
  void beginStream() {
    engine = node.engine(1, 0, 80);
    got = node.ask("/stream/x");
    running = node.last();
    running.head(200);
    running.event(1);
    node.control.dead.add(engine.address());
  }

  // Guards against a stream that the node cut while its engine lived: no repeated send was left.
  @Test
  void streamOfASilentEngineGoesOnWhileNoRepeatedSendIsLeft() {
    node.engine(2, 0, 80);
    spendBudget();
    node.advance(1000);
    engineGoesOn();
    assertDeliveredWhole();
  }

  // Guards against a stream that the node cut while its engine lived: no other engine had room.
  @Test
  void streamOfASilentEngineGoesOnWhileNoOtherHasRoom() {
    full(node.engine(2, 0, 27));
    full(node.engine(3, 27, 54));
    full(node.engine(4, 54, 80));
    node.advance(1000);
    engineGoesOn();
    assertDeliveredWhole();
  }

  // Guards against a stream that the node cut while its engine lived: it had no attempt left.
  @Test
  void streamOfASilentEngineGoesOnOnceItsAttemptsAreUsed() {
    node.engine(2, 0, 80);
    node.advance(1000);
    assertEquals(2, node.sent.size());
    running = node.last();
    running.head(200);
    running.event(2);
    node.control.dead.add(running.attempt.endpoint().address());
    node.advance(1000);
    running.event(3);
    running.listener.end();
    assertDeliveredWhole();
  }

  // Guards against a stream that the node cut while its later engine lived: no repeat was left.
  @Test
  void streamWhoseLaterEngineIsSilentGoesOnWhenNoOtherPathIsAccepted() {
    node.fleet.remove(engine.id());
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    got = node.ask("/stream/x");
    running = node.last();
    running.head(200);
    running.event(1);
    node.control.answer = new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    node.control.dead.add(later.address());
    node.engine(7, 40, 80);
    spendBudget();
    node.advance(1000);
    engineGoesOn();
    assertDeliveredWhole();
  }

  // Guards against a stream taken off an engine that was delivering it, for another's lost
  // question.
  @Test
  void streamThatMakesProgressStaysOnASuspectedEngine() {
    node.control.dead.clear();
    node.engine(2, 0, 80);
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, engine.address()).get(), "test");
    for (int id = 2; id <= 3; id++) {
      node.advance(200);
      running.event(id);
    }
    running.listener.end();
    assertEquals(1, node.sent.size());
    assertDeliveredWhole();
  }

  @Test
  void streamOfASilentEngineMovesOnceARepeatedSendIsEarned() {
    FleetEndpoint other = node.engine(2, 0, 80);
    spendBudget();
    node.advance(1000);
    assertEquals(1, node.sent.size());
    earnBudget();
    node.advance(300);
    assertEquals(other, node.last().attempt.endpoint());
    assertLeftOnceTheOtherAnswers();
    assertEquals(Optional.of("1"), node.last().attempt.resumeAfter());
  }

  @Test
  void streamOfASilentEngineMovesOnceAnotherHasRoom() {
    full(node.engine(2, 0, 40));
    full(node.engine(3, 40, 80));
    node.advance(1000);
    assertEquals(1, node.sent.size());
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(300);
    assertEquals("e2", node.last().attempt.endpoint().id());
    assertLeftOnceTheOtherAnswers();
  }

  @Test
  void streamWaitsNoLongerForAnotherPlaceOnceItMakesProgress() {
    FleetEndpoint other = node.engine(2, 0, 40);
    full(other);
    full(node.engine(3, 40, 80));
    node.advance(400);
    running.event(2);
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(100);
    assertEquals(1, node.sent.size());
    running.event(3);
    running.listener.end();
    assertDeliveredWhole();
  }

  @Test
  void streamThatStallsAgainOnASuspectedEngineMoves() {
    node.advance(1000);
    running.event(2);
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals("e2", node.last().attempt.endpoint().id());
    assertLeftOnceTheOtherAnswers();
    assertEquals(Optional.of("2"), node.last().attempt.resumeAfter());
  }

  @Test
  void streamThatStaysIsCutWhenItsEngineBreaksOff() {
    spendBudget();
    node.advance(1000);
    running.listener.failed(false, new IllegalStateException("reset"));
    assertTrue(got.cut);
    assertEquals(0, node.forwarder.inFlight());
  }

  // Guards against a stream cut for an engine that turned it away, while its former engine lived.
  @Test
  void streamThatAnotherEngineTurnsAwayGoesOnAtTheOneThatItHad() {
    node.engine(2, 0, 80);
    node.advance(600);
    spendBudget();
    node.last().notRun(429, Optional.empty());
    engineGoesOn();
    assertDeliveredWhole();
    assertNothingIsReserved();
  }

  @Test
  void formerEngineThatGoesOnFirstIsNotLeft() {
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals(2, node.sent.size());
    engineGoesOn();
    assertTrue(node.last().cancelled);
    assertDeliveredWhole();
    assertNothingIsReserved();
  }

  @Test
  void eventOfAFormerEngineIsWholeThoughItCameInTwoParts() {
    running.text("id: 2\nda");
    node.engine(2, 0, 80);
    node.advance(600);
    assertEquals(Optional.of("1"), node.last().attempt.resumeAfter());
    running.text("ta: x\n\n");
    running.event(3);
    running.listener.end();
    assertDeliveredWhole();
  }

  @Test
  void streamGoesOnAtItsNewEngineWhenTheFormerOneBreaksOff() {
    node.engine(2, 0, 80);
    node.advance(600);
    SentAttempt former = running;
    running = node.last();
    former.listener.failed(false, new IllegalStateException("reset"));
    running.head(200);
    engineGoesOn();
    assertDeliveredWhole();
    assertNothingIsReserved();
  }

  @Test
  void streamRunsOnNoMoreEnginesThanItsRouteAllows() {
    node.engine(2, 0, 80);
    node.engine(3, 0, 80);
    node.advance(600);
    running.event(2);
    running.listener.failed(false, new IllegalStateException("reset"));
    assertEquals(2, node.sent.size());
    assertTrue(got.cut);
    assertNothingIsReserved();
  }

  @Test
  void callerThatLeavesIsCancelledAtBothEngines() {
    node.engine(2, 0, 80);
    node.advance(600);
    got.flow.gone();
    assertTrue(running.cancelled);
    assertTrue(node.last().cancelled);
    assertNothingIsReserved();
  }

  /** It has no part of an answer that could be lost, and may ask again itself. */
  @Test
  void callerWithoutAnAnswerIsToldAtOnceThatItsEngineIsLost() {
    spendBudget();
    Got unanswered = node.ask("/stream/y");
    node.advance(600);
    assertEquals(Verdict.MAY_HAVE_RUN, unanswered.refusal.orElseThrow().verdict());
    assertTrue(node.last().cancelled);
  }

  private void assertLeftOnceTheOtherAnswers() {
    assertFalse(running.cancelled);
    node.last().head(200);
    assertTrue(running.cancelled);
  }

  private void assertNothingIsReserved() {
    node.fleet.all().forEach(any -> assertEquals(0, any.inFlight(), any.toString()));
    assertEquals(0, node.forwarder.inFlight());
  }

  /** Lets other nodes' requests take all memory of an engine. */
  private void full(FleetEndpoint other) {
    node.fleet
        .find(ForwardingFixture.MODEL, other.address())
        .orElseThrow()
        .setPeerLoad(100, 1e9, 1);
  }

  private void spendBudget() {
    node.forwarder.limits(new ForwardingLimits(Duration.ofMillis(4750), 0, 0));
  }

  private void earnBudget() {
    node.forwarder.limits(new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100));
  }

  private void engineGoesOn() {
    node.control.dead.clear();
    running.event(2);
    running.event(3);
    running.listener.end();
  }

  private void assertDeliveredWhole() {
    assertFalse(running.cancelled);
    assertFalse(got.cut);
    assertTrue(got.whole);
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", got.body);
  }
}
