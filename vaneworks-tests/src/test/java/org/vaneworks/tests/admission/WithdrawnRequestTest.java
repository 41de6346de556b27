package org.vaneworks.tests.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.state.Reason;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests that a request whose caller left while it waited no longer takes part in the queue. */
final class WithdrawnRequestTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261210;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 300;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration TIME_TO_QUEUE = Duration.ofMillis(200);

  /** One stream runs at a time and two requests may wait. */
  private static final String CONFIGURATION =
      "{kind: template, name: t, model: {name: model, layers: 12}, services: [],"
          + " limits: {maxInFlight: 100, maxQueue: 2, maxTokens: 1000},"
          + " bounds: {firstTokenMs: 60000, betweenTokensMs: 10000}}\n"
          + "---\n"
          + "{kind: workspace, name: ward, template: t}\n";

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);

  @BeforeEach
  void startNode() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    RoutingSettings defaults = RoutingSettings.defaults();
    RoutingSettings oneStream =
        new RoutingSettings(
            defaults.policy(),
            RoutingSettings.AdmissionKind.FIXED,
            defaults.cost(),
            1,
            defaults.retryShare());
    var unusedNode = fleet.addNode("n1", NodeLimits.defaults().withRouting(oneStream));
    fleet.settle();
    var unusedHead = fleet.apply(CONFIGURATION);
    fleet.clock().advance(TIMEOUT);
  }

  // Guards against refusing a request because of waiting requests whose callers have left.
  @Test
  void withdrawnRequestDoesNotCountAgainstMaxQueue() {
    RecordedAnswer running = RecordedAnswer.to("running");
    RecordedAnswer waiting = RecordedAnswer.to("waiting");
    RecordedAnswer withdrawn = RecordedAnswer.to("withdrawn");
    RecordedAnswer next = RecordedAnswer.to("next");
    var unused = ask(running);
    var unusedWaiting = ask(waiting);
    Runnable leave = ask(withdrawn);
    fleet.clock().advance(TIME_TO_QUEUE);
    leave.run();
    fleet.clock().runDue();
    assertEquals(Reason.CALLER_GONE, withdrawn.refusal().orElseThrow().reason());

    var unusedNext = ask(next);
    fleet.clock().advance(TIME_TO_QUEUE);

    assertFalse(next.isEnded(), () -> "refused: " + next.refusal());
    assertTrue(fleet.clock().advanceUntil(next::isEnded, TIMEOUT));
    assertTrue(running.isComplete() && waiting.isComplete() && next.isComplete());
  }

  private Runnable ask(RecordedAnswer answer) {
    Runnable leave =
        fleet
            .node("n1")
            .dispatcher()
            .complete(
                InMemoryFleet.WORKSPACE,
                new CompletionBody(answer.prompt(), OptionalInt.of(TOKENS)),
                CallerOptions.NONE,
                answer);
    fleet.clock().runDue();
    return leave;
  }
}
