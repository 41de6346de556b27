package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests streams whose only engine is alive after its connections broke. */
final class LostCallsStreamTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261206;
  private static final double STEP_MILLIS = 5;
  private static final int STREAMS = 8;
  private static final int TOKENS = 300;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration TIME_TO_START = Duration.ofMillis(500);
  private static final Duration PAUSE = Duration.ofSeconds(8);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private final List<RecordedAnswer> answers = new ArrayList<>();

  @BeforeEach
  void startStreams() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    var unusedNode = fleet.addNode("n1");
    fleet.settle();
    for (int i = 0; i < STREAMS; i++) {
      answers.add(fleet.ask("n1", "prompt " + i, TOKENS, CallerOptions.NONE));
    }
    fleet.clock().advance(TIME_TO_START);
    assertTrue(answers.stream().allMatch(answer -> !answer.tokens().isEmpty()));
  }

  // Guards against cutting all streams of an engine whose connections broke at the same time: each
  // lost call doubled the time for which the engine was not used.
  @Test
  void streamsReturnToEngineWhoseConnectionsBrokeAtTheSameTime() {
    fleet.endpoints().resetConnections(fleet.addressOf("a1"));
    assertAllDeliveredCompletely();
  }

  // Guards against cutting streams of an engine that paused: each status call that failed doubled
  // the time for which the engine was not used after it answered again.
  @Test
  void streamsReturnToEngineThatAnswersAgainAfterPause() {
    fleet.endpoints().freeze(fleet.addressOf("a1"));
    fleet.endpoints().resetConnections(fleet.addressOf("a1"));
    fleet.clock().advance(PAUSE);
    fleet.endpoints().thaw(fleet.addressOf("a1"));
    assertAllDeliveredCompletely();
  }

  private void assertAllDeliveredCompletely() {
    assertTrue(
        fleet
            .clock()
            .advanceUntil(() -> answers.stream().allMatch(RecordedAnswer::isEnded), TIMEOUT),
        "the answers did not end in time");
    for (RecordedAnswer answer : answers) {
      assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
      assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
    }
  }
}
