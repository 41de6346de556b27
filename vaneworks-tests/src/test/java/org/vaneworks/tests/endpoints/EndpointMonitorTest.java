package org.vaneworks.tests.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests how long endpoints are used that the platform's box list no longer contains. */
final class EndpointMonitorTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261208;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 5;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration SHORT_LISTS = Duration.ofSeconds(8);
  private static final Duration UNLISTED = Duration.ofSeconds(40);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);

  @BeforeEach
  void startNode() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    var unusedNode = fleet.addNode("n1");
    fleet.settle();
    fleet.boxes().remove("a1");
  }

  // Guards against refusing all requests after a few lists that lacked the boxes of endpoints that
  // answer.
  @Test
  void endpointThatAnswersRemainsInUseAfterShortLists() {
    fleet.clock().advance(SHORT_LISTS);
    RecordedAnswer answer = fleet.ask("n1", "prompt", TOKENS, CallerOptions.NONE);
    assertTrue(fleet.clock().advanceUntil(answer::isEnded, TIMEOUT));
    assertTrue(answer.isComplete(), () -> "refused: " + answer.refusal());
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, true));
  }

  // Guards against keeping an endpoint that is neither listed nor answers.
  @Test
  void endpointThatDoesNotAnswerIsRemovedAfterShortLists() {
    fleet.endpoints().kill(fleet.addressOf("a1"));
    fleet.clock().advance(SHORT_LISTS);
    assertEquals(ImmutableList.of(), fleet.node("n1").endpoints().all());
  }

  // Guards against using an endpoint forever that was taken off the list but still runs.
  @Test
  void endpointThatAnswersIsRemovedOnceItWasNotListedForLong() {
    fleet.clock().advance(UNLISTED);
    assertEquals(ImmutableList.of(), fleet.node("n1").endpoints().all());
  }
}
