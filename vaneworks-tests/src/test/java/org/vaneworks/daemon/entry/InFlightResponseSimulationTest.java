package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.tests.Schedules;

/**
 * Checks in random simulations that callers get the complete response if the engine would have sent
 * a complete answer.
 *
 * <p>Guards against nodes that abandon a paused engine before another engine accepts the request.
 */
final class InFlightResponseSimulationTest {
  private static final Schedules SIMULATIONS = new Schedules("in-flight response");
  private static final Schedules REPLACEMENTS = new Schedules("replacement fault");
  private static final Schedules INTERRUPTIONS = new Schedules("broken connection");
  private static final Schedules UNDELIMITED = new Schedules("undelimited response");

  @Property(
      tries = Schedules.TRIES,
      seed = "20261203",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void responsesAreNotAbortedWhileTheirEnginesLive(@ForAll long seed) {
    SIMULATIONS.run(
        seed,
        each -> {
          InFlightResponseSimulation simulation = new InFlightResponseSimulation(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  // Guards against a stream that is aborted because its replacement failed after the head.
  @Property(
      tries = Schedules.TRIES,
      seed = "20261204",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void responsesAreNotAbortedWhileReplacementsFail(@ForAll long seed) {
    REPLACEMENTS.run(
        seed,
        each -> {
          InFlightResponseSimulation simulation =
              InFlightResponseSimulation.withReplacementFaults(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  // Guards against interrupted streams that are aborted while they could wait for the retry budget,
  // and against nodes that together send more retries than the budget allows.
  @Property(
      tries = Schedules.TRIES,
      seed = "20261205",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void interruptedStreamsWaitForRetryBudget(@ForAll long seed) {
    INTERRUPTIONS.run(
        seed,
        each -> {
          InFlightResponseSimulation simulation =
              InFlightResponseSimulation.withBrokenConnections(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  // Guards against streams that reach their callers as complete although their engines' processes
  // ended, which closes their connections without an error.
  @Property(
      tries = Schedules.TRIES,
      seed = "20261206",
      shrinking = ShrinkingMode.OFF,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void undelimitedResponsesAreCompleteOrVisiblyNot(@ForAll long seed) {
    UNDELIMITED.run(
        seed,
        each -> {
          InFlightResponseSimulation simulation =
              InFlightResponseSimulation.withUndelimitedResponses(each);
          return new Schedules.Result(simulation.run(), simulation.counts());
        });
  }

  // Guards against a stream that is aborted because it left a live engine for one that rejected it.
  @Test
  void streamKeepsItsEngineIfAnotherEngineRejectsIt() {
    for (long seed : new long[] {54, 69, 83, 663}) {
      assertEquals(ImmutableList.of(), new InFlightResponseSimulation(seed).run(), "seed " + seed);
    }
  }

  // Guards against a stream that is aborted by the crash of an engine which is no longer on its
  // path, because the order that changed the path took effect but was not answered.
  @Test
  void streamSurvivesTheCrashOfAnEngineThatLeftItsPath() {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(98).run());
  }

  // Guards against a stream that makes progress again, but still waits for capacity elsewhere and
  // is
  // then sent twice.
  @ParameterizedTest
  @ValueSource(longs = {30, 74, 113, 236})
  void streamThatMakesProgressAgainDoesNotMove(long seed) {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(seed).run());
  }

  // Guards against a stream whose engine is abandoned before its replacement delivers an event.
  @ParameterizedTest
  @ValueSource(longs = {16, 179, 284})
  void streamKeepsItsEngineUntilAnotherEngineDelivers(long seed) {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(seed).run());
  }

  // The same with replacements that fail or fall silent after their heads.
  @ParameterizedTest
  @ValueSource(longs = {24, 64, 112, 1434, -3160090})
  void streamKeepsItsEngineUntilReplacementDelivers(long seed) {
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withReplacementFaults(seed).run());
  }

  // Control case: the head of a response that is not a stream ends the former attempt, and the
  // response breaks off after it.
  @Test
  void headOfPlainResponseEndsFormerAttempt() {
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withReplacementFaults(-6577).run());
  }

  // Guards against a stream that leaves its replacement for the last events of a crashed engine,
  // which a late node reads after it sent the replacement.
  @Test
  void streamKeepsReplacementOfCrashedEngineWhoseEventsAreReadLate() {
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withReplacementFaults(2869).run());
  }

  // Control case: a peer sends a stream again before it learns that the node that forwarded it has
  // left the peer for an engine that delivers.
  @Test
  void peerSendsStreamBeforeItLearnsOfItsCancellation() {
    assertEquals(
        ImmutableList.of(), InFlightResponseSimulation.withUndelimitedResponses(-237).run());
  }

  // Control case: a node sends a retry shortly after the budget was lowered, before which other
  // nodes had sent more retries than the lower budget allows.
  @Test
  void nodesObeyBudgetThatIsLowered() {
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withBrokenConnections(39).run());
  }

  // Guards against streams that are refused after their callers have left, as their wait for room
  // starts afresh at the peer that they are forwarded to.
  @Test
  void forwardedStreamsAreRefusedBeforeTheirCallersLeave() {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(-6218522).run());
    for (long seed : new long[] {236, -1453087263}) {
      assertEquals(
          ImmutableList.of(),
          InFlightResponseSimulation.withReplacementFaults(seed).run(),
          "seed " + seed);
    }
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withBrokenConnections(1151).run());
    assertEquals(ImmutableList.of(), InFlightResponseSimulation.withUndelimitedResponses(94).run());
  }

  // Control case: a peer's process stops before the peer reads the rest of a complete answer, whose
  // stream can't be sent again.
  @Test
  void completeAnswerIsLostWithPeerThatHasNotReadIt() {
    assertEquals(ImmutableList.of(), new InFlightResponseSimulation(-1418102).run());
    for (long seed : new long[] {27494, 1796179418}) {
      assertEquals(
          ImmutableList.of(),
          InFlightResponseSimulation.withUndelimitedResponses(seed).run(),
          "seed " + seed);
    }
  }

  @AfterContainer
  static void report() {
    SIMULATIONS.report();
    REPLACEMENTS.report();
    INTERRUPTIONS.report();
    UNDELIMITED.report();
  }
}
