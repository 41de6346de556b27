package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.LedgerEntry;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests running streams that are to move to an engine that does not take them. */
final class RefusedReplacementTest {
  private static final int LAYERS = 12;
  private static final int SPLIT_LAYER = 6;
  private static final long SEED = 20261207;
  private static final double STEP_MILLIS = 5;
  private static final int LEARNING_STREAMS = 8;
  private static final int LEARNING_TOKENS = 60;
  private static final int TOKENS = 600;
  private static final int TOKENS_BEFORE_LOSS = 20;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration OVERLOAD = Duration.ofSeconds(4);
  private static final Duration PAUSE = Duration.ofMillis(1500);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final EngineCore first = fleet.addEngine("b1", SPLIT_LAYER, LAYERS, STEP_MILLIS);
  private final EngineCore second = fleet.addEngine("b2", SPLIT_LAYER, LAYERS, STEP_MILLIS);
  private EngineCore current;
  private EngineCore other;
  private RecordedAnswer answer;

  @BeforeEach
  void startStream() {
    var unused = fleet.addEngine("a1", 0, SPLIT_LAYER, STEP_MILLIS);
    var unusedNode = fleet.addNode("n1", NodeLimits.defaults());
    fleet.settle();
    List<RecordedAnswer> learning = new ArrayList<>();
    for (int i = 0; i < LEARNING_STREAMS; i++) {
      learning.add(fleet.ask("n1", "learning " + i, LEARNING_TOKENS, CallerOptions.NONE));
    }
    await(() -> learning.stream().allMatch(RecordedAnswer::isComplete));
    answer = fleet.ask("n1", "prompt", TOKENS, CallerOptions.NONE);
    await(() -> answer.tokens().size() >= TOKENS_BEFORE_LOSS);
    current = stateOf(first).inFlight() > 0 ? first : second;
    other = current == first ? second : first;
  }

  // Guards against cutting a stream that lost its engine because the only other engine was
  // overloaded for a while: its refusals used up the replacements or the node's retry budget.
  @Test
  void streamWaitsUntilOverloadedEngineTakesIt() {
    fleet.endpoints().setOverloaded(addressOf(other), true);
    fleet.endpoints().kill(addressOf(current));
    fleet.clock().advance(OVERLOAD);
    fleet.endpoints().setOverloaded(addressOf(other), false);
    assertDeliveredCompletely();
  }

  // Guards against giving up an engine that pauses for another one that turns out to be
  // overloaded.
  @Test
  void streamStaysOnPausedEngineWhileTheOtherIsOverloaded() {
    fleet.endpoints().setOverloaded(addressOf(other), true);
    fleet.endpoints().freeze(addressOf(current));
    fleet.clock().advance(PAUSE);
    fleet.endpoints().thaw(addressOf(current));
    assertDeliveredCompletely();
    assertNothingRebuilt();
    assertEquals(0, fleet.counters("n1").value(Metric.EJECTIONS, "lost"));
  }

  // Guards against giving up an engine that pauses for another one that does not answer either.
  @Test
  void streamStaysOnPausedEngineThatAnswersBeforeTheOther() {
    fleet.endpoints().freeze(addressOf(other));
    fleet.endpoints().freeze(addressOf(current));
    fleet.clock().advance(PAUSE);
    fleet.endpoints().thaw(addressOf(current));
    assertDeliveredCompletely();
    fleet.endpoints().thaw(addressOf(other));
    fleet.clock().advance(SETTLE_TIME);
    assertNothingRebuilt();
    assertEquals(0, other.sessions());
    assertEquals(0, stateOf(other).inFlight());
  }

  // Guards against giving up an engine that pauses for another one whose connection breaks.
  @Test
  void streamStaysOnPausedEngineWhenTheOtherIsDead() {
    fleet.endpoints().kill(addressOf(other));
    fleet.endpoints().freeze(addressOf(current));
    fleet.clock().advance(PAUSE);
    fleet.endpoints().thaw(addressOf(current));
    assertDeliveredCompletely();
    assertNothingRebuilt();
  }

  // Guards against a stream that is cut when its engine dies after a replacement was sent its step.
  @Test
  void streamMovesToReplacementWhenPausedEngineDies() {
    fleet.endpoints().setDelay(addressOf(other), Duration.ofMillis(400));
    fleet.endpoints().freeze(addressOf(current));
    await(() -> stateOf(other).inFlight() > 0);
    fleet.endpoints().kill(addressOf(current));
    fleet.endpoints().setDelay(addressOf(other), Duration.ofMillis(1));
    assertDeliveredCompletely();
    assertTrue(!other.ledger().isEmpty());
  }

  private EndpointState stateOf(EngineCore engine) {
    return fleet.node("n1").endpoints().find(engine.options().endpoint().id()).orElseThrow();
  }

  private static HostPort addressOf(EngineCore engine) {
    return engine.options().endpoint().address();
  }

  private void await(BooleanSupplier condition) {
    assertTrue(fleet.clock().advanceUntil(condition, TIMEOUT), "the condition was not met in time");
  }

  private void assertDeliveredCompletely() {
    await(answer::isEnded);
    assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
    fleet.clock().advance(SETTLE_TIME);
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
  }

  private void assertNothingRebuilt() {
    ImmutableList<LedgerEntry> runs = fleet.verifier().runsOf(answer.prompt());
    assertTrue(runs.stream().noneMatch(LedgerEntry::rebuilt), "a session was rebuilt");
  }
}
