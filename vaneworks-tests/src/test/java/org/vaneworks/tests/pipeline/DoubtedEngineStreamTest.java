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

/** Checks which engines get streams while a late status speaks against some. */
final class DoubtedEngineStreamTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261204;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 5;
  private static final Duration PATIENCE = Duration.ofMinutes(1);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final EngineCore only = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);

  @BeforeEach
  void startNode() {
    var unused = fleet.addNode("n1");
  }

  // Guards against all work turned away: one late status took the only engine out of use.
  @Test
  void onlyEngineStaysInUseAfterOneLateStatus() {
    fleet.settle();
    table().doubt(stateOf(only));
    assertDeliveredWhole(ask());
  }

  // Guards against work sent to an engine in doubt while another is in no doubt.
  @Test
  void anotherEngineIsPreferredAfterOneLateStatus() {
    EngineCore other = fleet.addEngine("a2", 0, LAYERS, STEP_MILLIS);
    fleet.settle();
    table().doubt(stateOf(only));
    assertDeliveredWhole(ask());
    assertTrue(only.ledger().isEmpty());
    assertEquals(TOKENS, other.ledger().size());
  }

  // Guards against a path through an engine in doubt while a longer one passes none.
  @Test
  void longerPathIsPreferredAfterOneLateStatus() {
    EngineCore lower = fleet.addEngine("a2", 0, LAYERS / 2, 10 * STEP_MILLIS);
    EngineCore upper = fleet.addEngine("a3", LAYERS / 2, LAYERS, 10 * STEP_MILLIS);
    fleet.settle();
    table().doubt(stateOf(only));
    assertDeliveredWhole(ask());
    assertTrue(only.ledger().isEmpty());
    assertEquals(2 * TOKENS, lower.ledger().size() + upper.ledger().size());
  }

  // Guards against work sent to an engine that two questions in a row found silent.
  @Test
  void onlyEngineIsRefusedAfterTwoLateStatusesInARow() {
    fleet.settle();
    table().doubt(stateOf(only));
    table().doubt(stateOf(only));
    assertRefusedAsNotRun(ask());
  }

  // Guards against work sent to an engine that has just lost some.
  @Test
  void onlyEngineIsRefusedAfterALostCall() {
    fleet.settle();
    table().eject(stateOf(only), "lost");
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

  private void assertDeliveredWhole(RecordedAnswer answer) {
    assertTrue(fleet.clock().advanceUntil(answer::isEnded, PATIENCE), "waited in vain");
    assertTrue(answer.isComplete(), () -> "refused: " + answer.refusal());
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
  }

  private void assertRefusedAsNotRun(RecordedAnswer answer) {
    fleet.clock().runDue();
    assertEquals(Reason.NO_ENDPOINT, answer.refusal().orElseThrow().reason());
    assertEquals(Verdict.NOT_RUN, answer.refusal().orElseThrow().verdict());
  }
}
