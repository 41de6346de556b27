package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
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

/** Checks when a request at an unresponsive engine fails over, and when a failover stops. */
final class FailoverTest {
  private final ForwardingFixture node = new ForwardingFixture();

  private void fillCapacity(FleetEndpoint other) {
    node.fleet
        .find(ForwardingFixture.MODEL, other.address())
        .orElseThrow()
        .setPeerLoad(100, 1e9, 1);
  }

  private void setRetryBudget(double reserve) {
    // ResendBudget uses a fraction of 0.6 of the reserve.
    node.forwarder.updateLimits(
        new ForwardingLimits(Duration.ofMillis(4750), 0, reserve / 0.6 + 0.01, Duration.ZERO));
  }

  private void avoid(FleetEndpoint engine) {
    node.fleet
        .find(ForwardingFixture.MODEL, engine.address())
        .orElseThrow()
        .avoidUntil(node.now() + Duration.ofSeconds(20).toNanos());
  }

  private void registerFullEngines() {
    fillCapacity(node.engine(2, 0, 40));
    fillCapacity(node.engine(3, 40, 80));
  }

  /** Makes an engine unresponsive and waits until the node suspects it. */
  private void makeUnresponsive(FleetEndpoint engine) {
    node.control.dead.add(engine.address());
    node.advance(400);
    assertTrue(suspected(engine));
  }

  /** Requests a stream and returns the time until it is sent, in milliseconds. */
  private int waitMillisOfNewRequest() {
    int before = node.sent.size();
    node.request("/stream/new");
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

  private SentAttempt startStream(String path) {
    node.request(path);
    SentAttempt sent = node.lastAttempt();
    sent.head(200);
    sent.event(1);
    return sent;
  }

  // Guards against requests that are refused for want of retry budget although none arrived.
  @Test
  void requestThatReachedNoEngineNeedsNoRetryBudget() {
    setRetryBudget(0);
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.request("/stream/x");
    SentAttempt first = node.lastAttempt();
    first.listener.failed(true, new ConnectException("refused"));
    node.advance(200);
    assertEquals(2, node.sent.size());
    // The second one arrives, so that a third one would be a repeat.
    node.lastAttempt().listener.failed(false, new ClosedChannelException());
    node.advance(200);
    assertEquals(2, node.sent.size());
  }

  // Guards against spending retry budget on the engine that already runs the request.
  @Test
  void streamDoesNotFailOverToSameEngine() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = startStream("/stream/x");
    makeUnresponsive(engine);
    node.control.dead.clear();
    node.advance(500);
    assertFalse(suspected(engine));
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against the same fault while all other engines are full.
  @Test
  void streamDoesNotFailOverToSameEngineWhileOthersAreFull() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = startStream("/stream/x");
    registerFullEngines();
    makeUnresponsive(engine);
    node.control.dead.clear();
    node.advance(500);
    assertFalse(suspected(engine));
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against refusing a request whose engine recovers while it waits for capacity elsewhere.
  @Test
  void requestIsNotRefusedWhenItsEngineRecoversDuringFailover() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    SentAttempt running = node.lastAttempt();
    registerFullEngines();
    node.control.dead.add(engine.address());
    node.advance(500);
    assertTrue(suspected(engine));
    assertFalse(running.cancelled, "cancelled early");
    node.control.dead.clear();
    // The engine has recovered but is avoided, so the queue can't send the request there.
    avoid(engine);
    node.advance(1500);
    assertFalse(suspected(engine));
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), response.refusal);
  }

  // Guards against aborting a non-idempotent request that arrived after its failover started.
  @Test
  void nonIdempotentRequestStaysOnceItHasArrived() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/once/x");
    SentAttempt running = node.lastAttempt();
    running.arrived = false;
    registerFullEngines();
    node.control.dead.add(engine.address());
    node.advance(500);
    assertTrue(suspected(engine));
    assertFalse(running.cancelled, "cancelled early");
    running.arrived = true;
    node.advance(1500);
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), response.refusal);
  }

  // A non-idempotent request that had arrived before is never aborted because its engine is
  // unresponsive.
  @Test
  void nonIdempotentRequestStaysIfItArrivedBeforeSilence() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/once/x");
    SentAttempt running = node.lastAttempt();
    registerFullEngines();
    node.control.dead.add(engine.address());
    node.advance(2000);
    assertFalse(running.cancelled, "cancelled");
    assertEquals(Optional.empty(), response.refusal);
  }

  // Guards against a queue that is blocked by streams without retry budget.
  @Test
  void streamsWithoutRetryBudgetDoNotBlockQueue() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      streams.add(startStream("/stream/" + i));
    }
    registerFullEngines();
    setRetryBudget(1);
    makeUnresponsive(engine);
    assertEquals(4, node.sent.size(), "sends before there is capacity");
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(40);
    assertEquals(5, node.sent.size(), "one stream failed over");
    assertTrue(waitMillisOfNewRequest() <= 100, "a new request waited while there was capacity");
  }

  // Guards against a stream that never fails over: a late event stops the failover, but the later
  // engine remains lost.
  @Test
  void streamWithLostLaterEngineFailsOverAfterLateEvent() {
    assertSentAgainOnceBudgetAllows(true);
  }

  // Control case without the late event.
  @Test
  void streamWithLostLaterEngineFailsOverWithoutLateEvent() {
    assertSentAgainOnceBudgetAllows(false);
  }

  private void assertSentAgainOnceBudgetAllows(boolean lateEvent) {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    RecordedResponse response = node.request("/stream/x");
    SentAttempt running = node.lastAttempt();
    running.head(200);
    running.event(1);
    node.engine(7, 40, 80);
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    node.control.dead.add(later.address());
    setRetryBudget(0);
    node.advance(400);
    assertTrue(suspected(later));
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
    if (lateEvent) {
      running.event(2);
    }
    setRetryBudget(10);
    node.advance(15_000);
    assertFalse(response.cut, "cut");
    assertEquals(2, node.sent.size(), "sends in 15 s");
  }

  // Guards against a stream that never continues once its unresponsive engine is known to have
  // ended.
  @Test
  void stayingStreamIsReroutedOnceLaterEngineHasEnded() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    RecordedResponse response = node.request("/stream/x");
    SentAttempt running = node.lastAttempt();
    running.head(200);
    running.event(1);
    setRetryBudget(0);
    // No other engine holds the layers, so all five path changes fail.
    node.control.dead.add(later.address());
    node.advance(1500);
    assertTrue(suspected(later));
    assertFalse(running.cancelled);
    node.engine(7, 40, 80);
    node.restart(later);
    node.advance(3000);
    boolean helped = !node.control.repathedPaths.isEmpty() || node.sent.size() > 1;
    assertTrue(
        helped || response.cut,
        "3 s after the end: no path change, no send, no end of the response");
  }

  // Guards against quarantining requests because of crashes of engines that had completed them.
  @Test
  void completedRequestsAreNotBlamedForLaterEngineCrashes() {
    setRetryBudget(0);
    List<FleetEndpoint> engines = new ArrayList<>();
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      engines.add(node.engine(i, 0, 80));
    }
    // The same content at each of three engines.
    while (streams.stream().map(s -> s.attempt.endpoint().id()).distinct().count() < 3) {
      streams.add(startStream("/stream/x"));
    }
    engines.forEach(engine -> node.control.dead.add(engine.address()));
    node.advance(600);
    node.control.dead.clear();
    node.advance(1000);
    for (SentAttempt stream : streams) {
      assertFalse(stream.cancelled, "cancelled");
      stream.event(2);
      stream.end();
    }
    node.advance(3000);
    engines.forEach(node::restart);
    node.engine(9, 0, 80);
    int before = node.sent.size();
    RecordedResponse response = node.request("/stream/x");
    assertEquals(Optional.empty(), response.refusal);
    assertEquals(before + 1, node.sent.size());
  }

  // Guards against a stream that never fails over when only one of its two unresponsive engines
  // recovers.
  @Test
  void streamFailsOverForLostLaterEngineAfterFirstEngineRecovers() {
    FleetEndpoint first = node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    node.request("/stream/x");
    SentAttempt running = node.lastAttempt();
    running.head(200);
    running.event(1);
    node.control.dead.add(first.address());
    node.control.dead.add(later.address());
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    setRetryBudget(0);
    node.advance(1500);
    node.control.dead.remove(first.address());
    node.advance(4000);
    assertFalse(suspected(first));
    assertTrue(suspected(later));
    assertFalse(running.cancelled);
    setRetryBudget(10);
    node.engine(7, 0, 80);
    node.advance(3000);
    assertEquals(2, node.sent.size(), "sends in 3 s");
  }

  // Guards against a quarantined stream that does not end when its first engine disconnects.
  @Test
  void quarantinedStreamEndsWhenFirstEngineDisconnects() {
    node.engine(5, 0, 40);
    FleetEndpoint later = node.engine(6, 40, 80);
    for (int run = 1; run <= 2; run++) {
      RecordedResponse earlier = node.request("/stream/x");
      node.lastAttempt().head(200);
      node.restart(later);
      earlier.listener.disconnected();
      later = node.engine(6, 40, 80, Incarnation.startedAt(10_000L * run));
    }
    RecordedResponse response = node.request("/stream/x");
    SentAttempt running = node.lastAttempt();
    running.head(200);
    running.event(1);
    node.restart(later);
    node.engine(6, 40, 80, Incarnation.startedAt(90_000));
    RecordedResponse next = node.request("/stream/x");
    assertTrue(next.refusal.toString().contains("quarantined"), next.refusal.toString());
    // An unanswered path change may have taken effect; only the first engine knows.
    node.advance(3000);
    assertFalse(running.cancelled, "cancelled");
    running.listener.failed(false, new IllegalStateException("stalled"));
    assertTrue(response.cut, "cut");
  }

  // Guards against failing over from an engine that has recovered.
  @Test
  void streamStaysOnEngineThatRecovered() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    SentAttempt running = startStream("/stream/x");
    registerFullEngines();
    makeUnresponsive(engine);
    node.control.dead.clear();
    avoid(engine);
    node.advance(500);
    assertFalse(suspected(engine));
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(100);
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(running.cancelled, "cancelled");
  }

  // Guards against a new request that waits behind streams whose retry budget others have spent.
  @Test
  void newRequestIsNotBlockedByStreamsWithoutRetryBudget() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    List<SentAttempt> streams = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      streams.add(startStream("/stream/" + i));
    }
    registerFullEngines();
    makeUnresponsive(engine);
    assertEquals(3, node.sent.size());
    // Exhausts the budget, as failures of other requests would.
    setRetryBudget(0);
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    assertTrue(waitMillisOfNewRequest() <= 100, "a new request waited while there was capacity");
  }

  // The same on a node with a high recent start rate.
  @Test
  void streamsWithoutRetryBudgetDoNotBlockQueueOfBusyNode() {
    FleetEndpoint engine = node.engine(1, 0, 80);
    for (int i = 0; i < 40; i++) {
      SentAttempt done = startStream("/stream/done" + i);
      done.end();
    }
    for (int i = 0; i < 4; i++) {
      startStream("/stream/" + i);
    }
    registerFullEngines();
    setRetryBudget(1);
    makeUnresponsive(engine);
    assertEquals(44, node.sent.size(), "sends before there is capacity");
    node.fleet.all().forEach(any -> any.setPeerLoad(0, 0, 1));
    node.advance(40);
    assertEquals(45, node.sent.size(), "one stream failed over");
    assertTrue(waitMillisOfNewRequest() <= 100, "a new request waited while there was capacity");
  }
}
