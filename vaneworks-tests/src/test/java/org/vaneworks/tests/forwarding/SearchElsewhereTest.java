package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks how a request at a silent engine seeks another place, and when it stops to. */
final class SearchElsewhereTest {
  private final ForwardingFixture node = new ForwardingFixture();

  private void full(FleetEndpoint other) {
    node.fleet
        .find(ForwardingFixture.MODEL, other.address())
        .orElseThrow()
        .setPeerLoad(100, 1e9, 1);
  }

  private void budget(double reserve) {
    // RESERVE_IN_USE is 0.6.
    node.forwarder.limits(new ForwardingLimits(Duration.ofMillis(4750), 0, reserve / 0.6 + 0.01));
  }

  private void avoid(FleetEndpoint engine) {
    node.fleet
        .find(ForwardingFixture.MODEL, engine.address())
        .orElseThrow()
        .avoidUntil(node.now() + Duration.ofSeconds(20).toNanos());
  }

  private void otherEnginesAreFull() {
    full(node.engine(2, 0, 40));
    full(node.engine(3, 40, 80));
  }

  /** Lets time pass without an answer of an engine, until the node suspects it. */
  private void fallsSilent(FleetEndpoint engine) {
    node.control.dead.add(engine.address());
    node.advance(400);
    assertTrue(suspected(engine));
  }

  /** Asks for a stream and returns the time until it is sent, in milliseconds. */
  private int waitOfANewRequest() {
    int before = node.sent.size();
    node.ask("/stream/new");
    int waited = 0;
    while (node.sent.size() == before && waited < 3000) {
      node.advance(20);
      waited += 20;
    }
    return waited;
  }

  private boolean suspected(FleetEndpoint engine) {
    return node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow().suspected();
  }

  private SentAttempt streaming(String path) {
    node.ask(path);
    SentAttempt sent = node.last();
    sent.head(200);
    sent.event(1);
    return sent;
  }

  // Guards against a repeat spent on the very engine that the request was running at.
  @Test
  void streamIsNotTakenFromAnEngineToBeBegunAtTheSameOne() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = streaming("/stream/x");
    fallsSilent(engine);
    node.control.dead.clear();
    node.advance(500);
    assertFalse(suspected(engine));
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against the same beside other engines, which are full.
  @Test
  void streamIsNotTakenFromAnEngineToBeBegunAtTheSameOneWhileOthersAreFull() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = streaming("/stream/x");
    otherEnginesAreFull();
    fallsSilent(engine);
    node.control.dead.clear();
    node.advance(500);
    assertFalse(suspected(engine));
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against a refusal of a request whose engine answers again while it waits for room.
  @Test
  void requestIsNotRefusedWhoseEngineAnsweredWhileItWaitedForAnother() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    SentAttempt running = node.last();
    otherEnginesAreFull();
    node.control.dead.add(engine.address());
    node.advance(500);
    assertTrue(suspected(engine));
    assertFalse(running.cancelled, "cancelled early");
    node.control.dead.clear();
    // The engine is sound again, but takes nothing new for now, so the line can't send it there.
    avoid(engine);
    node.advance(1500);
    assertFalse(suspected(engine));
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), got.refusal);
  }

  // Guards against a second loss: a request that must not run twice is broken off after it arrived.
  @Test
  void requestThatMustNotRunTwiceStaysOnceItHasArrived() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    Got got = node.ask("/once/x");
    SentAttempt running = node.last();
    running.arrived = false;
    otherEnginesAreFull();
    node.control.dead.add(engine.address());
    node.advance(500);
    assertTrue(suspected(engine));
    assertFalse(running.cancelled, "cancelled early");
    running.arrived = true;
    node.advance(1500);
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), got.refusal);
  }

  // It had arrived before: it is never broken off for silence.
  @Test
  void requestThatMustNotRunTwiceStaysIfItHadArrivedBefore() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    Got got = node.ask("/once/x");
    SentAttempt running = node.last();
    otherEnginesAreFull();
    node.control.dead.add(engine.address());
    node.advance(2000);
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), got.refusal);
  }

  // Guards against a waiting line held up by streams that may not be sent again.
  @Test
  void streamsWithoutBudgetKeepNobodyWaiting() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      streams.add(streaming("/stream/" + i));
    }
    otherEnginesAreFull();
    budget(1);
    fallsSilent(engine);
    assertEquals(4, node.sent.size(), "sends before there is room");
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(40);
    assertEquals(5, node.sent.size(), "one stream moved");
    assertTrue(waitOfANewRequest() <= 100, "a new request waited while there was room");
  }

  // Guards against a stream left to itself: a late event ends the search, its engine stays lost.
  @Test
  void streamWhoseLaterEngineIsLostIsNotForgottenAfterALateEvent() {
    assertSentAgainOnceThereIsBudget(true);
  }

  // Without the late event it is sent again as well.
  @Test
  void streamWhoseLaterEngineIsLostIsSentAgainWithoutALateEvent() {
    assertSentAgainOnceThereIsBudget(false);
  }

  private void assertSentAgainOnceThereIsBudget(boolean lateEvent) {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    Got got = node.ask("/stream/x");
    SentAttempt running = node.last();
    running.head(200);
    running.event(1);
    node.engine(7, 40, 80);
    node.control.answer = new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    node.control.dead.add(later.address());
    budget(0);
    node.advance(400);
    assertTrue(suspected(later));
    assertEquals(1, node.control.repaths.size(), "orders for another path");
    if (lateEvent) {
      running.event(2);
    }
    budget(10);
    node.advance(15_000);
    assertFalse(got.cut, "cut");
    assertEquals(2, node.sent.size(), "sends in 15 s");
  }

  // Guards against a stream left to itself once its silent engine is known to have ended.
  @Test
  void streamThatStaysTakesAnotherPathOnceItsLaterEngineHasEnded() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    Got got = node.ask("/stream/x");
    SentAttempt running = node.last();
    running.head(200);
    running.event(1);
    budget(0);
    // No other engine holds the layers: five orders for another path find none.
    node.control.dead.add(later.address());
    node.advance(1500);
    assertTrue(suspected(later));
    assertFalse(running.cancelled);
    node.engine(7, 40, 80);
    node.startsAgain(later);
    node.advance(3000);
    boolean helped = !node.control.repaths.isEmpty() || node.sent.size() > 1;
    assertTrue(helped || got.cut, "3 s after the end: no order, no send, no end of the answer");
  }

  // Guards against requests held back for the end of an engine that had answered them whole.
  @Test
  void engineThatAnsweredWholeIsNotPutDownToTheRequest() {
    budget(0);
    List<FleetEndpoint> engines = new ArrayList<>();
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      engines.add(node.engine(i, 0, 80));
    }
    // The same content at each of three engines.
    while (streams.stream().map(s -> s.attempt.endpoint().id()).distinct().count() < 3) {
      streams.add(streaming("/stream/x"));
    }
    engines.forEach(engine -> node.control.dead.add(engine.address()));
    node.advance(600);
    node.control.dead.clear();
    node.advance(1000);
    for (SentAttempt stream : streams) {
      assertFalse(stream.cancelled, "cancelled");
      stream.event(2);
      stream.listener.end();
    }
    node.advance(3000);
    engines.forEach(node::startsAgain);
    node.engine(9, 0, 80);
    int before = node.sent.size();
    Got got = node.ask("/stream/x");
    assertEquals(Optional.empty(), got.refusal);
    assertEquals(before + 1, node.sent.size());
  }

  // Guards against a stream left to itself when only one of its two silent engines recovers.
  @Test
  void streamIsNotForgottenWhenItsFirstEngineIsClearedAndItsLaterOneIsLost() {
    FleetEndpoint first = node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    node.ask("/stream/x");
    SentAttempt running = node.last();
    running.head(200);
    running.event(1);
    node.control.dead.add(first.address());
    node.control.dead.add(later.address());
    node.control.answer = new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    budget(0);
    node.advance(1500);
    node.control.dead.remove(first.address());
    node.advance(4000);
    assertFalse(suspected(first));
    assertTrue(suspected(later));
    assertFalse(running.cancelled);
    budget(10);
    node.engine(7, 0, 80);
    node.advance(3000);
    assertEquals(2, node.sent.size(), "sends in 3 s");
  }

  // Guards against a stream that outlives its attempt: it is held back, and its first engine breaks
  // off.
  @Test
  void streamThatIsHeldBackEndsOnceItsFirstEngineBreaksOff() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    for (int run = 1; run <= 2; run++) {
      Got former = node.ask("/stream/x");
      node.last().head(200);
      node.startsAgain(later);
      former.flow.gone();
      later = node.engine(6, 40, 80, Incarnation.startedAt(10_000L * run));
    }
    Got got = node.ask("/stream/x");
    SentAttempt running = node.last();
    running.head(200);
    running.event(1);
    node.startsAgain(later);
    node.engine(6, 40, 80, Incarnation.startedAt(90_000));
    Got next = node.ask("/stream/x");
    assertTrue(next.refusal.toString().contains("quarantined"), next.refusal.toString());
    // An unanswered order may have changed its path: only the first engine knows.
    node.advance(3000);
    assertFalse(running.cancelled, "cancelled");
    running.listener.failed(false, new IllegalStateException("stalled"));
    assertTrue(got.cut, "cut");
  }

  // Guards against a move away from an engine that answers again.
  @Test
  void streamIsNotMovedFromAnEngineThatIsNoLongerSuspected() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = streaming("/stream/x");
    otherEnginesAreFull();
    fallsSilent(engine);
    node.control.dead.clear();
    avoid(engine);
    node.advance(500);
    assertFalse(suspected(engine));
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(100);
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against a new request kept waiting by streams whose repeats others have spent.
  @Test
  void newRequestIsNotKeptWaitingByStreamsWhoseBudgetOthersSpent() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      streams.add(streaming("/stream/" + i));
    }
    otherEnginesAreFull();
    fallsSilent(engine);
    assertEquals(3, node.sent.size());
    // The budget goes to zero, as by other requests' failures.
    budget(0);
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    assertTrue(waitOfANewRequest() <= 100, "a new request waited while there was room");
  }

  // The same on a node that has begun many requests lately.
  @Test
  void streamsWithoutBudgetKeepNobodyWaitingAtABusyNode() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    for (int i = 0; i < 40; i++) {
      SentAttempt done = streaming("/stream/done" + i);
      done.listener.end();
    }
    for (int i = 0; i < 4; i++) {
      streaming("/stream/" + i);
    }
    otherEnginesAreFull();
    budget(1);
    fallsSilent(engine);
    assertEquals(44, node.sent.size(), "sends before there is room");
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(40);
    assertEquals(45, node.sent.size(), "one stream moved");
    assertTrue(waitOfANewRequest() <= 100, "a new request waited while there was room");
  }
}
