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

/** Checks that a node that stands still does not take its own delay for a stream's silence. */
final class LateNodeProgressTest {
  /** Longer than a stream may be silent, but a pause that raises no question for the pace. */
  private static final Duration STAND = Duration.ofMillis(290);

  private static final int EVENTS = 7;
  private static final int BETWEEN_EVENTS = 50;

  private final ForwardingFixture node = new ForwardingFixture();
  private FleetEndpoint engine;
  private SentAttempt running;

  /** Begins a stream that is fast until the first look at it is over. */
  @BeforeEach
  void beginStream() {
    engine = node.engine(1, 0, 80);
    node.ask("/stream/x");
    running = node.last();
    running.head(200);
    for (int id = 1; id <= EVENTS; id++) {
      node.advance(BETWEEN_EVENTS);
      running.event(id);
    }
  }

  private void eventArrives(int afterMillis) {
    node.clock.deliver(() -> running.event(EVENTS + 1), Duration.ofMillis(afterMillis));
  }

  private double uncounted() {
    var counter = node.meters.find("vaneworks.uncounted.silences").tag("reason", "look").counter();
    return counter == null ? 0 : counter.count();
  }

  // Guards against engines that a node asked for signs of life while their events lay in its
  // socket: its loop was held up.
  @Test
  void streamWhoseEventsLieUnreadIsNotSeenAsStalled() {
    eventArrives(100);
    node.clock.stall(STAND);
    node.advance(100);
    assertEquals(List.of(), node.control.reported);
    assertEquals(1, uncounted());
  }

  // Guards against a stream that a node moved off a live engine: the node had suspected it before,
  // and its events lay in the socket.
  @Test
  void streamOfASuspectedEngineStaysWhileItsEventsLieUnread() {
    node.control.dead.add(engine.address());
    node.advance(400);
    running.event(EVENTS + 1);
    node.engine(2, 0, 80);
    eventArrives(100);
    node.clock.stall(STAND);
    node.advance(100);
    assertFalse(running.cancelled);
    assertEquals(1, node.sent.size());
  }

  // Guards against a dead engine that its node found late because it was late itself for a moment.
  @Test
  void silentStreamIsSeenSoonAfterItsNodeStoodStill() {
    node.control.dead.add(engine.address());
    node.clock.stall(STAND);
    node.advance(10);
    assertEquals(Set.of(engine.address()), Set.copyOf(node.control.reported));
  }

  // Guards against a dead engine that a node never finds because it is late itself each time.
  @Test
  void silentStreamIsSeenByANodeThatIsAlwaysLate() {
    node.control.dead.add(engine.address());
    for (int i = 0; i < 3; i++) {
      assertTrue(node.control.reported.isEmpty());
      node.clock.stall(STAND);
    }
    assertEquals(Set.of(engine.address()), Set.copyOf(node.control.reported));
  }
}
