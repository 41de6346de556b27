package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.BodyDelimiter;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks streams without a length or chunks, which end with the connection to their engine. */
final class UndelimitedStreamTest {
  private final ForwardingFixture node = new ForwardingFixture();
  private RecordedResponse response;
  private SentAttempt running;

  private void startStream(String path) {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    response = node.request(path);
    running = node.lastAttempt();
    running.head(200);
    running.event(1);
  }

  /** Ends the connection without an error, and lets the node react. */
  private void endConnection() {
    running.endWithConnection();
    node.clock.runDue();
  }

  private void assertResumedAfterFirstEvent() {
    assertFalse(response.whole, "taken as complete");
    assertFalse(response.cut, "aborted");
    assertEquals(2, node.sent.size(), "sends");
    running = node.lastAttempt();
    assertEquals("1", running.attempt.resumeAfter().orElseThrow());
    running.head(200);
    running.event(2);
    running.end();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", response.body);
  }

  // Guards against a stream that was broken off inside an event and reaches its caller as complete.
  @Test
  void streamThatEndsInsideAnEventIsResumed() {
    startStream("/stream/x");
    running.text("id: 2\nda");
    endConnection();
    assertResumedAfterFirstEvent();
  }

  // The same at each place inside an event.
  @ParameterizedTest
  @ValueSource(strings = {"i", "id: 2", "id: 2\n", "id: 2\ndata: x", "id: 2\ndata: x\n"})
  void partOfAnEventIsDropped(String part) {
    startStream("/stream/x");
    running.text(part);
    endConnection();
    assertResumedAfterFirstEvent();
  }

  // Guards against an engine that is lost before its first event and whose stream counts as
  // complete.
  @Test
  void streamThatEndsBeforeItsFirstEventIsSentAgain() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    response = node.request("/stream/x");
    running = node.lastAttempt();
    running.head(200);
    endConnection();
    assertFalse(response.whole, "taken as complete");
    running = node.lastAttempt();
    running.head(200);
    running.event(1);
    running.end();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\n", response.body);
  }

  // Guards against an answer of two runs whose second one is lost and counts as the end of both.
  @Test
  void resumedStreamThatEndsBeforeItsFirstEventIsNotComplete() {
    startStream("/thrice/x");
    running.listener.failed(false, new IllegalStateException("reset"));
    node.clock.runDue();
    running = node.lastAttempt();
    running.head(200);
    endConnection();
    assertFalse(response.whole, "taken as complete");
    node.advance(200);
    assertEquals(3, node.sent.size(), "sends");
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    running.end();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", response.body);
  }

  // Guards against a truncation that is not counted as a failure of its endpoint.
  @Test
  void truncatedStreamCountsAsLossOfItsEngine() {
    startStream("/stream/x");
    running.text("id: 2\nda");
    int probes = node.control.probed.size();
    endConnection();
    assertEquals(
        1.0, node.meters.counter("vaneworks.retries", "reason", "response-truncated").count());
    assertEquals(1.0, responses(BodyDelimiter.CONNECTION_CLOSE));
    assertTrue(node.control.probed.size() > probes, "engine is probed");
  }

  // Guards against a length that the first engine states and that the events of others don't have.
  @Test
  void lengthIsPassedOnOnlyWhereNoOtherEndpointMayContinue() {
    startStream("/stream/x");
    assertTrue(response.streamed, "resumable stream");
    startStream("/once/x");
    assertFalse(response.streamed, "other stream");
    response = node.request("/stream/y");
    node.lastAttempt().head(404);
    assertFalse(response.streamed, "failure");
  }

  // Control cases: a stated end completes the response, also inside an event or before the first.
  @Test
  void streamWithAStatedEndIsPassedOnUnaltered() {
    startStream("/stream/x");
    running.text("id: 2\nda");
    running.end();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\nid: 2\nda", response.body);
    response = node.request("/stream/y");
    running = node.lastAttempt();
    running.head(200);
    running.end();
    assertTrue(response.whole, "whole");
  }

  // Guards against a crash of an engine between two events, whose streams reach their callers as
  // complete because a process that ends closes its connections without an error.
  @Test
  void streamWhoseEngineCrashesBetweenEventsIsResumed() {
    startStream("/stream/x");
    node.control.refusing.add(running.attempt.endpoint().address());
    endConnection();
    assertFalse(response.whole, "taken as complete");
    node.advance(200);
    assertResumedAfterFirstEvent();
  }

  // The same where the connection of the probe is closed as well.
  @Test
  void streamWhoseEngineClosesTheConnectionsOfProbesIsResumed() {
    startStream("/stream/x");
    node.control.dead.add(running.attempt.endpoint().address());
    endConnection();
    assertFalse(response.whole, "taken as complete");
    node.advance(200);
    assertResumedAfterFirstEvent();
  }

  // Guards against a complete stream that is aborted as its engine is paused afterwards: a box
  // whose
  // process has ended refuses connections, so silence does not speak against the close.
  @Test
  void streamWhoseEngineIsSilentAfterTheCloseIsComplete() {
    startStream("/once/x");
    node.control.silent.add(running.attempt.endpoint().address());
    endConnection();
    assertFalse(response.whole, "taken as complete at once");
    node.advance(1000);
    assertTrue(response.whole, "whole");
  }

  // Guards against a complete stream that is aborted because its engine was silent before.
  @Test
  void streamOfASuspectedEngineThatAnswersAgainIsComplete() {
    startStream("/once/x");
    HostPort address = running.attempt.endpoint().address();
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow(), "test");
    endConnection();
    assertTrue(response.whole, "whole");
  }

  // Control case: the same with an engine whose box refuses connections.
  @Test
  void streamOfASuspectedEngineThatHasEndedIsResumed() {
    startStream("/stream/x");
    HostPort address = running.attempt.endpoint().address();
    node.control.refusing.add(address);
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow(), "test");
    endConnection();
    node.advance(200);
    assertFalse(response.whole, "taken as complete");
  }

  // Guards against a stream of a process that is known to have ended, and that counts as complete
  // because the next probe of its box gets no answer in time.
  @Test
  void streamWhoseEngineRefusedAProbeBeforeIsNotCompleteAfterASilentProbe() {
    startStream("/stream/x");
    HostPort address = running.attempt.endpoint().address();
    TrackedEndpoint engine = node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow();
    node.control.refusing.add(address);
    node.health.check(engine);
    node.advance(50);
    assertTrue(engine.suspected(), "suspected");
    node.control.refusing.remove(address);
    node.control.silent.add(address);
    endConnection();
    node.advance(1000);
    assertFalse(response.whole, "taken as complete");
  }

  // Control case: the engine answers after the refusal, so that its later silence shows nothing.
  @Test
  void streamWhoseEngineAnsweredSinceTheRefusalIsCompleteAfterASilentProbe() {
    startStream("/once/x");
    HostPort address = running.attempt.endpoint().address();
    TrackedEndpoint engine = node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow();
    node.control.refusing.add(address);
    node.health.check(engine);
    node.advance(50);
    node.control.refusing.remove(address);
    node.advance(1000);
    assertFalse(engine.suspected(), "suspected");
    node.control.silent.add(address);
    endConnection();
    node.advance(1000);
    assertTrue(response.whole, "whole");
  }

  // Guards against the end of a process that is taken for life, as another engine's report that
  // requests are stalled on it ends the wait for the probe.
  @Test
  void streamWhoseEngineIsSuspectedAfterTheCloseIsNotCompleteBeforeAProbeShowsIt() {
    startStream("/once/x");
    TrackedEndpoint engine =
        node.fleet.find(ForwardingFixture.MODEL, running.attempt.endpoint().address()).get();
    TrackedEndpoint other =
        node.fleet.all().stream().filter(each -> each != engine).findFirst().orElseThrow();
    node.control.pending.put(engine.address(), new CompletableFuture<>());
    endConnection();
    node.advance(100);
    node.control.pending.clear();
    node.control.refusing.add(engine.address());
    node.control.stalls.put(other.address(), ImmutableMap.of("q9", engine.address()));
    node.health.check(other);
    node.advance(200);
    assertTrue(engine.suspected(), "suspected");
    assertFalse(response.whole, "taken as complete");
    assertTrue(response.cut, "aborted");
  }

  private void refuseAllConnections() {
    node.fleet.all().forEach(engine -> node.control.refusing.add(engine.address()));
  }

  // Guards against a complete stream that is aborted because its node is cut off: new connections
  // are refused then, which looks like the end of each engine's process.
  @Test
  void streamThatEndsWhileTheNodeIsCutOffIsCompleteOnceItsEngineAnswers() {
    startStream("/once/x");
    refuseAllConnections();
    endConnection();
    node.advance(1500);
    assertFalse(response.whole, "taken as complete without evidence");
    assertFalse(response.cut, "aborted");
    node.control.refusing.clear();
    node.advance(2000);
    assertTrue(response.whole, "whole");
  }

  // The same while the node stays cut off, as the list still has the engine's entry after the time
  // in which it would have expired.
  @Test
  void streamThatEndsWhileTheNodeIsCutOffIsCompleteIfTheEntryOutlivesTheProcess() {
    startStream("/once/x");
    refuseAllConnections();
    endConnection();
    for (int i = 0; i < 4; i++) {
      node.advance(1000);
      node.fleet.resolveMissing();
      assertFalse(response.whole, "taken as complete before the entry would have expired");
    }
    node.advance(2000);
    node.fleet.resolveMissing();
    node.advance(200);
    assertTrue(response.whole, "whole");
  }

  // Guards against a list that nobody confirmed and that counts as evidence.
  @Test
  void streamThatEndsWhileTheNodeIsCutOffFromTheStoreTooIsNotComplete() {
    startStream("/once/x");
    refuseAllConnections();
    endConnection();
    node.advance(10_000);
    assertFalse(response.whole, "taken as complete");
    assertTrue(response.cut, "aborted");
  }

  // Guards against the end of a process during a cut, whose streams look complete.
  @Test
  void streamWhoseEngineEndsWhileTheNodeIsCutOffIsNotComplete() {
    startStream("/once/x");
    HostPort address = running.attempt.endpoint().address();
    refuseAllConnections();
    endConnection();
    node.advance(1500);
    node.control.refusing.removeIf(refusing -> !refusing.equals(address));
    node.advance(2000);
    assertFalse(response.whole, "taken as complete");
    assertTrue(response.cut, "aborted");
  }

  // The same where the entry goes first.
  @Test
  void streamWhoseEntryGoesWhileTheNodeIsCutOffIsNotComplete() {
    startStream("/once/x");
    refuseAllConnections();
    endConnection();
    node.advance(1500);
    node.fleet.remove(running.attempt.endpoint().id());
    node.fleet.resolveMissing();
    node.advance(200);
    assertFalse(response.whole, "taken as complete");
    assertTrue(response.cut, "aborted");
  }

  // Guards against a cut that begins just after the node reached other endpoints.
  @Test
  void reachBeforeTheRefusalDoesNotProveTheEndOfTheProcess() {
    startStream("/once/x");
    RecordedResponse first = response;
    SentAttempt firstAttempt = running;
    TrackedEndpoint other =
        node.fleet.all().stream()
            .filter(engine -> !engine.address().equals(running.attempt.endpoint().address()))
            .findFirst()
            .orElseThrow();
    node.control.refusing.add(other.address());
    node.health.check(other);
    node.advance(50);
    refuseAllConnections();
    firstAttempt.endWithConnection();
    node.clock.runDue();
    node.advance(200);
    assertFalse(first.cut, "aborted");
    node.control.refusing.clear();
    node.advance(2000);
    assertTrue(first.whole, "whole");
  }

  // The same where the engine has restarted already.
  @Test
  void streamWhoseEngineHasRestartedIsResumed() {
    startStream("/stream/x");
    node.control.started.put(
        running.attempt.endpoint().address(), Incarnation.startedAt(1_000_000));
    endConnection();
    assertResumedAfterFirstEvent();
  }

  // Guards against a stream that is aborted or resumed as its engine answers late or not at once.
  @Test
  void streamIsCompleteOnceItsEngineAnswersLate() {
    startStream("/stream/x");
    var report = new CompletableFuture<EngineReport>();
    node.control.pending.put(running.attempt.endpoint().address(), report);
    endConnection();
    assertFalse(response.whole, "taken as complete before the engine answers");
    node.advance(50);
    report.complete(node.control.reportOf(running.attempt.endpoint()));
    node.clock.runDue();
    assertTrue(response.whole, "whole");
    assertEquals(1, node.sent.size(), "sends");
  }

  // Guards against a probe sent before the close, whose answer proves nothing about what followed.
  @Test
  void engineIsProbedAgainAfterACloseDuringAProbe() {
    startStream("/stream/x");
    SentAttempt first = running;
    RecordedResponse firstResponse = response;
    var report = new CompletableFuture<EngineReport>();
    node.control.pending.put(first.attempt.endpoint().address(), report);
    first.endWithConnection();
    response = node.request("/stream/y");
    SentAttempt second = node.lastAttempt();
    assertEquals(first.attempt.endpoint().address(), second.attempt.endpoint().address());
    second.head(200);
    second.event(1);
    second.endWithConnection();
    node.clock.runDue();
    int probes = node.control.probed.size();
    node.control.pending.clear();
    node.control.refusing.add(first.attempt.endpoint().address());
    report.complete(node.control.reportOf(first.attempt.endpoint()));
    node.clock.runDue();
    assertTrue(firstResponse.whole, "first");
    assertTrue(node.control.probed.size() > probes, "probed again");
    assertFalse(response.whole, "second");
  }

  // Control case: an engine that leaves serves on.
  @Test
  void streamOfALeavingEngineIsComplete() {
    startStream("/stream/x");
    node.announceLeaving(running.attempt.endpoint());
    endConnection();
    assertTrue(response.whole, "whole");
  }

  // Guards against streams that the planned end of an engine cuts and that look complete.
  @Test
  void streamWhoseLeavingEngineHasEndedIsResumed() {
    startStream("/stream/x");
    node.announceLeaving(running.attempt.endpoint());
    node.control.refusing.add(running.attempt.endpoint().address());
    endConnection();
    node.advance(200);
    assertResumedAfterFirstEvent();
  }

  // Control case: an engine whose backoff admits no more calls is not called, and nothing speaks
  // against its process.
  @Test
  void streamOfAnEngineThatAdmitsNoCallsIsComplete() {
    startStream("/stream/x");
    HostPort address = running.attempt.endpoint().address();
    TrackedEndpoint engine = node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow();
    node.fleet
        .signals()
        .recordCallAnswer(
            engine.endpoint(),
            EndpointSignal.NONE.withBackoff(RequestedBackoff.of(Duration.ofSeconds(3))));
    node.fleet.signals().recordCall(engine, CallPurpose.HEALTH_CHECK);
    node.control.refusing.add(address);
    int probes = node.control.probed.size();
    endConnection();
    assertTrue(response.whole, "whole");
    assertEquals(probes, node.control.probed.size(), "probes");
  }

  // Guards against a stream that looks complete because its engine's process ended in a backoff.
  @Test
  void engineIsProbedAfterAShortBackoff() {
    startStream("/stream/x");
    HostPort address = running.attempt.endpoint().address();
    TrackedEndpoint engine = node.fleet.find(ForwardingFixture.MODEL, address).orElseThrow();
    node.fleet
        .signals()
        .recordCallAnswer(
            engine.endpoint(),
            EndpointSignal.NONE.withBackoff(RequestedBackoff.of(Duration.ofMillis(300))));
    node.fleet.signals().recordCall(engine, CallPurpose.HEALTH_CHECK);
    node.control.refusing.add(address);
    int probes = node.control.probed.size();
    endConnection();
    assertFalse(response.whole, "taken as complete");
    assertEquals(probes, node.control.probed.size(), "probes during the backoff");
    node.advance(500);
    assertResumedAfterFirstEvent();
  }

  // Guards against the end of a stream that is inferred although its sender, a peer, states ends.
  @Test
  void responseOfAPeerThatClosesTheConnectionIsNotComplete() {
    HostPort address = new HostPort("10.9.0.1", 7000);
    Peer peer = new Peer("near", "dc1", address, Optional.of(new PeerRelay(address, "token")));
    node.peers = ImmutableList.of(peer);
    for (int number = 1; number <= 3; number++) {
      node.control.refusing.add(node.engine(number, 0, 80).address());
    }
    response = node.request("/stream/x");
    node.lastAttempt()
        .listener
        .failed(true, new ConnectionRefusedException(new ConnectException("refused")));
    node.advance(100);
    running = node.toPeers.get(0);
    running.head(200);
    running.event(1);
    running.endWithConnection();
    node.clock.runDue();
    assertFalse(response.whole, "taken as complete");
  }

  // Control case: the close of a connection ends a stream after a complete event.
  @Test
  void streamThatEndsBetweenEventsIsComplete() {
    startStream("/stream/x");
    running.event(2);
    endConnection();
    assertTrue(response.whole, "whole");
    assertEquals(1, node.sent.size(), "sends");
    assertEquals(1.0, responses(BodyDelimiter.CONNECTION_CLOSE));
  }

  // Guards against a whole stream of which the last event is dropped, as its end is not recognized.
  @ParameterizedTest
  @ValueSource(strings = {"id: 2\rdata: x\r\r", "id: 2\ndata: x\n\r\n", "\n", ": end\n"})
  void streamThatEndsBehindLineEndsOfAnyKindIsComplete(String last) {
    startStream("/stream/x");
    running.text(last);
    endConnection();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\n" + last, response.body);
  }

  // Guards against a comment that is taken for an event.
  @Test
  void streamOfCommentsAloneIsNotComplete() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    response = node.request("/stream/x");
    running = node.lastAttempt();
    running.head(200);
    running.text(": wait\n\n");
    endConnection();
    assertFalse(response.whole, "taken as complete");
  }

  // Control case: a body that is not a stream has no other sign of its end than the close.
  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x"})
  void plainResponseEndsWithItsConnection(String path) {
    node.replica(1);
    response = node.request(path);
    running = node.lastAttempt();
    running.head(200);
    running.text("{\"a\":");
    endConnection();
    assertTrue(response.whole, "whole");
    assertEquals("{\"a\":", response.body);
  }

  // Control case: the body of a failure on a route for streams is no stream.
  @Test
  void failureOnStreamRouteEndsWithItsConnection() {
    node.engine(1, 0, 80);
    response = node.request("/stream/x");
    running = node.lastAttempt();
    running.head(404);
    running.text("not found");
    endConnection();
    assertTrue(response.whole, "whole");
    assertEquals("not found", response.body);
  }

  // Guards against a previous attempt that is truncated and ends the response in place of its
  // replacement.
  @Test
  void truncatedPreviousAttemptDoesNotEndTheResponse() {
    startStream("/stream/x");
    running.text("id: 2\nda");
    SentAttempt former = running;
    node.control.dead.add(former.attempt.endpoint().address());
    node.advance(1500);
    assertEquals(2, node.sent.size(), "sends");
    former.endWithConnection();
    node.clock.runDue();
    assertFalse(response.whole, "taken as complete");
    running = node.lastAttempt();
    running.head(200);
    running.event(2);
    running.end();
    assertTrue(response.whole, "whole");
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", response.body);
  }

  private double responses(BodyDelimiter delimiter) {
    return node.meters.counter("vaneworks.endpoint.responses", "reason", delimiter.code()).count();
  }

  // Guards against the same where the stream may not run again: its caller must see that it was
  // cut.
  @Test
  void streamThatEndsInsideAnEventIsAbortedIfItMayNotBeResumed() {
    startStream("/once/x");
    running.text("id: 2\nda");
    endConnection();
    assertFalse(response.whole, "taken as complete");
    assertTrue(response.cut, "aborted");
    assertEquals("id: 1\ndata: x\n\n", response.body);
    assertEquals(1, node.sent.size(), "sends");
  }
}
