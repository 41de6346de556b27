package org.vaneworks.tests.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
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
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks that a node that stands still does not take its own delay for an engine's silence. */
final class LateNodeHealthTest {
  private static final Duration ANSWERS_AFTER = Duration.ofMillis(5);

  /** Longer than a question's limit, and than any lateness that is not noticed. */
  private static final Duration STAND = Duration.ofMillis(150);

  /** Later than the limit by no more than timers are on a loop with work to do. */
  private static final Duration BARELY_LATE = Duration.ofMillis(110);

  private final PausedExecutor clock = PausedExecutor.create();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Fleet fleet = Fleet.create(clock, Counters.in(meters), Duration.ofMillis(2500));
  private final HealthWatch health = HealthWatch.create(clock, fleet, new Engine());
  private TrackedEndpoint engine;
  private int asked;
  private int suspicions;
  private boolean alive = true;

  /** Answers over a network, within a limit that the node's own timer keeps. */
  private final class Engine implements EngineControl {
    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint endpoint, Duration limit) {
      asked++;
      CompletableFuture<EngineReport> report = new CompletableFuture<>();
      TimeoutException late = new TimeoutException("timeout after " + limit);
      clock.schedule(() -> report.completeExceptionally(late), limit);
      if (alive) {
        clock.deliver(() -> report.complete(healthy(endpoint)), ANSWERS_AFTER);
      }
      return report;
    }

    private EngineReport healthy(FleetEndpoint endpoint) {
      return new EngineReport(
          1, false, endpoint.layers(), 1, ImmutableMap.of(), Incarnation.UNTOLD);
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
  void listEngine() {
    HostPort address = new HostPort("10.0.0.1", 80);
    fleet.put(
        new FleetEndpoint(
            "a", "s", address, "dc1", 6, false, Optional.empty(), "", StorePosition.START));
    engine = fleet.of("s").get(0);
    fleet.onSuspicion(suspected -> suspicions++);
  }

  private double uncounted() {
    var counter = meters.find("vaneworks.uncounted.silences").tag("reason", "question").counter();
    return counter == null ? 0 : counter.count();
  }

  // Guards against a live engine that a node suspected whose loop was held up: its answers to two
  // questions lay in the socket.
  @Test
  void engineWhoseAnswersLieUnreadIsNotSuspected() {
    health.check(engine);
    clock.stall(STAND);
    clock.stall(STAND);
    clock.advance(Duration.ofMillis(100));
    assertEquals(0, suspicions);
    assertEquals(3, asked);
    assertEquals(2, uncounted());
  }

  // Guards against a dead engine that a node never finds because it is late itself each time.
  @Test
  void deadEngineIsSuspectedByANodeThatIsAlwaysLate() {
    alive = false;
    health.check(engine);
    for (int i = 0; i < 4; i++) {
      assertFalse(engine.suspected());
      clock.stall(STAND);
    }
    assertTrue(engine.suspected());
    assertEquals(4, asked);
  }

  // Guards against a dead engine that is found late because its node was late once before.
  @Test
  void deadEngineIsSuspectedAfterTwoQuestionsOfANodeThatIsPunctualAgain() {
    alive = false;
    health.check(engine);
    clock.stall(STAND);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
    assertEquals(3, asked);
  }

  // Guards against a dead engine that is found late by a node whose timers are merely not exact.
  @Test
  void deadEngineIsSuspectedAfterTwoQuestionsOfANodeThatIsBarelyLate() {
    alive = false;
    health.check(engine);
    clock.stall(BARELY_LATE);
    clock.stall(BARELY_LATE);
    assertTrue(engine.suspected());
    assertEquals(2, asked);
    assertEquals(0, uncounted());
  }
}
