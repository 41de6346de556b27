package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/**
 * Checks what a node does when an engine reports requests that are stalled on another engine. The
 * report may be old, and the other engine may be reachable for this node.
 */
final class StallReportTest {
  private final ForwardingFixture node = new ForwardingFixture();
  private final FleetEndpoint first = node.engine(1, 0, 40);
  private final FleetEndpoint later = node.engine(2, 40, 80);
  private int suspicions;

  private TrackedEndpoint tracked(FleetEndpoint engine) {
    return node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow();
  }

  private SentAttempt startStream() {
    node.request("/stream/x");
    SentAttempt sent = node.lastAttempt();
    sent.head(200);
    sent.event(1);
    return sent;
  }

  /** Lets the first engine report that the streams wait for the later one. */
  private void reportStalls(SentAttempt... streams) {
    ImmutableMap.Builder<String, HostPort> stalls = ImmutableMap.builder();
    for (SentAttempt stream : streams) {
      stalls.put(stream.attempt.request().id(), later.address());
    }
    node.control.stalls.put(first.address(), stalls.buildOrThrow());
  }

  private void countSuspicions() {
    node.fleet.onSuspicion(engine -> suspicions++);
  }

  /** Waits until the stall of a stream is noticed, which is when its engines are probed. */
  private void awaitProbes() {
    while (node.control.probed.isEmpty()) {
      node.advance(1);
    }
  }

  private int pathChanges() {
    return node.control.repathedPaths.size();
  }

  // Guards against a live engine that is out of use because an old report names it.
  @Test
  void engineThatAnswersThisNodeIsNotSuspected() {
    countSuspicions();
    SentAttempt stream = startStream();
    node.engine(3, 40, 80);
    reportStalls(stream);
    node.advance(2000);
    assertEquals(0, suspicions);
  }

  // Guards against a request that is sent elsewhere from a live engine that another one's report
  // names.
  @Test
  void requestWithoutPartStaysAtNamedEngineThatAnswers() {
    SentAttempt stream = startStream();
    tracked(first).avoidUntil(node.now() + Duration.ofSeconds(20).toNanos());
    node.engine(2, 0, 80);
    RecordedResponse response = node.request("/stream/y");
    SentAttempt waiting = node.lastAttempt();
    assertEquals(later.id(), waiting.attempt.endpoint().id());
    node.engine(3, 0, 80);
    reportStalls(stream);
    node.advance(1000);
    assertFalse(waiting.cancelled, "cancelled");
    assertEquals(2, node.sent.size(), "sends");
    assertEquals(Optional.empty(), response.refusal);
  }

  @Test
  void stalledStreamChangesPathAsItIsReported() {
    SentAttempt stream = startStream();
    node.engine(3, 40, 80);
    reportStalls(stream);
    assertEquals(0, pathChanges());
    awaitProbes();
    assertEquals(1, pathChanges());
    assertTrue(node.control.repathedPaths.get(0).contains("10.0.0.3"));
  }

  // Guards against path changes of streams that make progress, because of an outdated report.
  @Test
  void streamThatMakesProgressKeepsItsPath() {
    SentAttempt stalled = startStream();
    SentAttempt flowing = startStream();
    node.engine(3, 40, 80);
    reportStalls(stalled, flowing);
    for (int id = 2; id < 10; id++) {
      // Pauses this long cause pace probes, so the engine reports its stalls.
      node.advance(200);
      flowing.event(id);
    }
    assertEquals(1, pathChanges());
  }

  // Guards against further path changes of a stream that makes progress again.
  @Test
  void refusedPathChangeIsNotRepeatedOnceStreamMakesProgress() {
    SentAttempt stream = startStream();
    node.engine(3, 40, 80);
    reportStalls(stream);
    node.control.repathOutcome = new RepathOutcome(RepathOutcome.Kind.REFUSED, Optional.empty());
    awaitProbes();
    assertEquals(1, pathChanges());
    node.control.stalls.clear();
    for (int id = 2; id < 20; id++) {
      stream.event(id);
      node.advance(50);
    }
    assertEquals(1, pathChanges());
  }

  @Test
  void silentEngineThatIsReportedIsSuspectedAfterOneTimeout() {
    SentAttempt stream = startStream();
    node.engine(3, 40, 80);
    reportStalls(stream);
    node.control.silent.add(later.address());
    awaitProbes();
    node.advance(99);
    assertFalse(tracked(later).suspected());
    node.advance(1);
    assertTrue(tracked(later).suspected());
  }

  @Test
  void silentEngineThatIsNotReportedIsSuspectedAfterTwoTimeouts() {
    startStream();
    node.engine(3, 40, 80);
    node.control.silent.add(later.address());
    awaitProbes();
    node.advance(199);
    assertFalse(tracked(later).suspected());
    node.advance(1);
    assertTrue(tracked(later).suspected());
  }

  // Guards against a stream that waits for the next path change although its engine is lost.
  @Test
  void streamFailsOverOnceReportedEngineIsSuspected() {
    SentAttempt stream = startStream();
    node.engine(3, 0, 80);
    reportStalls(stream);
    node.control.silent.add(later.address());
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.UNKNOWN_REQUEST, Optional.empty());
    awaitProbes();
    assertEquals(1, pathChanges());
    assertEquals(1, node.sent.size(), "sends");
    node.advance(100);
    assertEquals(2, node.sent.size(), "sends");
  }
}
