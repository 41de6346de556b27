package org.vaneworks.tests.fleet;

import static java.util.concurrent.TimeUnit.NANOSECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthWatch;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.NobodyListensException;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.fleet.TurnedAwayException;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks what makes a node believe that an engine is dead. */
final class HealthWatchTest {
  /** What an engine does when it is asked: it answers after a time, or refuses the connection. */
  private record Reply(Duration after, Optional<Exception> failure) {
    static final Reply ANSWERS = answersAfter(0);
    static final Reply REFUSES = fails(new NobodyListensException(new ConnectException("refused")));
    static final Reply BREAKS = fails(new ClosedChannelException());
    static final Reply TURNS_AWAY = fails(new TurnedAwayException());
    static final Reply IS_SILENT = answersAfter(60_000);

    static Reply answersAfter(int millis) {
      return new Reply(Duration.ofMillis(millis), Optional.empty());
    }

    private static Reply fails(Exception failure) {
      return new Reply(Duration.ZERO, Optional.of(failure));
    }
  }

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));
  private final Queue<Reply> replies = new ArrayDeque<>();
  private final HealthWatch health = HealthWatch.create(clock, fleet, new Engine());
  private TrackedEndpoint engine;
  private int asked;
  private int suspicions;
  private double pace = 1;
  private Incarnation tells = Incarnation.UNTOLD;

  /** Replies as the test says, and answers once nothing more was said. */
  private final class Engine implements EngineControl {
    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint endpoint, Duration limit) {
      asked++;
      Reply reply = replies.isEmpty() ? Reply.ANSWERS : replies.remove();
      if (reply.failure().isPresent()) {
        return CompletableFuture.failedFuture(reply.failure().get());
      }
      CompletableFuture<EngineReport> report = new CompletableFuture<>();
      if (reply.after().compareTo(limit) > 0) {
        TimeoutException late = new TimeoutException("timeout after " + limit);
        clock.schedule(() -> report.completeExceptionally(late), limit);
      } else {
        clock.schedule(
            () ->
                report.complete(
                    new EngineReport(1, false, endpoint.layers(), pace, ImmutableMap.of(), tells)),
            reply.after());
      }
      return report;
    }

    @Override
    public CompletableFuture<OrderOutcome> hold(
        FleetEndpoint endpoint, LayerRange layers, OrderGuard guard) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<RepathOutcome> repath(
        FleetEndpoint first, String requestId, String path) {
      throw new UnsupportedOperationException();
    }
  }

  @BeforeEach
  void listEngines() {
    list("a");
    list("b");
    engine = fleet.of("s").get(0);
    fleet.onSuspicion(suspected -> suspicions++);
  }

  private void list(String id) {
    fleet.put(
        new FleetEndpoint(
            id,
            "s",
            new HostPort("10.0.0.1", 80),
            "dc1",
            6,
            false,
            Optional.empty(),
            "",
            StorePosition.START));
  }

  private void check(Reply... inOrder) {
    replies.addAll(List.of(inOrder));
    health.check(engine);
  }

  @Test
  void engineThatAnswersIsNotSuspected() {
    check(Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
  }

  @Test
  void engineThatRefusesIsSuspectedAtOnce() {
    check(Reply.REFUSES);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  // Guards against streams taken off a live engine because a connection for questions had broken.
  @Test
  void questionWhoseConnectionBrokeIsAskedAgain() {
    check(Reply.BREAKS, Reply.ANSWERS);
    clock.runDue();
    assertEquals(0, suspicions);
    assertEquals(2, asked);
  }

  @Test
  void engineWhoseConnectionsBreakTwiceInARowIsSuspected() {
    check(Reply.BREAKS, Reply.BREAKS);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  @Test
  void oneLateAnswerIsNoSuspicion() {
    check(Reply.IS_SILENT, Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
    assertEquals(2, asked);
  }

  @Test
  void engineThatIsSilentTwiceIsSuspectedWithinAFifthOfASecond() {
    check(Reply.IS_SILENT, Reply.IS_SILENT);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
  }

  @Test
  void engineThatRefusesAfterASilenceIsSuspected() {
    check(Reply.IS_SILENT, Reply.REFUSES);
    clock.advance(Duration.ofMillis(150));
    assertTrue(engine.suspected());
  }

  @Test
  void engineThatLeftTheListIsNotAskedAgain() {
    check(Reply.IS_SILENT);
    fleet.remove("a");
    clock.advance(Duration.ofSeconds(1));
    assertEquals(1, asked);
    assertEquals(0, suspicions);
  }

  @Test
  void suspectedEngineIsAskedUntilItAnswers() {
    check(Reply.REFUSES, Reply.IS_SILENT);
    clock.advance(Duration.ofSeconds(3));
    assertFalse(engine.suspected());
    assertEquals(3, asked);
  }

  @Test
  void engineIsGivenThreeTimesTheSlowestAnswerOfTheLastSecond() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.of("s").get(1));
    clock.advance(Duration.ofMillis(100));
    check(Reply.answersAfter(230));
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
    assertEquals(2, asked);
  }

  @Test
  void slowAnswerOfLongAgoGivesNoMoreTime() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.of("s").get(1));
    clock.advance(Duration.ofMillis(1100));
    check(Reply.IS_SILENT, Reply.IS_SILENT);
    clock.advance(Duration.ofMillis(200));
    assertEquals(1, suspicions);
  }

  @Test
  void engineIsAskedOnceAtATimeHoweverLongItsAnswerTakes() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.of("s").get(1));
    clock.advance(Duration.ofMillis(100));
    check(Reply.answersAfter(235));
    clock.advance(Duration.ofMillis(220));
    health.check(engine);
    clock.advance(Duration.ofMillis(10));
    assertEquals(2, asked);
  }

  @Test
  void suspectedEngineIsGivenAsMuchTime() {
    check(Reply.REFUSES);
    clock.runDue();
    replies.add(Reply.answersAfter(80));
    clock.advance(Duration.ofMillis(250));
    health.check(fleet.of("s").get(1));
    replies.add(Reply.answersAfter(200));
    clock.advance(Duration.ofMillis(400));
    assertFalse(engine.suspected());
  }

  private void listRun(long startedAt) {
    HostPort address = new HostPort("10.0.0.3", 80);
    Incarnation run = Incarnation.startedAt(startedAt);
    fleet.put(
        new FleetEndpoint(
            "c", "s", address, "dc1", 6, false, Optional.empty(), "", StorePosition.START, run));
    engine = fleet.at("s", address).get();
  }

  @Test
  void answerOfALaterRunEndsTheSuspectedOne() {
    listRun(1000);
    check(Reply.REFUSES);
    clock.runDue();
    tells = Incarnation.startedAt(2000);
    clock.advance(Duration.ofSeconds(1));
    assertTrue(engine.hasEnded());
    assertFalse(fleet.at("s", engine.address()).get().suspected());
  }

  @Test
  void paceOfAFormerRunIsNotTaken() {
    listRun(2000);
    tells = Incarnation.startedAt(1000);
    pace = 12;
    check(Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(1.0, engine.pace());
  }

  @Test
  void slowEngineThatTakesNothingOfThisNodeIsAskedForItsPaceOnceItDoes() {
    pace = 3;
    health.checkPace(engine);
    clock.advance(Duration.ofMillis(100));
    fleet.statements().limits().heard(engine, AdvertisedRateLimit.of(2));
    int before = asked;
    clock.advance(Duration.ofSeconds(5));
    assertEquals(before, asked);
    fleet.statements().limits().heard(engine, AdvertisedRateLimit.none());
    clock.advance(Duration.ofSeconds(2));
    assertTrue(asked > before, asked + " questions");
  }

  private void wantsNoCalls(int seconds) {
    RequestedBackoff backoff = RequestedBackoff.of(Duration.ofSeconds(seconds));
    fleet.statements().answeredCall(engine.endpoint(), EndpointSignal.NONE.withBackoff(backoff));
  }

  @Test
  void engineThatWantsNoCallsIsAskedOnceForASignOfLife() {
    wantsNoCalls(3);
    for (int i = 0; i < 29; i++) {
      health.check(engine);
      clock.advance(Duration.ofMillis(100));
    }
    assertEquals(1, asked);
  }

  @Test
  void engineThatWantsNoCallsAndIsSilentIsAskedTwiceAndSuspected() {
    wantsNoCalls(3);
    check(Reply.IS_SILENT, Reply.IS_SILENT);
    clock.advance(Duration.ofSeconds(2));
    assertTrue(engine.suspected());
    assertEquals(2, asked);
  }

  @Test
  void suspectedEngineThatWantsNoCallsIsAskedAgainOnceItsTimeIsOver() {
    check(Reply.REFUSES);
    clock.runDue();
    wantsNoCalls(3);
    replies.add(Reply.REFUSES);
    clock.advance(Duration.ofMillis(2900));
    assertEquals(2, asked);
    clock.advance(Duration.ofSeconds(2));
    assertFalse(engine.suspected());
  }

  @Test
  void engineThatWantsNoCallsIsNotAskedForItsPace() {
    wantsNoCalls(3);
    health.checkPace(engine);
    clock.advance(Duration.ofMillis(2900));
    assertEquals(0, asked);
  }

  /** Guards against an engine that is only busy being taken for dead. */
  @Test
  void engineThatTurnsAQuestionAwayIsAlive() {
    check(Reply.TURNS_AWAY);
    clock.advance(Duration.ofSeconds(1));
    assertFalse(engine.suspected());
  }

  @Test
  void suspectedEngineThatTurnsAQuestionAwayIsAlive() {
    check(Reply.REFUSES, Reply.TURNS_AWAY);
    clock.advance(Duration.ofMillis(500));
    assertFalse(engine.suspected());
  }

  @Test
  void questionCountsAgainstWhatAnEngineTakes() {
    fleet.statements().limits().heard(engine, AdvertisedRateLimit.of(2));
    engine.startLimit().share(2, 1, clock.currentTime(NANOSECONDS));
    clock.advance(Duration.ofMillis(600));
    assertTrue(engine.usable(clock.currentTime(NANOSECONDS)));
    health.check(engine);
    assertFalse(engine.usable(clock.currentTime(NANOSECONDS)));
  }
}
