package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.forwarding.PeerHop;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks which requests end, and when, because nothing is heard of the endpoint that has them. */
final class SilentEndpointTest {
  /** From the start of a stream until just before its deadline. */
  private static final int BEFORE_DEADLINE_MILLIS = 19_990;

  private final ForwardingFixture node = new ForwardingFixture();

  SilentEndpointTest() {
    node.forwarder.updateLimits(new ForwardingLimits(Duration.ofMillis(4750), 0, 0, Duration.ZERO));
  }

  /** Registers an engine that answers neither probes nor requests. */
  private FleetEndpoint silentEngine() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    node.control.dead.add(engine.address());
    return engine;
  }

  private void assertStays(RecordedResponse response) {
    assertFalse(node.lastAttempt().cancelled, "cancelled");
    assertFalse(response.cut, "cut");
    assertEquals(Optional.empty(), response.refusal);
  }

  private void assertEndsAtDeadline(RecordedResponse response) {
    node.advance(20);
    Refusal refusal = response.refusal.orElseThrow();
    assertEquals(Reason.DEADLINE, refusal.reason());
    assertEquals(Verdict.MAY_HAVE_RUN, refusal.verdict());
    assertTrue(node.lastAttempt().cancelled, "cancelled");
  }

  // Guards against aborting a stream that has begun, before its deadline, because its engine is
  // silent.
  @Test
  void streamThatHasBegunStaysUntilItsDeadline() {
    silentEngine();
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.advance(BEFORE_DEADLINE_MILLIS);
    assertStays(response);
    node.advance(20);
    assertTrue(response.cut, "cut at the deadline");
  }

  // Guards against the same fault between the head of a stream and its first event.
  @Test
  void streamWithHeadOnlyStaysUntilItsDeadline() {
    silentEngine();
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.advance(BEFORE_DEADLINE_MILLIS);
    assertStays(response);
    node.advance(20);
    assertTrue(response.cut, "cut at the deadline");
  }

  // Guards against failing a stream that may not be repeated because its engine is silent.
  @Test
  void nonIdempotentStreamWithoutResponseStaysUntilItsDeadline() {
    silentEngine();
    RecordedResponse response = node.request("/once/x");
    node.advance(BEFORE_DEADLINE_MILLIS);
    assertStays(response);
    assertEndsAtDeadline(response);
  }

  // Guards against failing requests of plain services, safe or not, because a replica is silent.
  @Test
  void requestsOfPlainServiceStayUntilTheirDeadline() {
    node.replica(1);
    RecordedResponse safe = node.request("/safe/x");
    SentAttempt ofSafe = node.lastAttempt();
    RecordedResponse unsafe = node.request("/unsafe/x");
    node.advance(790);
    assertStays(safe);
    assertStays(unsafe);
    node.advance(20);
    assertEquals(Reason.DEADLINE, safe.refusal.orElseThrow().reason());
    assertEquals(Reason.DEADLINE, unsafe.refusal.orElseThrow().reason());
    assertTrue(ofSafe.cancelled, "cancelled");
  }

  // Guards against failing a request of a plain service, whose replica was restarted, long before
  // its deadline, as the later incarnation may run it.
  @Test
  void safeRequestStaysUntilJustBeforeItsDeadlineIfItsReplicaWasRestarted() {
    FleetEndpoint replica = node.replica(1);
    RecordedResponse response = node.request("/safe/x");
    node.restart(replica);
    node.advance(690);
    assertStays(response);
    node.advance(20);
    assertEquals(Reason.ENDPOINT_LOST, response.refusal.orElseThrow().reason());
  }

  // Guards against failing a request of a peer, which decides itself how long its caller waits.
  @Test
  void requestOfPeerStaysUntilItsDeadline() {
    silentEngine();
    RecordedResponse response = new RecordedResponse();
    node.forwarder.forwardForPeer(
        node.callerRequest("/stream/"),
        response,
        new PeerHop("", ForwardingFixture.MODEL, false, Duration.ZERO));
    node.advance(BEFORE_DEADLINE_MILLIS);
    assertStays(response);
    assertEndsAtDeadline(response);
  }

  // Guards against failing a stream of which nothing was heard while its engine, which answers
  // probes, reads its prompt.
  @Test
  void streamWithoutResponseStaysAtEngineThatAnswersProbes() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.advance(BEFORE_DEADLINE_MILLIS);
    assertStays(response);
    assertEndsAtDeadline(response);
  }

  // Guards against failing a stream while callers still wait for its first event, which is longer
  // on routes with a long objective.
  @Test
  void streamWithoutResponseStaysAtSilentEngineWhileItsCallerWaits() {
    silentEngine();
    RecordedResponse response = node.request("/stream/x");
    RecordedResponse patient = node.request("/patient/x");
    node.advance(1890);
    assertEquals(Optional.empty(), response.refusal);
    node.advance(6000);
    assertStays(patient);
    node.advance(20);
    assertEquals(Verdict.MAY_HAVE_RUN, patient.refusal.orElseThrow().verdict());
  }
}
