package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Tests the paths of streams and their resumption after losses of engines. */
final class ForwardedStreamTest {
  private final ForwardingFixture node = new ForwardingFixture();

  private static Reason reason(RecordedResponse response) {
    return response.refusal.get().reason();
  }

  @Test
  void pathCoversEveryLayerOnce() {
    node.engine(1, 0, 40);
    node.engine(2, 30, 80);
    node.request("/stream/x");
    String path = node.lastAttempt().attempt.path().get();
    assertTrue(path.startsWith("10.0.0.1:80=0-"), path);
    assertTrue(path.endsWith("-80"), path);
  }

  @Test
  void interruptedStreamResumesAfterLastCompleteEvent() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    SentAttempt first = node.lastAttempt();
    first.head(200);
    first.event(1);
    first.event(2);
    first.text("id: 3\nda");
    first.listener.failed(false, new IllegalStateException("reset"));
    assertEquals(Optional.of("2"), node.lastAttempt().attempt.resumeAfter());
    node.lastAttempt().head(200);
    node.lastAttempt().event(3);
    node.lastAttempt().end();
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", response.body);
    assertTrue(response.whole);
  }

  @Test
  void nonResumableStreamIsAborted() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    RecordedResponse response = node.request("/once/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.lastAttempt().listener.failed(false, new IllegalStateException("reset"));
    assertEquals(1, node.sent.size());
    assertTrue(response.cut);
    assertFalse(response.whole);
  }

  @Test
  void stalledStreamIsReroutedAroundDeadEngine() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    FleetEndpoint third = node.engine(3, 40, 80);
    RecordedResponse response = node.request("/stream/x");
    String before = node.lastAttempt().attempt.path().get();
    FleetEndpoint used = before.contains("10.0.0.2") ? second : third;
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.control.dead.add(used.address());
    node.advance(600);
    assertEquals(1, node.control.repathedPaths.size());
    assertFalse(node.control.repathedPaths.get(0).contains(used.address().toString()));
    assertFalse(response.cut);
  }

  // Guards against a stream that waits for a dead engine until its time limit because the engine's
  // entry disappeared before the engine did.
  @Test
  void stalledStreamIsReroutedAroundEngineThatDiedAfterItsEntryWasRemoved() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    FleetEndpoint third = node.engine(3, 40, 80);
    RecordedResponse response = node.request("/stream/x");
    String before = node.lastAttempt().attempt.path().get();
    FleetEndpoint used = before.contains("10.0.0.2") ? second : third;
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.fleet.remove(used.id());
    node.fleet.resolveMissing();
    node.advance(200);
    node.lastAttempt().event(2);
    assertTrue(node.control.repathedPaths.isEmpty());
    node.control.dead.add(used.address());
    node.advance(600);
    assertEquals(1, node.control.repathedPaths.size());
    assertFalse(node.control.repathedPaths.get(0).contains(used.address().toString()));
    assertFalse(response.cut);
  }

  // Guards against a stream that waits for a dead first engine until its time limit because the
  // engine's entry disappeared before the engine did.
  @Test
  void streamFailsOverWhenFirstEngineDiesAfterItsEntryWasRemoved() {
    FleetEndpoint first = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(2, 0, 80);
    node.fleet.remove(first.id());
    node.fleet.resolveMissing();
    node.control.dead.add(first.address());
    node.advance(600);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
    assertFalse(response.cut);
  }

  @Test
  void streamFailsOverWhenFirstEngineDies() {
    FleetEndpoint first = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(2, 0, 80);
    node.control.dead.add(first.address());
    node.advance(600);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
    node.lastAttempt().head(200);
    assertFalse(node.sent.get(0).cancelled);
    node.lastAttempt().event(2);
    assertTrue(node.sent.get(0).cancelled);
    assertFalse(response.cut);
  }

  @Test
  void streamThatMakesProgressCausesNoProbe() {
    node.engine(1, 0, 80);
    node.request("/stream/x");
    node.lastAttempt().head(200);
    for (int id = 1; id < 40; id++) {
      node.advance(60);
      node.lastAttempt().event(id);
    }
    assertTrue(node.control.probed.isEmpty());
  }

  @Test
  void longPausesCauseProbeOfPace() {
    node.engine(1, 0, 80);
    node.request("/stream/x");
    node.control.pace = 5;
    node.lastAttempt().head(200);
    for (int id = 1; id < 6; id++) {
      node.advance(180);
      node.lastAttempt().event(id);
    }
    assertEquals(5, node.fleet.listed(ForwardingFixture.MODEL).get(0).pace());
  }

  /** The head and the first event arrive together, which must not make an engine look fast. */
  @Test
  void newStreamsDoNotHideSlowEngine() {
    node.engine(1, 0, 80);
    node.control.pace = 12;
    for (int stream = 0; stream < 4; stream++) {
      node.request("/stream/x");
      SentAttempt sent = node.lastAttempt();
      node.advance(180);
      sent.head(200);
      sent.event(1);
      node.advance(180);
      sent.event(2);
      sent.event(3);
    }
    assertEquals(12, node.fleet.listed(ForwardingFixture.MODEL).get(0).pace());
  }

  /** Moving a stream would process its prompt again, without a proven benefit. */
  @Test
  void streamStaysOnSlowEngine() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(3, 40, 80);
    node.control.slow.add(second.address());
    for (int id = 2; id < 6; id++) {
      node.advance(180);
      node.lastAttempt().event(id);
    }
    assertTrue(node.control.repathedPaths.isEmpty());
  }

  @Test
  void streamMigratesFromLeavingEngine() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(3, 40, 80);
    node.announceLeaving(second);
    for (int id = 2; id < 10; id++) {
      node.advance(100);
      node.lastAttempt().event(id);
    }
    assertEquals(1, node.control.repathedPaths.size());
    assertTrue(node.control.repathedPaths.get(0).contains("10.0.0.3"));
  }

  @Test
  void obstacleOnNewPathIsAvoided() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    FleetEndpoint third = node.engine(3, 40, 80);
    node.engine(4, 40, 80);
    node.control.repathOutcome =
        new RepathOutcome(RepathOutcome.Kind.OBSTACLE, Optional.of(third.address()));
    node.control.dead.add(second.address());
    node.advance(600);
    String lastPath = node.control.repathedPaths.get(node.control.repathedPaths.size() - 1);
    assertTrue(node.control.repathedPaths.size() >= 2);
    assertFalse(lastPath.contains(second.address().toString()), lastPath);
  }

  @Test
  void streamStaysOnLeavingEngineWhenNoOtherPathIsAccepted() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(3, 40, 80);
    node.control.repathOutcome = new RepathOutcome(RepathOutcome.Kind.OBSTACLE, Optional.empty());
    node.announceLeaving(second);
    for (int id = 2; id < 30; id++) {
      node.advance(100);
      node.lastAttempt().event(id);
    }
    assertEquals(1, node.sent.size());
    assertFalse(node.lastAttempt().cancelled);
    assertFalse(response.cut);
  }

  @Test
  void interruptedStreamWaitsForCapacityBeforeItIsAborted() {
    FleetEndpoint first = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.fleet.remove(first.id());
    node.lastAttempt().listener.failed(false, new IllegalStateException("reset"));
    node.advance(500);
    assertFalse(response.cut);
    node.engine(2, 0, 80);
    node.advance(50);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
  }

  @Test
  void overloadedEngineIsAvoided() {
    FleetEndpoint first = node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.request("/stream/x");
    FleetEndpoint full = node.lastAttempt().attempt.endpoint();
    node.lastAttempt().notRun(503, Optional.of(full.address()));
    assertEquals(2, node.sent.size());
    assertFalse(node.lastAttempt().attempt.endpoint().id().equals(full.id()));
    assertTrue(first.slots() > 0);
  }

  @Test
  void streamFailsOverBeforeCrashOfFirstEngineIsDetected() {
    FleetEndpoint crashed = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    FleetEndpoint other = node.engine(2, 0, 80);
    // Busy, so that the crashed engine still looks like the better choice.
    occupy(other);

    node.lastAttempt().listener.failed(false, new IllegalStateException("closed"));

    assertEquals(crashed, node.sent.get(0).attempt.endpoint());
    assertEquals(other, node.lastAttempt().attempt.endpoint());
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
    node.lastAttempt().head(200);
    node.lastAttempt().event(2);
    node.lastAttempt().end();
    assertTrue(response.whole);
  }

  @Test
  void streamResumesAtSameEngineIfThereIsNoOther() {
    FleetEndpoint only = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);

    node.lastAttempt().listener.failed(false, new IllegalStateException("reset"));

    assertEquals(2, node.sent.size());
    assertEquals(only, node.lastAttempt().attempt.endpoint());
    assertFalse(response.cut);
  }

  @Test
  void refusedConnectionRetriesOnAnotherEngine() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.request("/once/x");
    FleetEndpoint first = node.lastAttempt().attempt.endpoint();

    node.lastAttempt().listener.failed(true, new ConnectException("refused"));

    assertEquals(2, node.sent.size());
    assertFalse(first.equals(node.lastAttempt().attempt.endpoint()));
  }

  @Test
  void nonResumableStreamFailsOverIfEngineDiesBeforeConnecting() {
    node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.request("/once/x");
    HostPort dead = node.lastAttempt().attempt.endpoint().address();
    node.lastAttempt().arrived = false;
    node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, dead).get(), "test");
    assertEquals(2, node.sent.size());
    assertTrue(node.sent.get(0).cancelled);
  }

  /** Engines that die before a connection is established must not use up runs. */
  @Test
  void streamIsNotRunIfAllEnginesDieBeforeConnecting() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    RecordedResponse response = node.request("/stream/x");
    for (int dead = 1; dead <= 3; dead++) {
      node.lastAttempt().arrived = false;
      HostPort address = node.lastAttempt().attempt.endpoint().address();
      node.fleet.suspect(node.fleet.find(ForwardingFixture.MODEL, address).get(), "test");
    }
    assertEquals(3, node.sent.size());
    assertEquals(Verdict.NOT_RUN, response.refusal.get().verdict());
    assertEquals(503, reason(response).status());
  }

  private void occupy(FleetEndpoint engine) {
    node.fleet.find(ForwardingFixture.MODEL, engine.address()).get().reserve(10_000);
  }
}
