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
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.BackoffRequestedException;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.ReachabilityMonitor;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests when a node suspects that an engine is down, and when it clears the suspicion. */
final class HealthCheckerTest {
  /** The reply of an engine to a probe: an answer after a delay, or a failure. */
  private record Reply(Duration delay, Optional<Exception> failure) {
    static final Reply ANSWERS = answersAfter(0);
    static final Reply REFUSED =
        failsWith(new ConnectionRefusedException(new ConnectException("refused")));
    static final Reply BROKEN_CONNECTION = failsWith(new ClosedChannelException());
    static final Reply REQUESTS_BACKOFF = failsWith(new BackoffRequestedException());
    static final Reply TIMEOUT = answersAfter(60_000);

    static Reply answersAfter(int millis) {
      return new Reply(Duration.ofMillis(millis), Optional.empty());
    }

    private static Reply failsWith(Exception failure) {
      return new Reply(Duration.ZERO, Optional.of(failure));
    }
  }

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));
  private final Queue<Reply> replies = new ArrayDeque<>();
  private final HealthChecker health =
      HealthChecker.create(
          clock,
          fleet,
          new Engine(),
          ReachabilityMonitor.create(
              clock,
              new Random(1),
              fleet,
              (address, timeout) -> CompletableFuture.completedFuture(null),
              Counters.in(new SimpleMeterRegistry())));
  private TrackedEndpoint engine;
  private int probes;
  private int suspicions;
  private double pace = 1;
  private Incarnation reportedIncarnation = Incarnation.UNKNOWN;

  /** Plays the queued replies, then answers immediately. */
  private final class Engine implements EngineControl {
    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint endpoint, Duration limit) {
      probes++;
      Reply reply = replies.isEmpty() ? Reply.ANSWERS : replies.remove();
      if (reply.failure().isPresent()) {
        return CompletableFuture.failedFuture(reply.failure().get());
      }
      CompletableFuture<EngineReport> report = new CompletableFuture<>();
      if (reply.delay().compareTo(limit) > 0) {
        TimeoutException late = new TimeoutException("timeout after " + limit);
        clock.schedule(() -> report.completeExceptionally(late), limit);
      } else {
        clock.schedule(
            () ->
                report.complete(
                    new EngineReport(
                        1, false, endpoint.layers(), pace, ImmutableMap.of(), reportedIncarnation)),
            reply.delay());
      }
      return report;
    }

    @Override
    public CompletableFuture<OrderOutcome> assignLayers(
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
    engine = fleet.listed("s").get(0);
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
  void engineThatRefusesConnectionIsSuspectedImmediately() {
    check(Reply.REFUSED);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  // Guards against lost layers that stay uncovered because the controller has no requests at the
  // engine that held them, and learns of its end only when its entry expires seconds later.
  @Test
  void engineThatPeerSuspectsIsProbedAndSuspectedIfItDoesNotAnswer() {
    replies.addAll(List.of(Reply.REFUSED));
    fleet.recordSuspectedByPeer(engine);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  // Guards against a node that is cut off from an engine making all others suspect it.
  @Test
  void engineThatPeerSuspectsIsNotSuspectedIfItAnswers() {
    fleet.recordSuspectedByPeer(engine);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
    assertEquals(1, probes);
  }

  // Guards against streams being moved off a live engine because the probe connection broke.
  @Test
  void probeIsRepeatedAfterBrokenConnection() {
    check(Reply.BROKEN_CONNECTION, Reply.ANSWERS);
    clock.runDue();
    assertEquals(0, suspicions);
    assertEquals(2, probes);
  }

  @Test
  void engineIsSuspectedAfterTwoConsecutiveBrokenConnections() {
    check(Reply.BROKEN_CONNECTION, Reply.BROKEN_CONNECTION);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  @Test
  void engineIsNotSuspectedAfterOneTimeout() {
    check(Reply.TIMEOUT, Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
    assertEquals(2, probes);
  }

  @Test
  void engineIsSuspectedWithin200MillisAfterTwoTimeouts() {
    check(Reply.TIMEOUT, Reply.TIMEOUT);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
  }

  @Test
  void engineThatRefusesConnectionAfterTimeoutIsSuspected() {
    check(Reply.TIMEOUT, Reply.REFUSED);
    clock.advance(Duration.ofMillis(150));
    assertTrue(engine.suspected());
  }

  @Test
  void unlistedEngineIsNotProbedAgain() {
    check(Reply.TIMEOUT);
    fleet.remove("a");
    clock.advance(Duration.ofSeconds(1));
    assertEquals(1, probes);
    assertEquals(0, suspicions);
  }

  // Guards against a live engine that stays out of use because it answers probes late.
  @Test
  void lateAnswerClearsSuspicion() {
    check(Reply.answersAfter(300), Reply.TIMEOUT);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
    clock.advance(Duration.ofMillis(100));
    assertFalse(engine.suspected());
  }

  @Test
  void lateAnswerEndsProbing() {
    check(Reply.answersAfter(150), Reply.TIMEOUT);
    clock.advance(Duration.ofSeconds(2));
    assertEquals(0, suspicions);
    assertEquals(2, probes);
  }

  @Test
  void lateAnswerExtendsTimeoutOfNextProbesOfItsEngine() {
    check(Reply.answersAfter(300), Reply.answersAfter(300));
    clock.advance(Duration.ofSeconds(5));
    check(Reply.answersAfter(350));
    clock.advance(Duration.ofMillis(400));
    assertEquals(1, suspicions);
    TrackedEndpoint other = fleet.listed("s").get(1);
    replies.addAll(List.of(Reply.TIMEOUT, Reply.TIMEOUT));
    health.check(other);
    clock.advance(Duration.ofMillis(200));
    assertTrue(other.suspected());
  }

  @Test
  void lateAnswerToEarlierProbeDoesNotClearSuspicionAfterRefusedConnection() {
    check(Reply.answersAfter(300), Reply.REFUSED, Reply.REFUSED);
    clock.advance(Duration.ofMillis(400));
    assertTrue(engine.suspected());
  }

  // Guards against a live engine that stays out of use because it answers each probe late.
  @Test
  void suspectedEngineIsUsedAgainAfterLateAnswer() {
    check(Reply.REFUSED, Reply.answersAfter(400));
    clock.advance(Duration.ofMillis(800));
    assertFalse(engine.suspected());
  }

  @Test
  void unlistedEngineIsProbedWhileItRunsRequests() {
    engine.reserve(1);
    fleet.remove("a");
    check(Reply.TIMEOUT, Reply.TIMEOUT, Reply.TIMEOUT);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
    clock.advance(Duration.ofSeconds(2));
    assertFalse(engine.suspected());
    engine.release(1);
    health.check(engine);
    assertEquals(4, probes);
  }

  // Guards against a request being taken for the cause of a crash when an engine ended as planned
  // after its entry was removed.
  @Test
  void unlistedEngineThatRefusesConnectionIsNotReportedAsCrashed() {
    engine.reserve(1);
    fleet.remove("a");
    check(Reply.REFUSED);
    clock.runDue();
    assertTrue(engine.suspected());
    assertFalse(engine.processDown());
  }

  @Test
  void laterIncarnationAtAddressOfUnlistedEngineShowsThatTheEngineEnded() {
    listIncarnation(1000);
    engine.reserve(1);
    fleet.remove("c");
    reportedIncarnation = Incarnation.startedAt(2000);
    check(Reply.ANSWERS);
    clock.runDue();
    assertTrue(engine.suspected());
  }

  // Guards against an engine that is never used again, because its probes had ended with its last
  // request when its entry reappeared.
  @Test
  void suspicionEndsWithLastRequestOfUnlistedEngine() {
    listIncarnation(1000);
    engine.reserve(1);
    fleet.remove("c");
    check(Reply.TIMEOUT, Reply.TIMEOUT);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
    engine.release(1);
    clock.advance(Duration.ofSeconds(5));
    listIncarnation(1000);
    clock.advance(Duration.ofSeconds(5));
    assertFalse(engine.suspected());
  }

  // Guards against a request being taken for the cause of a crash, because the box of its engine
  // refused a connection before the engine answered.
  @Test
  void engineThatAnswersAfterRefusedConnectionIsNotDown() {
    fleet.recordConnectionRefused(engine);
    clock.advance(Duration.ofMillis(10));
    check(Reply.ANSWERS);
    clock.runDue();
    assertFalse(engine.processDown());
  }

  // Control case: the answer may have been sent before the engine went down.
  @Test
  void answerToEarlierProbeDoesNotShowThatEngineIsUp() {
    check(Reply.answersAfter(50));
    clock.advance(Duration.ofMillis(10));
    fleet.recordConnectionRefused(engine);
    clock.advance(Duration.ofMillis(50));
    assertTrue(engine.processDown());
  }

  @Test
  void suspectedEngineIsProbedUntilItAnswers() {
    check(Reply.REFUSED, Reply.TIMEOUT);
    clock.advance(Duration.ofSeconds(3));
    assertFalse(engine.suspected());
    assertEquals(3, probes);
  }

  @Test
  void timeoutIsThreeTimesTheSlowestAnswerOfTheLastSecond() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.listed("s").get(1));
    clock.advance(Duration.ofMillis(100));
    check(Reply.answersAfter(230));
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, suspicions);
    assertEquals(2, probes);
  }

  @Test
  void slowAnswerOlderThanOneSecondDoesNotExtendTimeout() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.listed("s").get(1));
    clock.advance(Duration.ofMillis(1100));
    check(Reply.TIMEOUT, Reply.TIMEOUT);
    clock.advance(Duration.ofMillis(200));
    assertEquals(1, suspicions);
  }

  @Test
  void engineHasAtMostOneProbeInProgress() {
    replies.add(Reply.answersAfter(80));
    health.check(fleet.listed("s").get(1));
    clock.advance(Duration.ofMillis(100));
    check(Reply.answersAfter(235));
    clock.advance(Duration.ofMillis(220));
    health.check(engine);
    clock.advance(Duration.ofMillis(10));
    assertEquals(2, probes);
  }

  @Test
  void timeoutOfSuspectedEngineIsExtendedAsWell() {
    check(Reply.REFUSED);
    clock.runDue();
    replies.add(Reply.answersAfter(80));
    clock.advance(Duration.ofMillis(250));
    health.check(fleet.listed("s").get(1));
    replies.add(Reply.answersAfter(200));
    clock.advance(Duration.ofMillis(400));
    assertFalse(engine.suspected());
  }

  private void listIncarnation(long startedAt) {
    HostPort address = new HostPort("10.0.0.3", 80);
    Incarnation incarnation = Incarnation.startedAt(startedAt);
    fleet.put(
        new FleetEndpoint(
            "c",
            "s",
            address,
            "dc1",
            6,
            false,
            Optional.empty(),
            "",
            StorePosition.START,
            incarnation));
    engine = fleet.find("s", address).get();
  }

  @Test
  void answerOfLaterIncarnationEndsTheSuspectedOne() {
    listIncarnation(1000);
    check(Reply.REFUSED);
    clock.runDue();
    reportedIncarnation = Incarnation.startedAt(2000);
    clock.advance(Duration.ofSeconds(1));
    assertTrue(engine.hasEnded());
    assertFalse(fleet.find("s", engine.address()).get().suspected());
  }

  // Guards against a live engine that is never used again, because a former incarnation answered
  // the probe that would have cleared the suspicion.
  @Test
  void answerOfFormerIncarnationDoesNotEndProbesOfSuspectedEngine() {
    listIncarnation(2000);
    check(Reply.REFUSED);
    clock.runDue();
    reportedIncarnation = Incarnation.startedAt(1000);
    clock.advance(Duration.ofMillis(500));
    assertEquals(2, probes);
    assertTrue(engine.suspected());
    reportedIncarnation = Incarnation.startedAt(2000);
    clock.advance(Duration.ofSeconds(1));
    assertFalse(engine.suspected());
    assertEquals(3, probes);
  }

  // Guards against two series of probes of one engine.
  @Test
  void lateAnswerOfFormerIncarnationCausesNoFurtherProbe() {
    listIncarnation(2000);
    check(Reply.REFUSED, Reply.answersAfter(300), Reply.TIMEOUT, Reply.TIMEOUT);
    reportedIncarnation = Incarnation.startedAt(1000);
    // The suspected engine is probed after 400 ms, 1300 ms and 3300 ms.
    clock.advance(Duration.ofMillis(3200));
    assertTrue(engine.suspected());
    assertEquals(3, probes);
  }

  // Guards against an engine that is never used again, because a later process answered at its
  // address while its entry was missing.
  @Test
  void answerOfSuccessorDoesNotEndProbesOfUnlistedEngine() {
    listIncarnation(1000);
    engine.reserve(1);
    fleet.remove("c");
    reportedIncarnation = Incarnation.startedAt(2000);
    check(Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertTrue(engine.suspected());
    reportedIncarnation = Incarnation.startedAt(1000);
    listIncarnation(1000);
    clock.advance(Duration.ofSeconds(2));
    assertFalse(engine.suspected());
  }

  @Test
  void paceOfFormerIncarnationIsIgnored() {
    listIncarnation(2000);
    reportedIncarnation = Incarnation.startedAt(1000);
    pace = 12;
    check(Reply.ANSWERS);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(1.0, engine.pace());
  }

  @Test
  void slowEngineIsProbedForPaceOnlyOnceItAcceptsRequests() {
    pace = 3;
    health.checkPace(engine);
    clock.advance(Duration.ofMillis(100));
    fleet.signals().rateLimits().recordFromEndpoint(engine, AdvertisedRateLimit.of(2));
    int probesBefore = probes;
    clock.advance(Duration.ofSeconds(5));
    assertEquals(probesBefore, probes);
    fleet.signals().rateLimits().recordFromEndpoint(engine, AdvertisedRateLimit.none());
    clock.advance(Duration.ofSeconds(2));
    assertTrue(probes > probesBefore, probes + " probes");
  }

  private void requestBackoff(int seconds) {
    RequestedBackoff backoff = RequestedBackoff.of(Duration.ofSeconds(seconds));
    fleet.signals().recordCallAnswer(engine.endpoint(), EndpointSignal.NONE.withBackoff(backoff));
  }

  @Test
  void engineInBackoffIsProbedOnceForHealth() {
    requestBackoff(3);
    for (int i = 0; i < 29; i++) {
      health.check(engine);
      clock.advance(Duration.ofMillis(100));
    }
    assertEquals(1, probes);
  }

  @Test
  void engineInBackoffIsSuspectedAfterTwoTimeouts() {
    requestBackoff(3);
    check(Reply.TIMEOUT, Reply.TIMEOUT);
    clock.advance(Duration.ofSeconds(2));
    assertTrue(engine.suspected());
    assertEquals(2, probes);
  }

  @Test
  void suspectedEngineInBackoffIsProbedAgainAfterBackoff() {
    check(Reply.REFUSED);
    clock.runDue();
    requestBackoff(3);
    replies.add(Reply.REFUSED);
    clock.advance(Duration.ofMillis(2900));
    assertEquals(2, probes);
    clock.advance(Duration.ofSeconds(2));
    assertFalse(engine.suspected());
  }

  @Test
  void engineInBackoffIsNotProbedForPace() {
    requestBackoff(3);
    health.checkPace(engine);
    clock.advance(Duration.ofMillis(2900));
    assertEquals(0, probes);
  }

  /** Guards against a busy engine being suspected as dead. */
  @Test
  void engineThatAnswersProbeWithBackoffIsNotSuspected() {
    check(Reply.REQUESTS_BACKOFF);
    clock.advance(Duration.ofSeconds(1));
    assertFalse(engine.suspected());
  }

  @Test
  void suspicionIsClearedIfEngineAnswersProbeWithBackoff() {
    check(Reply.REFUSED, Reply.REQUESTS_BACKOFF);
    clock.advance(Duration.ofMillis(500));
    assertFalse(engine.suspected());
  }

  @Test
  void probeCountsAgainstRateLimit() {
    fleet.signals().rateLimits().recordFromEndpoint(engine, AdvertisedRateLimit.of(2));
    engine.rateLimit().setShare(2, 1, clock.currentTime(NANOSECONDS));
    clock.advance(Duration.ofMillis(600));
    assertTrue(engine.usable(clock.currentTime(NANOSECONDS)));
    health.check(engine);
    assertFalse(engine.usable(clock.currentTime(NANOSECONDS)));
  }
}
