package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Reason;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.LedgerEntry;
import org.vaneworks.testlib.RecordedAnswer;

/** Checks that a stream does not leave a silent engine before another can take its layers. */
final class RunningStreamTest {
  private static final int LAYERS = 12;
  private static final int CUT = 6;
  private static final long SEED = 20261203;
  private static final double STEP_MILLIS = 5;
  private static final int LEARNING_STREAMS = 8;
  private static final int LEARNING_TOKENS = 60;
  private static final int TOKENS = 600;
  private static final int TOKENS_BEFORE_SILENCE = 20;
  private static final Duration PATIENCE = Duration.ofMinutes(5);
  private static final Duration SILENCE = Duration.ofMillis(700);
  private static final Duration SHORT_SILENCE = Duration.ofMillis(300);
  private static final Duration BUSY = Duration.ofSeconds(3);
  private static final Duration SLACK = Duration.ofMillis(200);
  private static final Duration AFTERWARDS = Duration.ofSeconds(10);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final EngineCore first = addEngine("a1", 0, CUT);
  private RecordedAnswer answer;

  // Guards against a stream that failed while its engine lived: no other engine had its layers.
  @Test
  void streamOfASilentEngineGoesOnWhileNoOtherHoldsItsLayers() {
    beginStream(NodeLimits.defaults());
    freezeAll();
    fleet.clock().advance(SILENCE);
    thawAll();
    assertDeliveredWhole();
    assertNothingRebuilt();
  }

  // Guards against a stream that failed while its engine lived: its replacements were used.
  @Test
  void streamOfASilentEngineGoesOnOnceItsReplacementsAreUsed() {
    addEngine("a2", 0, CUT);
    addEngine("b2", CUT, LAYERS);
    beginStream(withStreams(0, PipelineLimits.defaults().recoveryPatience()));
    freezeAll();
    fleet.clock().advance(SILENCE);
    thawAll();
    assertDeliveredWhole();
    assertNothingRebuilt();
  }

  // Guards against new work turned away from an engine that nothing can stand in for.
  @Test
  void silentEngineIsNotEjectedWhileNoOtherHoldsItsLayers() {
    beginStream(NodeLimits.defaults());
    freezeAll();
    fleet.clock().advance(SILENCE);
    assertEquals(0, fleet.counters("n1").value(Metric.EJECTIONS, "lost"));
    thawAll();
    assertDeliveredWhole();
  }

  // Guards against a stream that remains at a silent engine although another can take its layers.
  @Test
  void streamOfASilentEngineMovesOnceAnotherHoldsItsLayers() {
    beginStream(NodeLimits.defaults());
    int runBefore = first.ledger().size();
    freeze("a1");
    EngineCore other = addEngine("a2", 0, CUT);
    await(() -> !other.ledger().isEmpty());
    thaw("a1");
    assertDeliveredWhole();
    // The step that had arrived there may have run; its answer is not used, nor its session again.
    assertTrue(first.ledger().size() <= runBefore + 1, first.ledger()::toString);
    assertEquals(0, first.sessions());
  }

  // Guards against a stream that leaves a silent engine for one that is silent too.
  @Test
  void streamOfASilentEngineDoesNotMoveToOneInDoubt() {
    EngineCore other = addEngine("a2", 0, CUT);
    beginStream(NodeLimits.defaults());
    boolean isOnFirst = stateOf(first).inFlight() > 0;
    EngineCore present = isOnFirst ? first : other;
    EngineCore doubted = isOnFirst ? other : first;
    fleet.node("n1").endpoints().doubt(stateOf(doubted));
    int runBefore = doubted.ledger().size();
    freeze(boxOf(present));
    fleet.clock().advance(SHORT_SILENCE);
    thaw(boxOf(present));
    assertDeliveredWhole();
    assertEquals(runBefore, doubted.ledger().size());
  }

  // Guards against a stream that leaves an engine after its silence: it answers others again.
  @Test
  void streamStaysAtAnEngineThatAnswersOthersAfterItsSilence() {
    beginStream(NodeLimits.defaults());
    RecordedAnswer others = fleet.ask("n1", "others' prompt", TOKENS, CallerOptions.NONE);
    await(() -> !others.tokens().isEmpty());
    freezeAll();
    fleet.clock().advance(SILENCE);
    fleet.endpoints().loseAnswers(fleet.addressOf("b1"), 1);
    thawAll();
    fleet.clock().advance(SLACK);
    EngineCore other = addEngine("b2", CUT, LAYERS);
    fleet.clock().advance(BUSY);
    assertTrue(other.ledger().isEmpty(), other.ledger()::toString);
    assertDeliveredWhole();
  }

  // Guards against a dead engine's stream that stays: a broken connection proves its end.
  @Test
  void streamLeavesASilentEngineOnceItsConnectionBreaks() {
    beginStream(NodeLimits.defaults());
    freeze("b1");
    fleet.clock().advance(SILENCE);
    fleet.endpoints().kill(fleet.addressOf("b1"));
    EngineCore other = addEngine("b2", CUT, LAYERS);
    assertDeliveredWhole();
    assertFalse(other.ledger().isEmpty());
  }

  // Guards against a stream cut by its engine's leave: no other had its layers when it was told.
  @Test
  void streamOfALeavingEngineMovesOnceAnotherHoldsItsLayers() {
    beginStream(NodeLimits.defaults());
    fleet.boxes().markLeaving("a1");
    fleet.clock().advance(SILENCE);
    EngineCore other = addEngine("a2", 0, CUT);
    await(() -> !other.ledger().isEmpty() || answer.isEnded());
    assertFalse(answer.isEnded(), "it stayed to its end");
    int runBefore = first.ledger().size();
    assertDeliveredWhole();
    assertEquals(runBefore, first.ledger().size());
    assertNothingRebuilt();
  }

  // Guards against a stream that waits in vain for its only engine, as its lost call counts there.
  @Test
  void streamReturnsToItsOnlyEngineAfterALostCall() {
    beginStream(NodeLimits.defaults());
    fleet.endpoints().loseAnswers(fleet.addressOf("b1"), 1);
    assertDeliveredWhole();
  }

  // Guards against a stream that hangs for good, or ends early: its engine's call never ends.
  @Test
  void callThatNeverEndsIsGivenUpAfterTheStepTimeoutAndThePatience() {
    beginStream(withStreams(1, Duration.ZERO));
    freezeAll();
    Duration timeout = NodeLimits.defaults().endpoints().stepTimeout();
    fleet.clock().advance(timeout.minus(SLACK));
    assertFalse(answer.isEnded());
    fleet.clock().advance(SLACK.multipliedBy(2));
    assertEquals(Reason.NO_ENDPOINT, answer.refusal().orElseThrow().reason());
  }

  private static NodeLimits withStreams(int maxReplacements, Duration patience) {
    PipelineLimits usual = PipelineLimits.defaults();
    return NodeLimits.defaults()
        .withStreams(
            new PipelineLimits(
                maxReplacements, patience, usual.moveOver(), usual.replayCharacters()));
  }

  /** Begins a stream once the engines' step times are known. */
  private void beginStream(NodeLimits limits) {
    addEngine("b1", CUT, LAYERS);
    var unused = fleet.addNode("n1", limits);
    fleet.settle();
    List<RecordedAnswer> learning = new ArrayList<>();
    for (int i = 0; i < LEARNING_STREAMS; i++) {
      learning.add(fleet.ask("n1", "learning " + i, LEARNING_TOKENS, CallerOptions.NONE));
    }
    await(() -> learning.stream().allMatch(RecordedAnswer::isComplete));
    answer = fleet.ask("n1", "prompt", TOKENS, CallerOptions.NONE);
    await(() -> answer.tokens().size() >= TOKENS_BEFORE_SILENCE);
  }

  @CanIgnoreReturnValue
  private EngineCore addEngine(String box, int from, int to) {
    return fleet.addEngine(box, from, to, STEP_MILLIS);
  }

  private EndpointState stateOf(EngineCore engine) {
    return fleet.node("n1").endpoints().find(engine.options().endpoint().id()).orElseThrow();
  }

  private void freezeAll() {
    fleet.endpoints().engines().forEach(engine -> freeze(boxOf(engine)));
  }

  private void thawAll() {
    fleet.endpoints().engines().forEach(engine -> thaw(boxOf(engine)));
  }

  private static String boxOf(EngineCore engine) {
    return engine.options().endpoint().id().box();
  }

  private void freeze(String box) {
    fleet.endpoints().freeze(fleet.addressOf(box));
  }

  private void thaw(String box) {
    fleet.endpoints().thaw(fleet.addressOf(box));
  }

  private void await(BooleanSupplier condition) {
    assertTrue(fleet.clock().advanceUntil(condition, PATIENCE), "waited in vain");
  }

  private void assertDeliveredWhole() {
    await(answer::isEnded);
    assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
    fleet.clock().advance(AFTERWARDS);
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
    for (EndpointState engine : fleet.node("n1").endpoints().all()) {
      assertEquals(0, engine.inFlight(), engine.endpoint().id()::toString);
    }
  }

  private void assertNothingRebuilt() {
    ImmutableList<LedgerEntry> runs = fleet.verifier().runsOf(answer.prompt());
    assertTrue(runs.stream().noneMatch(LedgerEntry::rebuilt), "something was rebuilt");
  }
}
