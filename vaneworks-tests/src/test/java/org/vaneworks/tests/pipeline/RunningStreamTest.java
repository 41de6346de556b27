package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

/** Tests that a stream stays on an unresponsive engine until another can take over its layers. */
final class RunningStreamTest {
  private static final int LAYERS = 12;
  private static final int SPLIT_LAYER = 6;
  private static final long SEED = 20261203;
  private static final double STEP_MILLIS = 5;
  private static final int LEARNING_STREAMS = 8;
  private static final int LEARNING_TOKENS = 60;
  private static final int TOKENS = 600;
  private static final int TOKENS_BEFORE_FREEZE = 20;
  private static final Duration TIMEOUT = Duration.ofMinutes(5);
  private static final Duration UNRESPONSIVE_TIME = Duration.ofMillis(700);
  private static final Duration SHORT_UNRESPONSIVE_TIME = Duration.ofMillis(300);
  private static final Duration LONG_UNRESPONSIVE_TIME = Duration.ofSeconds(9);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(3);
  private static final Duration MARGIN = Duration.ofMillis(200);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  private static final CallerOptions NOT_REPEATABLE =
      new CallerOptions(
          Optional.of(false),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty());

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final EngineCore first = addEngine("a1", 0, SPLIT_LAYER);
  private RecordedAnswer answer;

  // Guards against a stream that fails although its engine is alive: the engine did not answer for
  // a while, and no other engine has its layers.
  @Test
  void streamContinuesOnUnresponsiveEngineWhileNoOtherHasItsLayers() {
    startStream(NodeLimits.defaults());
    freezeAll();
    fleet.clock().advance(UNRESPONSIVE_TIME);
    thawAll();
    assertDeliveredCompletely();
    assertNothingRebuilt();
  }

  // Guards against a stream that fails although its engine is alive: the engine did not answer for
  // a while, and the stream had no replacements left.
  @Test
  void streamContinuesOnUnresponsiveEngineWithNoReplacementsLeft() {
    addEngine("a2", 0, SPLIT_LAYER);
    addEngine("b2", SPLIT_LAYER, LAYERS);
    startStream(withStreams(0, PipelineLimits.defaults().recoveryTimeout()));
    freezeAll();
    fleet.clock().advance(UNRESPONSIVE_TIME);
    thawAll();
    assertDeliveredCompletely();
    assertNothingRebuilt();
  }

  // Guards against refusing new work because the only engine with the layers was ejected.
  @Test
  void unresponsiveEngineIsNotEjectedWhileNoOtherHasItsLayers() {
    startStream(NodeLimits.defaults());
    freezeAll();
    fleet.clock().advance(UNRESPONSIVE_TIME);
    assertEquals(0, fleet.counters("n1").value(Metric.EJECTIONS, "lost"));
    thawAll();
    assertDeliveredCompletely();
  }

  // Guards against a stream that stays on an unresponsive engine although another engine with its
  // layers has been added.
  @Test
  void streamLeavesUnresponsiveEngineOnceAnotherHasItsLayers() {
    startStream(NodeLimits.defaults());
    int runBefore = first.ledger().size();
    freeze("a1");
    EngineCore other = addEngine("a2", 0, SPLIT_LAYER);
    await(() -> !other.ledger().isEmpty());
    thaw("a1");
    assertDeliveredCompletely();
    // The step that was in flight may have run, but its answer and its session are no longer used.
    assertTrue(first.ledger().size() <= runBefore + 1, first.ledger()::toString);
    assertEquals(0, first.sessions());
  }

  // Guards against moving a stream from an unresponsive engine to a suspected one.
  @Test
  void streamDoesNotMoveFromUnresponsiveToSuspectedEngine() {
    EngineCore other = addEngine("a2", 0, SPLIT_LAYER);
    startStream(NodeLimits.defaults());
    boolean isOnFirst = stateOf(first).inFlight() > 0;
    EngineCore current = isOnFirst ? first : other;
    EngineCore suspected = isOnFirst ? other : first;
    fleet.node("n1").endpoints().recordStatusFailure(stateOf(suspected));
    int runBefore = suspected.ledger().size();
    freeze(boxOf(current));
    fleet.clock().advance(SHORT_UNRESPONSIVE_TIME);
    thaw(boxOf(current));
    assertDeliveredCompletely();
    assertEquals(runBefore, suspected.ledger().size());
  }

  // Guards against a stream that leaves an engine that was unresponsive for a while but answers
  // other streams again.
  @Test
  void streamStaysOnEngineThatAnswersOtherStreamsAgain() {
    startStream(NodeLimits.defaults());
    RecordedAnswer otherAnswer = fleet.ask("n1", "others' prompt", TOKENS, CallerOptions.NONE);
    await(() -> !otherAnswer.tokens().isEmpty());
    freezeAll();
    fleet.clock().advance(UNRESPONSIVE_TIME);
    fleet.endpoints().loseAnswers(fleet.addressOf("b1"), 1);
    thawAll();
    fleet.clock().advance(MARGIN);
    EngineCore other = addEngine("b2", SPLIT_LAYER, LAYERS);
    fleet.clock().advance(OBSERVATION_TIME);
    assertTrue(other.ledger().isEmpty(), other.ledger()::toString);
    assertDeliveredCompletely();
  }

  // Guards against a stream that stays on a dead engine although its connection broke.
  @Test
  void streamLeavesUnresponsiveEngineOnceItsConnectionBreaks() {
    startStream(NodeLimits.defaults());
    freeze("b1");
    fleet.clock().advance(UNRESPONSIVE_TIME);
    fleet.endpoints().kill(fleet.addressOf("b1"));
    EngineCore other = addEngine("b2", SPLIT_LAYER, LAYERS);
    assertDeliveredCompletely();
    assertFalse(other.ledger().isEmpty());
  }

  // Guards against a stream that is cut when its engine leaves: no other engine had its layers when
  // the engine announced that it was leaving, and one was added later.
  @Test
  void streamLeavesLeavingEngineOnceAnotherHasItsLayers() {
    startStream(NodeLimits.defaults());
    fleet.boxes().markLeaving("a1");
    fleet.clock().advance(UNRESPONSIVE_TIME);
    EngineCore other = addEngine("a2", 0, SPLIT_LAYER);
    await(() -> !other.ledger().isEmpty() || answer.isEnded());
    assertFalse(answer.isEnded(), "the stream ended on the leaving engine");
    int runBefore = first.ledger().size();
    assertDeliveredCompletely();
    assertEquals(runBefore, first.ledger().size());
    assertNothingRebuilt();
  }

  // Guards against a stream that can't return to its only engine after a lost call, because the
  // lost call still counts as in flight there.
  @Test
  void streamReturnsToItsOnlyEngineAfterLostCall() {
    startStream(NodeLimits.defaults());
    fleet.endpoints().loseAnswers(fleet.addressOf("b1"), 1);
    assertDeliveredCompletely();
  }

  // Guards against cutting a stream that may not run twice because its engine paused for longer
  // than the step timeout.
  @Test
  void notRepeatableStreamContinuesAfterPauseLongerThanStepTimeout() {
    startStream(NodeLimits.defaults(), NOT_REPEATABLE);
    freezeAll();
    fleet.clock().advance(LONG_UNRESPONSIVE_TIME);
    thawAll();
    assertDeliveredCompletely();
    assertNothingRebuilt();
  }

  // Guards against rebuilding a stream because its engine paused for longer than the step timeout
  // while no other engine had its layers.
  @Test
  void repeatableStreamContinuesAfterPauseLongerThanStepTimeout() {
    startStream(NodeLimits.defaults());
    freezeAll();
    fleet.clock().advance(LONG_UNRESPONSIVE_TIME);
    thawAll();
    assertDeliveredCompletely();
    assertNothingRebuilt();
  }

  // Guards against a stream that hangs forever, or ends too early, when a call to its engine never
  // ends.
  @Test
  void callThatNeverEndsIsAbandonedAfterStepAndRecoveryTimeouts() {
    startStream(withStreams(1, Duration.ZERO));
    freezeAll();
    Duration timeout = NodeLimits.defaults().endpoints().stepTimeout();
    fleet.clock().advance(timeout.minus(MARGIN));
    assertFalse(answer.isEnded());
    fleet.clock().advance(MARGIN.multipliedBy(2));
    assertEquals(Reason.NO_ENDPOINT, answer.refusal().orElseThrow().reason());
  }

  private static NodeLimits withStreams(int maxReplacements, Duration recoveryTimeout) {
    PipelineLimits defaults = PipelineLimits.defaults();
    return NodeLimits.defaults()
        .withStreams(
            new PipelineLimits(
                maxReplacements,
                recoveryTimeout,
                defaults.migrationThreshold(),
                defaults.replayCharacters()));
  }

  /** Starts a stream after the node has learned the step times of the engines. */
  private void startStream(NodeLimits limits) {
    startStream(limits, CallerOptions.NONE);
  }

  private void startStream(NodeLimits limits, CallerOptions options) {
    addEngine("b1", SPLIT_LAYER, LAYERS);
    var unused = fleet.addNode("n1", limits);
    fleet.settle();
    List<RecordedAnswer> learning = new ArrayList<>();
    for (int i = 0; i < LEARNING_STREAMS; i++) {
      learning.add(fleet.ask("n1", "learning " + i, LEARNING_TOKENS, CallerOptions.NONE));
    }
    await(() -> learning.stream().allMatch(RecordedAnswer::isComplete));
    answer = fleet.ask("n1", "prompt", TOKENS, options);
    await(() -> answer.tokens().size() >= TOKENS_BEFORE_FREEZE);
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
    assertTrue(fleet.clock().advanceUntil(condition, TIMEOUT), "the condition was not met in time");
  }

  private void assertDeliveredCompletely() {
    await(answer::isEnded);
    assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
    fleet.clock().advance(SETTLE_TIME);
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
    for (EndpointState engine : fleet.node("n1").endpoints().all()) {
      assertEquals(0, engine.inFlight(), engine.endpoint().id()::toString);
    }
  }

  private void assertNothingRebuilt() {
    ImmutableList<LedgerEntry> runs = fleet.verifier().runsOf(answer.prompt());
    assertTrue(runs.stream().noneMatch(LedgerEntry::rebuilt), "a session was rebuilt");
  }
}
