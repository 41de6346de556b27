package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks admission, what is sent again, and how a broken stream goes on. */
final class ForwarderTest {
  private final ForwardingFixture node = new ForwardingFixture();

  private static Reason reason(Got got) {
    return got.refusal.get().reason();
  }

  @Test
  void unknownPathIsNotFound() {
    assertEquals(Reason.UNKNOWN_PATH, reason(node.ask("/none/x")));
  }

  @Test
  void missingKeyIsRefused() {
    assertEquals(Reason.UNKNOWN_KEY, reason(node.ask("/safe/x", Optional.empty())));
  }

  @Test
  void staleConfigurationServesNobody() {
    node.replica(1);
    node.advance(4800);
    Got got = node.ask("/safe/x");
    assertEquals(Reason.CONFIGURATION_STALE, reason(got));
    assertTrue(got.refusal.get().retryAfter().isPresent());
  }

  @Test
  void limitsThatChangedHoldForTheNextRequest() {
    node.replica(1);
    node.forwarder.limits(new ForwardingLimits(Duration.ofSeconds(1), 0.2, 100));
    node.advance(1500);
    assertEquals(Reason.CONFIGURATION_STALE, reason(node.ask("/safe/x")));
  }

  @Test
  void requestBeforeTheFirstConfigurationWaitsForIt() {
    node.replica(1);
    node.configuration = Optional.empty();
    Got got = node.ask("/safe/x");
    node.configuration = Optional.of(ForwardingFixture.configuration());
    node.advance(50);
    assertEquals(1, node.sent.size());
    assertFalse(got.refusal.isPresent());
  }

  @Test
  void requestIsRefusedIfNoConfigurationComes() {
    node.configuration = Optional.empty();
    Got got = node.ask("/safe/x");
    node.advance(500);
    assertEquals(Reason.NOT_READY, reason(got));
  }

  @Test
  void answerIsPassedOnWhole() {
    node.replica(1);
    Got got = node.ask("/safe/x");
    node.last().head(200);
    node.last().text("body");
    node.last().listener.end();
    assertEquals("body", got.body);
    assertTrue(got.whole);
  }

  @Test
  void workspaceComesFromTheKey() {
    node.replica(1);
    node.ask("/safe/x");
    assertEquals(Optional.of("ward"), node.last().attempt.workspace());
  }

  @Test
  void safeRequestGoesToAnotherReplicaAfterAnError() {
    node.replica(1);
    node.replica(2);
    Got got = node.ask("/safe/x");
    node.last().head(500);
    assertEquals(2, node.sent.size());
    assertFalse(node.sent.get(0).attempt.endpoint().equals(node.last().attempt.endpoint()));
    node.last().head(200);
    assertEquals(Optional.of(200), got.status);
  }

  @Test
  void secondErrorOfASafeRequestIsPassedOn() {
    node.replica(1);
    node.replica(2);
    Got got = node.ask("/safe/x");
    node.last().head(500);
    node.last().head(500);
    assertEquals(Optional.of(500), got.status);
  }

  @Test
  void unsafeRequestIsNeverSentAgainAfterALostConnection() {
    node.replica(1);
    node.replica(2);
    Got got = node.ask("/unsafe/x");
    node.last().listener.failed(false, new IllegalStateException("reset"));
    assertEquals(1, node.sent.size());
    assertEquals(Verdict.MAY_HAVE_RUN, got.refusal.get().verdict());
    assertEquals(502, reason(got).status());
  }

  @Test
  void unsafeRequestThatWasNotRunGoesToAnotherReplica() {
    node.replica(1);
    node.replica(2);
    Got got = node.ask("/unsafe/x");
    node.last().notRun(503, Optional.empty());
    assertEquals(2, node.sent.size());
    node.last().head(200);
    assertEquals(Optional.of(200), got.status);
  }

  @Test
  void answerToAnotherRequestNeverReachesTheCaller() {
    node.replica(1);
    Got got = node.ask("/unsafe/x");
    node.last().listener.head(new Head(200, false, false, Optional.empty(), EndpointSignal.NONE));
    assertTrue(node.last().cancelled);
    assertTrue(got.status.isEmpty());
    assertEquals(Verdict.MAY_HAVE_RUN, got.refusal.get().verdict());
  }

  @Test
  void timeLimitOfTheRouteEndsTheRequest() {
    node.replica(1);
    Got got = node.ask("/unsafe/x");
    node.advance(800);
    assertEquals(Reason.DEADLINE, reason(got));
    assertTrue(node.last().cancelled);
  }

  @Test
  void callerThatLeftIsCancelledAtTheEndpoint() {
    node.replica(1);
    Got got = node.ask("/unsafe/x");
    got.flow.gone();
    assertTrue(node.last().cancelled);
    assertEquals(0, node.forwarder.inFlight());
  }

  @Test
  void slowReaderPausesTheEndpoint() {
    node.replica(1);
    Got got = node.ask("/safe/x");
    got.keepsUp = false;
    node.last().head(200);
    node.last().text("part");
    assertTrue(node.last().paused);
    got.flow.drained();
    assertFalse(node.last().paused);
  }

  @Test
  void requestThatNoEndpointCanRunIsRefusedAtOnceAndNotRun() {
    Got got = node.ask("/stream/x");
    assertEquals(Reason.NO_ENDPOINT, reason(got));
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
    assertTrue(got.refusal.get().retryAfter().isPresent());
  }

  @Test
  void requestForAFullFleetWaitsAndIsServedWhenRoomComesFree() {
    fullEngines();
    Got got = node.ask("/stream/x");
    node.advance(300);
    assertTrue(node.sent.isEmpty());
    assertFalse(got.refusal.isPresent());
    emptyEngines();
    node.advance(50);
    assertEquals(1, node.sent.size());
  }

  @Test
  void requestThatFindsNoRoomIsRefusedBeforeItsCallerLeaves() {
    fullEngines();
    Got got = node.ask("/stream/x");
    node.advance(2000);
    assertEquals(Reason.NO_ENDPOINT, reason(got));
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
  }

  @Test
  void requestBehindMoreThanCanBeStartedInTimeIsRefusedAtOnce() {
    fullEngines();
    Got last = null;
    for (int i = 0; i < 10; i++) {
      last = node.ask("/stream/x");
    }
    assertEquals(Reason.NO_ENDPOINT, reason(last));
  }

  @Test
  void theLongerAShortageLastsTheLaterCallersAreAskedToComeBack() {
    fullEngines();
    node.ask("/stream/x");
    node.advance(1900);
    for (int i = 0; i < 5; i++) {
      node.ask("/stream/x");
    }
    Got got = node.ask("/stream/x");
    Duration comeBack = got.refusal.get().retryAfter().get();
    assertTrue(comeBack.toMillis() >= 1400, "come back after " + comeBack);
  }

  @Test
  void freshRequestGoesBeforeOneThatIsLateAnyway() {
    fullEngines();
    node.ask("/stream/late");
    node.advance(700);
    node.ask("/stream/fresh");
    emptyEngines();
    node.advance(30);
    assertEquals("/stream/fresh", node.sent.get(0).attempt.request().path());
  }

  @Test
  void callerThatLeftWaitsNoLonger() {
    fullEngines();
    Got got = node.ask("/stream/x");
    got.flow.gone();
    emptyEngines();
    node.advance(100);
    assertTrue(node.sent.isEmpty());
  }

  /** Engines that hold all layers; other nodes' requests take all their memory. */
  private void fullEngines() {
    for (int i = 0; i < 3; i++) {
      FleetEndpoint engine = node.engine(i + 1, i * 27, Math.min(80, (i + 1) * 27));
      node.fleet.at(ForwardingFixture.MODEL, engine.address()).get().peersLoad(100, 1e9, 1);
    }
  }

  private void emptyEngines() {
    node.fleet.all().forEach(engine -> engine.peersLoad(0, 0, 1));
  }

  @Test
  void streamNamesEveryLayerOnce() {
    node.engine(1, 0, 40);
    node.engine(2, 30, 80);
    node.ask("/stream/x");
    String path = node.last().attempt.path().get();
    assertTrue(path.startsWith("10.0.0.1:80=0-"), path);
    assertTrue(path.endsWith("-80"), path);
  }

  @Test
  void brokenStreamGoesOnAfterItsLastWholeEvent() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    Got got = node.ask("/stream/x");
    SentAttempt first = node.last();
    first.head(200);
    first.event(1);
    first.event(2);
    first.text("id: 3\nda");
    first.listener.failed(false, new IllegalStateException("reset"));
    assertEquals(Optional.of("2"), node.last().attempt.resumeAfter());
    node.last().head(200);
    node.last().event(3);
    node.last().listener.end();
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", got.body);
    assertTrue(got.whole);
  }

  @Test
  void streamThatRunsOnceIsCutAndDoesNotLookWhole() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    Got got = node.ask("/once/x");
    node.last().head(200);
    node.last().event(1);
    node.last().listener.failed(false, new IllegalStateException("reset"));
    assertEquals(1, node.sent.size());
    assertTrue(got.cut);
    assertFalse(got.whole);
  }

  @Test
  void stalledStreamGetsAnotherPathAroundTheDeadEngine() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    FleetEndpoint third = node.engine(3, 40, 80);
    Got got = node.ask("/stream/x");
    String before = node.last().attempt.path().get();
    FleetEndpoint used = before.contains("10.0.0.2") ? second : third;
    node.last().head(200);
    node.last().event(1);
    node.control.dead.add(used.address());
    node.advance(600);
    assertEquals(1, node.control.repaths.size());
    assertFalse(node.control.repaths.get(0).contains(used.address().toString()));
    assertFalse(got.cut);
  }

  @Test
  void streamResumesElsewhereWhenItsFirstEngineDies() {
    FleetEndpoint first = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.engine(2, 0, 80);
    node.control.dead.add(first.address());
    node.advance(600);
    assertEquals("e2", node.last().attempt.endpoint().id());
    node.last().head(200);
    assertTrue(node.sent.get(0).cancelled);
    assertEquals(Optional.of("1"), node.last().attempt.resumeAfter());
    assertFalse(got.cut);
  }

  @Test
  void streamInProgressCausesNoProbe() {
    node.engine(1, 0, 80);
    node.ask("/stream/x");
    node.last().head(200);
    for (int id = 1; id < 40; id++) {
      node.advance(60);
      node.last().event(id);
    }
    assertTrue(node.control.reported.isEmpty());
  }

  @Test
  void longPausesAskTheEngineForItsPace() {
    node.engine(1, 0, 80);
    node.ask("/stream/x");
    node.control.pace = 5;
    node.last().head(200);
    for (int id = 1; id < 6; id++) {
      node.advance(180);
      node.last().event(id);
    }
    assertEquals(5, node.fleet.of(ForwardingFixture.MODEL).get(0).pace());
  }

  /** The head and the first event come together; that must not pass for a fast engine. */
  @Test
  void newStreamsDoNotHideASlowEngine() {
    node.engine(1, 0, 80);
    node.control.pace = 12;
    for (int stream = 0; stream < 4; stream++) {
      node.ask("/stream/x");
      SentAttempt sent = node.last();
      node.advance(180);
      sent.head(200);
      sent.event(1);
      node.advance(180);
      sent.event(2);
      sent.event(3);
    }
    assertEquals(12, node.fleet.of(ForwardingFixture.MODEL).get(0).pace());
  }

  /** Reading a stream again elsewhere has a price, and no run showed that it helps. */
  @Test
  void streamsStayOnAnEngineThatBecameSlow() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.engine(3, 40, 80);
    node.control.slow.add(second.address());
    for (int id = 2; id < 6; id++) {
      node.advance(180);
      node.last().event(id);
    }
    assertTrue(node.control.repaths.isEmpty());
  }

  @Test
  void streamMovesOffALeavingEngine() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.engine(3, 40, 80);
    node.announceLeaving(second);
    for (int id = 2; id < 10; id++) {
      node.advance(100);
      node.last().event(id);
    }
    assertEquals(1, node.control.repaths.size());
    assertTrue(node.control.repaths.get(0).contains("10.0.0.3"));
  }

  @Test
  void obstacleOnTheNewPathIsAvoidedToo() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    FleetEndpoint third = node.engine(3, 40, 80);
    node.engine(4, 40, 80);
    node.control.answer =
        new RepathOutcome(RepathOutcome.Kind.OBSTACLE, Optional.of(third.address()));
    node.control.dead.add(second.address());
    node.advance(600);
    String lastPath = node.control.repaths.get(node.control.repaths.size() - 1);
    assertTrue(node.control.repaths.size() >= 2);
    assertFalse(lastPath.contains(second.address().toString()), lastPath);
  }

  @Test
  void streamOnALeavingEngineIsNotBrokenOffWhenNoOtherPathIsAccepted() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.engine(3, 40, 80);
    node.control.answer = new RepathOutcome(RepathOutcome.Kind.OBSTACLE, Optional.empty());
    node.announceLeaving(second);
    for (int id = 2; id < 30; id++) {
      node.advance(100);
      node.last().event(id);
    }
    assertEquals(1, node.sent.size());
    assertFalse(node.last().cancelled);
    assertFalse(got.cut);
  }

  @Test
  void brokenStreamWaitsForAPlaceBeforeItIsCut() {
    FleetEndpoint first = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.fleet.remove(first.id());
    node.last().listener.failed(false, new IllegalStateException("reset"));
    node.advance(500);
    assertFalse(got.cut);
    node.engine(2, 0, 80);
    node.advance(50);
    assertEquals("e2", node.last().attempt.endpoint().id());
  }

  @Test
  void fullEngineIsAvoidedForItsReportsLag() {
    FleetEndpoint first = node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.ask("/stream/x");
    FleetEndpoint full = node.last().attempt.endpoint();
    node.last().notRun(503, Optional.of(full.address()));
    assertEquals(2, node.sent.size());
    assertFalse(node.last().attempt.endpoint().id().equals(full.id()));
    assertTrue(first.slots() > 0);
  }

  @Test
  void streamWhoseFirstEngineCrashedGoesOnAtAnotherBeforeTheCrashIsKnown() {
    FleetEndpoint crashed = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    FleetEndpoint other = node.engine(2, 0, 80);
    // Busy for now, so that the crashed engine still looks like the better choice.
    occupy(other);

    node.last().listener.failed(false, new IllegalStateException("closed"));

    assertEquals(crashed, node.sent.get(0).attempt.endpoint());
    assertEquals(other, node.last().attempt.endpoint());
    assertEquals(Optional.of("1"), node.last().attempt.resumeAfter());
    node.last().head(200);
    node.last().event(2);
    node.last().listener.end();
    assertTrue(got.whole);
  }

  @Test
  void streamGoesOnAtTheSameEngineIfThereIsNoOther() {
    FleetEndpoint only = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);

    node.last().listener.failed(false, new IllegalStateException("reset"));

    assertEquals(2, node.sent.size());
    assertEquals(only, node.last().attempt.endpoint());
    assertFalse(got.cut);
  }

  @Test
  void refusedConnectionSendsANewRequestToAnotherEngine() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.ask("/once/x");
    FleetEndpoint first = node.last().attempt.endpoint();

    node.last().listener.failed(true, new ConnectException("refused"));

    assertEquals(2, node.sent.size());
    assertFalse(first.equals(node.last().attempt.endpoint()));
  }

  @Test
  void streamThatRunsOnceGoesElsewhereIfItsEngineDiesBeforeThereIsAConnection() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.ask("/once/x");
    HostPort dead = node.last().attempt.endpoint().address();
    node.last().arrived = false;
    node.fleet.suspect(node.fleet.at(ForwardingFixture.MODEL, dead).get(), "test");
    assertEquals(2, node.sent.size());
    assertTrue(node.sent.get(0).cancelled);
  }

  /** Two engines die before the connections to them are given up: no run was used up. */
  @Test
  void streamWhoseEnginesDieBeforeThereIsAConnectionHasNotRun() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    Got got = node.ask("/stream/x");
    for (int dead = 1; dead <= 3; dead++) {
      node.last().arrived = false;
      HostPort address = node.last().attempt.endpoint().address();
      node.fleet.suspect(node.fleet.at(ForwardingFixture.MODEL, address).get(), "test");
    }
    assertEquals(3, node.sent.size());
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
    assertEquals(503, reason(got).status());
  }

  @Test
  void requestThatHadNoConnectionAtItsTimeLimitHasNotRun() {
    node.replica(1);
    Got got = node.ask("/unsafe/x");
    node.last().arrived = false;
    node.advance(800);
    assertEquals(Reason.NOT_STARTED_IN_TIME, reason(got));
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
  }

  private void occupy(FleetEndpoint engine) {
    node.fleet.at(ForwardingFixture.MODEL, engine.address()).get().reserve(10_000);
  }
}
