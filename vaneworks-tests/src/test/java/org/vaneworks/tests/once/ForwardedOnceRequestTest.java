package org.vaneworks.tests.once;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests completions with a ticket whose caller asked another node than the ticket's home. */
final class ForwardedOnceRequestTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261205;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 1000;
  private static final Duration TIMEOUT = Duration.ofMinutes(10);
  private static final Duration TIME_TO_START = Duration.ofMillis(500);
  private static final Duration OUTAGE = Duration.ofSeconds(30);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);
  private String ticket;
  private RecordedAnswer answer;

  @BeforeEach
  void startRequest() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    for (String name : ImmutableList.of("n1", "n2", "n3", "n4")) {
      var unusedNode = fleet.addNode(name);
    }
    fleet.settle();
    ticket = fleet.node("n1").dispatcher().tickets(1).join().get(0);
    answer = ask("n2");
    fleet.clock().advance(TIME_TO_START);
  }

  // Guards against a planned stop that ends while requests forwarded by peers run, and hands their
  // records over as those of requests that never ran, so that they run twice.
  @Test
  void plannedStopOfTicketHomeWaitsForForwardedRequest() {
    CompletableFuture<Integer> stopped = fleet.stopNode("n1");
    await(stopped::isDone);
    assertEquals(0, stopped.join());
    assertDeliveredCompletely();
  }

  // Guards against a second run under a ticket: a planned stop of its home handed the record over
  // while the request ran.
  @Test
  void repeatAfterPlannedStopOfTicketHomeDoesNotRunAgain() {
    CompletableFuture<Integer> stopped = fleet.stopNode("n1");
    await(stopped::isDone);
    fleet.clock().advance(OUTAGE);
    RecordedAnswer repeated = ask("n3");
    await(repeated::isEnded);
    assertTrue(repeated.isComplete(), () -> "ended early: " + repeated.refusal());
    assertEquals(TOKENS, fleet.verifier().runsOf("prompt").size());
  }

  // Guards against ending a caller's wait after two unanswered calls although the home of its
  // ticket runs the request.
  @Test
  void callerWaitsWhileRepliesOfTicketHomeAreLost() {
    fleet.peers().blockLink(fleet.addressOf("n1"), fleet.addressOf("n2"));
    fleet.clock().advance(OUTAGE);
    assertFalse(answer.isEnded(), () -> "ended early: " + answer.refusal());
    fleet.peers().restoreLinks();
    assertDeliveredCompletely();
  }

  // Guards against a caller that waits for a node that is gone.
  @Test
  void callerIsToldThatTicketHomeIsGone() {
    fleet.killNode("n1");
    fleet.clock().advance(OUTAGE);
    assertEquals(Reason.HOME_LOST, answer.refusal().orElseThrow().reason());
    assertEquals(Verdict.MAY_HAVE_RUN, answer.refusal().orElseThrow().verdict());
  }

  private RecordedAnswer ask(String node) {
    CallerOptions options =
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.of(ticket),
            Optional.empty(),
            Optional.empty());
    return fleet.ask(node, "prompt", TOKENS, options);
  }

  private void await(BooleanSupplier condition) {
    assertTrue(fleet.clock().advanceUntil(condition, TIMEOUT), "the condition was not met in time");
  }

  private void assertDeliveredCompletely() {
    await(answer::isEnded);
    assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, false));
  }
}
