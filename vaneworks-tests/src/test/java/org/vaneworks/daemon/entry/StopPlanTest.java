package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks what a node does at which time of a planned stop. */
final class StopPlanTest {
  private static final Duration GRACE = Duration.ofSeconds(8);

  /** When the balancer has taken a node out for sure: it asks each second, and two misses count. */
  private static final Duration TAKEN_OUT = Duration.ofSeconds(2);

  /** Callers that send later than this after the signal are promised an answer. */
  private static final Duration LAST_WITHOUT_PROMISE = Duration.ofSeconds(3);

  /** From the signal until the node's event loop begins to stop. */
  private static final Duration SIGNAL = Duration.ofMillis(100);

  private final StopPlan plan = StopPlan.within(GRACE);

  // Guards against streams that are cut at the end of a stop as they were taken late in it.
  @Test
  void nothingIsTakenThatCallersSendAfterTheBalancersLag() {
    Duration latest = LAST_WITHOUT_PROMISE.minus(SIGNAL).minus(StopPlan.CHECK_INTERVAL);
    assertFalse(plan.acceptsRequests(latest.plusMillis(1)));
    assertTrue(plan.closesIdleConnections(latest.plusMillis(1)));
  }

  @Test
  void requestsAreTakenUntilTheBalancerSendsNoMore() {
    assertTrue(plan.acceptsRequests(TAKEN_OUT.plusMillis(500)));
    assertFalse(plan.closesIdleConnections(TAKEN_OUT.plusMillis(500)));
  }

  @Test
  void nothingIsTakenInTheSecondHalfOfAShortGrace() {
    assertFalse(StopPlan.within(Duration.ofSeconds(2)).acceptsRequests(Duration.ofMillis(1001)));
  }

  @Test
  void processEndsBeforeItIsEndedByForce() {
    assertFalse(plan.isExpired(Duration.ofSeconds(7)));
    assertTrue(plan.isExpired(GRACE.minusMillis(400)));
  }
}
