package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks that a node whose event loop was blocked does not mistake its own delay for a stall. */
final class LateNodeProgressTest {
  /** Longer than the stall timeout, but too short to cause a probe of the pace. */
  private static final Duration PAUSE = Duration.ofMillis(290);

  private static final int EVENTS = 7;
  private static final int MILLIS_BETWEEN_EVENTS = 50;

  private final ForwardingFixture node = new ForwardingFixture();
  private FleetEndpoint engine;
  private SentAttempt running;

  /** Starts a stream that is fast until its first progress check has run. */
  @BeforeEach
  void startStream() {
    engine = node.engine(1, 0, 80);
    node.request("/stream/x");
    running = node.lastAttempt();
    running.head(200);
    for (int id = 1; id <= EVENTS; id++) {
      node.advance(MILLIS_BETWEEN_EVENTS);
      running.event(id);
    }
  }

  private void eventArrivesAfter(int afterMillis) {
    node.clock.deliver(() -> running.event(EVENTS + 1), Duration.ofMillis(afterMillis));
  }

  private double ignoredStalls() {
    var counter = node.meters.find("vaneworks.uncounted.silences").tag("reason", "look").counter();
    return counter == null ? 0 : counter.count();
  }

  // Guards against probing engines whose events are unread in the socket of a node whose event loop
  // was blocked.
  @Test
  void streamWithUnreadEventsIsNotStalled() {
    eventArrivesAfter(100);
    node.clock.stall(PAUSE);
    node.advance(100);
    assertEquals(List.of(), node.control.probed);
    assertEquals(1, ignoredStalls());
  }

  // Guards against failing a stream over from a live engine that had been suspected before, while
  // its events are unread in the socket.
  @Test
  void streamWithUnreadEventsStaysOnSuspectedEngine() {
    node.control.dead.add(engine.address());
    node.advance(400);
    running.event(EVENTS + 1);
    node.engine(2, 0, 80);
    eventArrivesAfter(100);
    node.clock.stall(PAUSE);
    node.advance(100);
    assertFalse(running.cancelled);
    assertEquals(1, node.sent.size());
  }

  // Guards against a late detection of a dead engine after a short pause of the node itself.
  @Test
  void silentStreamIsDetectedSoonAfterNodePause() {
    node.control.dead.add(engine.address());
    node.clock.stall(PAUSE);
    node.advance(10);
    assertEquals(Set.of(engine.address()), Set.copyOf(node.control.probed));
  }

  // Guards against a dead engine that is never detected because every check of the node runs late.
  @Test
  void silentStreamIsDetectedByNodeThatIsAlwaysLate() {
    node.control.dead.add(engine.address());
    for (int i = 0; i < 3; i++) {
      assertTrue(node.control.probed.isEmpty());
      node.clock.stall(PAUSE);
    }
    assertEquals(Set.of(engine.address()), Set.copyOf(node.control.probed));
  }
}
