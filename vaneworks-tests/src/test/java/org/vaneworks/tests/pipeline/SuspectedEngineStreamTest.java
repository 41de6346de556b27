package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests which engines are given streams after status requests to some of them timed out. */
final class SuspectedEngineStreamTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261204;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 5;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final EngineCore suspected = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);

  @BeforeEach
  void startNode() {
    var unused = fleet.addNode("n1");
  }

  // Guards against refusing all requests: one late status took the only engine out of use.
  @Test
  void onlyEngineRemainsInUseAfterOneLateStatus() {
    fleet.settle();
    table().recordStatusFailure(stateOf(suspected));
    assertDeliveredCompletely(ask());
  }

  // Guards against sending work to a suspected engine while another engine is not suspected.
  @Test
  void otherEngineIsPreferredAfterOneLateStatus() {
    EngineCore other = fleet.addEngine("a2", 0, LAYERS, STEP_MILLIS);
    fleet.settle();
    table().recordStatusFailure(stateOf(suspected));
    assertDeliveredCompletely(ask());
    assertTrue(suspected.ledger().isEmpty());
    assertEquals(TOKENS, other.ledger().size());
  }

  // Guards against a route over a suspected engine while a longer route avoids it.
  @Test
  void longerRouteIsPreferredAfterOneLateStatus() {
    EngineCore lower = fleet.addEngine("a2", 0, LAYERS / 2, 10 * STEP_MILLIS);
    EngineCore upper = fleet.addEngine("a3", LAYERS / 2, LAYERS, 10 * STEP_MILLIS);
    fleet.settle();
    table().recordStatusFailure(stateOf(suspected));
    assertDeliveredCompletely(ask());
    assertTrue(suspected.ledger().isEmpty());
    assertEquals(2 * TOKENS, lower.ledger().size() + upper.ledger().size());
  }

  // Guards against sending work to an engine that missed two status requests in a row.
  @Test
  void requestIsRefusedAfterTwoLateStatusesOfTheOnlyEngine() {
    fleet.settle();
    table().recordStatusFailure(stateOf(suspected));
    table().recordStatusFailure(stateOf(suspected));
    assertRefusedAsNotRun(ask());
  }

  // Guards against sending work to an engine that has just lost a call.
  @Test
  void requestIsRefusedAfterTheOnlyEngineLostACall() {
    fleet.settle();
    table().eject(stateOf(suspected), "lost");
    assertRefusedAsNotRun(ask());
  }

  private EndpointTable table() {
    return fleet.node("n1").endpoints();
  }

  private EndpointState stateOf(EngineCore engine) {
    return table().find(engine.options().endpoint().id()).orElseThrow();
  }

  private RecordedAnswer ask() {
    return fleet.ask("n1", "prompt", TOKENS, CallerOptions.NONE);
  }

  private void assertDeliveredCompletely(RecordedAnswer answer) {
    assertTrue(
        fleet.clock().advanceUntil(answer::isEnded, TIMEOUT), "the answer did not end in time");
    assertTrue(answer.isComplete(), () -> "refused: " + answer.refusal());
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
  }

  private void assertRefusedAsNotRun(RecordedAnswer answer) {
    fleet.clock().runDue();
    assertEquals(Reason.NO_ENDPOINT, answer.refusal().orElseThrow().reason());
    assertEquals(Verdict.NOT_RUN, answer.refusal().orElseThrow().verdict());
  }
}
