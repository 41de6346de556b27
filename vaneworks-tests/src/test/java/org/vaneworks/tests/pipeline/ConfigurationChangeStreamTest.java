package org.vaneworks.tests.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Reason;
import org.vaneworks.state.ResourceKey;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/** Tests streams whose workspace is removed from the configuration while they run. */
final class ConfigurationChangeStreamTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261211;
  private static final double STEP_MILLIS = 5;
  private static final int TOKENS = 900;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration TIME_TO_START = Duration.ofMillis(500);
  private static final Duration TIME_TO_APPLY = Duration.ofSeconds(4);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);

  @BeforeEach
  void startNodes() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    var unusedFirst = fleet.addNode("n1");
    var unusedSecond = fleet.addNode("n2");
    fleet.settle();
  }

  // Guards against cutting a stream whose workspace is removed.
  @Test
  void streamEndsUnderTheConfigurationThatItBeganWith() {
    assertContinuesWithoutWorkspace("n1", CallerOptions.NONE);
  }

  // Guards against cutting a stream that another node runs under a ticket whose workspace is
  // removed.
  @Test
  void streamWithTicketEndsUnderTheConfigurationThatItBeganWith() {
    String ticket = fleet.node("n1").dispatcher().tickets(1).join().get(0);
    assertContinuesWithoutWorkspace(
        "n2",
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.of(ticket),
            Optional.empty(),
            Optional.empty()));
  }

  private void assertContinuesWithoutWorkspace(String node, CallerOptions options) {
    RecordedAnswer answer = fleet.ask(node, "prompt", TOKENS, options);
    fleet.clock().advance(TIME_TO_START);
    var unused =
        fleet
            .editor()
            .apply(
                new ConfigurationChange(
                    "remove",
                    "test",
                    "",
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableSet.of(
                        new ResourceKey(ResourceKey.Kind.WORKSPACE, InMemoryFleet.WORKSPACE))),
                OptionalLong.empty());
    fleet.clock().advance(TIME_TO_APPLY);
    RecordedAnswer refused = fleet.ask(node, "other prompt", TOKENS, CallerOptions.NONE);
    fleet.clock().runDue();
    assertEquals(Reason.UNKNOWN_WORKSPACE, refused.refusal().orElseThrow().reason());
    assertTrue(fleet.clock().advanceUntil(answer::isEnded, TIMEOUT));
    assertTrue(answer.isComplete(), () -> "ended early: " + answer.refusal());
    assertEquals(ImmutableList.of(), fleet.verifier().problemsOf(answer, TOKENS, false));
  }
}
