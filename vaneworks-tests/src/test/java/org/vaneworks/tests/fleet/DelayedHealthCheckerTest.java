package org.vaneworks.tests.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.ReachabilityMonitor;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Tests that a node whose event loop is blocked does not mistake its own delay for an engine
 * failure.
 */
final class DelayedHealthCheckerTest {
  private static final Duration ANSWER_DELAY = Duration.ofMillis(5);

  /** Longer than the probe timeout plus the tolerated timer delay. */
  private static final Duration LOOP_PAUSE = Duration.ofMillis(150);

  /** Exceeds the probe timeout by no more than usual timer delays on a busy event loop. */
  private static final Duration TOLERATED_PAUSE = Duration.ofMillis(110);

  private final PausedExecutor clock = PausedExecutor.create();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Fleet fleet = Fleet.create(clock, Counters.in(meters), Duration.ofMillis(2500));
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
              Counters.in(meters)));
  private TrackedEndpoint engine;
  private int probes;
  private int suspicions;
  private boolean alive = true;

  /** Answers over a simulated network; the timeout is a timer on the node's own event loop. */
  private final class Engine implements EngineControl {
    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint endpoint, Duration limit) {
      probes++;
      CompletableFuture<EngineReport> report = new CompletableFuture<>();
      TimeoutException late = new TimeoutException("timeout after " + limit);
      clock.schedule(() -> report.completeExceptionally(late), limit);
      if (alive) {
        clock.deliver(() -> report.complete(healthy(endpoint)), ANSWER_DELAY);
      }
      return report;
    }

    private EngineReport healthy(FleetEndpoint endpoint) {
      return new EngineReport(
          1, false, endpoint.layers(), 1, ImmutableMap.of(), Incarnation.UNKNOWN);
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
  void listEngine() {
    HostPort address = new HostPort("10.0.0.1", 80);
    fleet.put(
        new FleetEndpoint(
            "a", "s", address, "dc1", 6, false, Optional.empty(), "", StorePosition.START));
    engine = fleet.listed("s").get(0);
    fleet.onSuspicion(suspected -> suspicions++);
  }

  private double disregardedTimeouts() {
    var counter = meters.find("vaneworks.uncounted.silences").tag("reason", "question").counter();
    return counter == null ? 0 : counter.count();
  }

  // Guards against suspecting a live engine because the node's event loop was blocked: the answers
  // to two probes were waiting unread in the socket.
  @Test
  void engineWithUnreadAnswersIsNotSuspected() {
    health.check(engine);
    clock.stall(LOOP_PAUSE);
    clock.stall(LOOP_PAUSE);
    clock.advance(Duration.ofMillis(100));
    assertEquals(0, suspicions);
    assertEquals(2, probes);
    assertEquals(1, disregardedTimeouts());
  }

  // Guards against late detection of a dead engine because answers that this node read late were
  // taken for late answers of the engine.
  @Test
  void delayOfNodeDoesNotExtendTimeoutOfProbes() {
    health.check(engine);
    clock.stall(LOOP_PAUSE);
    clock.advance(Duration.ofMillis(300));
    alive = false;
    health.check(engine);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
  }

  // Guards against a dead engine that is never detected because the node itself is late at each
  // probe.
  @Test
  void deadEngineIsSuspectedByNodeThatIsAlwaysDelayed() {
    alive = false;
    health.check(engine);
    for (int i = 0; i < 4; i++) {
      assertFalse(engine.suspected());
      clock.stall(LOOP_PAUSE);
    }
    assertTrue(engine.suspected());
    assertEquals(4, probes);
  }

  // Guards against late detection of a dead engine because the node was late once before.
  @Test
  void deadEngineIsSuspectedAfterTwoPunctualProbes() {
    alive = false;
    health.check(engine);
    clock.stall(LOOP_PAUSE);
    clock.advance(Duration.ofMillis(200));
    assertTrue(engine.suspected());
    assertEquals(3, probes);
  }

  // Guards against late detection of a dead engine by a node whose timers are merely imprecise.
  @Test
  void deadEngineIsSuspectedAfterTwoProbesWithToleratedDelay() {
    alive = false;
    health.check(engine);
    clock.stall(TOLERATED_PAUSE);
    clock.stall(TOLERATED_PAUSE);
    assertTrue(engine.suspected());
    assertEquals(2, probes);
    assertEquals(0, disregardedTimeouts());
  }
}
