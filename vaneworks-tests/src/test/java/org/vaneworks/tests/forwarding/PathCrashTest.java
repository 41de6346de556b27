package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.ClosedChannelException;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.Reason;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks what the ends of engines on one path say of the request that passes them. */
final class PathCrashTest {
  private final ForwardingFixture node = new ForwardingFixture();

  /** Lists three engines that hold the model together; their numbers begin at one. */
  private FleetEndpoint[] path(int first) {
    return new FleetEndpoint[] {
      node.engine(first, 0, 30), node.engine(first + 1, 30, 60), node.engine(first + 2, 60, 80)
    };
  }

  private TrackedEndpoint tracked(FleetEndpoint engine) {
    return node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow();
  }

  private void end(FleetEndpoint engine) {
    TrackedEndpoint ended = tracked(engine);
    node.fleet.recordConnectionRefused(ended);
    node.fleet.suspect(ended, "its box refuses connections");
  }

  private void delist(FleetEndpoint... engines) {
    for (FleetEndpoint engine : engines) {
      node.fleet.remove(engine.id());
    }
  }

  @Test
  void threeEnginesOfOnePathThatEndTogetherAreNoProofAgainstARequest() {
    FleetEndpoint[] lost = path(1);
    node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    end(lost[2]);
    end(lost[1]);
    end(lost[0]);
    delist(lost);
    path(4);
    Got again = node.ask("/stream/x");
    assertEquals(Optional.empty(), again.refusal);
  }

  @Test
  void requestThatEndsALaterEngineOfEachPathIsHeldBack() {
    holdBack();
    path(10);
    assertEquals(Reason.QUARANTINED, node.ask("/once/x").refusal.orElseThrow().reason());
  }

  /** Crashes the later engine of three paths, so that the request is held back. */
  private void holdBack() {
    for (int first = 1; first <= 7; first += 3) {
      FleetEndpoint[] engines = path(first);
      node.ask("/once/x");
      node.last().head(200);
      end(engines[1]);
      node.last().listener.failed(false, new ClosedChannelException());
      delist(engines);
    }
  }

  @Test
  void requestThatRunsAsItIsHeldBackIsNotGivenAnotherPathWhenAnEngineLeaves() {
    FleetEndpoint[] running = path(20);
    Got got = node.ask("/once/x");
    SentAttempt attempt = node.last();
    attempt.head(200);
    attempt.event(1);
    node.advance(1500);
    // It is full for all that the next ones see of it.
    tracked(running[0]).avoidUntil(Long.MAX_VALUE);
    holdBack();
    int ordered = node.control.repaths.size();
    node.engine(30, 60, 80);
    node.announceLeaving(running[2]);
    node.advance(900);
    assertEquals(ordered, node.control.repaths.size());
    attempt.event(2);
    attempt.listener.end();
    assertTrue(got.whole);
  }

  @Test
  void pathIsNotOrderedAgainOnceTheRequestIsHeldBack() {
    FleetEndpoint[] running = path(20);
    node.ask("/once/x");
    node.last().head(200);
    node.advance(1500);
    tracked(running[0]).avoidUntil(Long.MAX_VALUE);
    node.engine(30, 30, 60);
    node.control.answer = new RepathOutcome(RepathOutcome.Kind.REFUSED, Optional.empty());
    end(running[1]);
    node.clock.runDue();
    assertEquals(1, node.control.repaths.size());
    holdBack();
    int ordered = node.control.repaths.size();
    node.advance(900);
    assertEquals(ordered, node.control.repaths.size());
  }
}
