package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.Got;

/** Guards against calls to an engine that asked the node for a time without any. */
final class BackoffTest {
  private static final int NODES = 8;
  private static final int ENGINES = 3;
  private static final int FULL = 1;
  private static final int BACKOFF_MILLIS = 3000;
  private static final int A_SECOND = 28;

  private final SimulatedCluster fleet = new SimulatedCluster(NODES, ENGINES, 7);
  private int asked;
  private final List<Got> answers = new ArrayList<>();

  /** Asks nodes in turn. */
  private void ask(int seconds) {
    for (int i = 0; i < seconds * A_SECOND; i++) {
      answers.add(fleet.ask(asked % NODES, "letter " + asked));
      asked++;
      fleet.advance(1000 / A_SECOND);
    }
  }

  private long refusals() {
    return answers.stream().filter(got -> got.refusal.isPresent()).count();
  }

  @Test
  void fullEngineGetsNoRequestsOfANodeWhileItWantsNone() {
    ask(6);
    fleet.turnsAway(FULL, BACKOFF_MILLIS);
    ask(9);
    assertTrue(fleet.backoffsAt(FULL).timesAsked() >= NODES);
    assertEquals(0, fleet.backoffsAt(FULL).excess(), fleet.callsDuringBackoffs().toString());
  }

  @Test
  void noRequestIsRefusedWhileOtherEnginesHaveRoom() {
    ask(6);
    fleet.turnsAway(FULL, BACKOFF_MILLIS);
    ask(9);
    assertEquals(0, refusals());
  }

  @Test
  void engineIsUsedAsBeforeOnceItsTimeIsOver() {
    ask(6);
    int before = fleet.backoffsAt(FULL).calls();
    fleet.turnsAway(FULL, BACKOFF_MILLIS);
    ask(3);
    fleet.takesAgain(FULL);
    ask(BACKOFF_MILLIS / 1000);
    int from = fleet.backoffsAt(FULL).calls();
    ask(6);
    int after = fleet.backoffsAt(FULL).calls() - from;
    assertTrue(after >= 0.7 * before, after + " calls in 6 s, " + before + " before");
  }

  @Test
  void timeHoldsAlsoIfTheEntryOfTheEngineLapsesMeanwhile() {
    ask(6);
    fleet.turnsAway(FULL, BACKOFF_MILLIS);
    ask(1);
    fleet.listsItselfAgain(FULL, 300);
    ask(8);
    assertEquals(0, fleet.backoffsAt(FULL).excess());
  }

  @Test
  void streamsThatStandStillBringFewQuestionsToAnEngineThatWantsNoCalls() {
    ask(6);
    fleet.standsStill(FULL, BACKOFF_MILLIS);
    fleet.turnsAway(FULL, BACKOFF_MILLIS);
    ask(9);
    assertEquals(0, fleet.backoffsAt(FULL).excess());
  }

  @Test
  void requestIsRefusedAtOnceWhileAllEnginesWantNoneForLongerThanItsCallerWaits() {
    ask(2);
    for (int engine = 0; engine < ENGINES; engine++) {
      fleet.turnsAway(engine, 10_000);
    }
    ask(2);
    Got got = fleet.ask(0, "now");
    Refusal refusal = got.refusal.orElseThrow();
    assertEquals(Reason.NO_ENDPOINT, refusal.reason());
    assertEquals(Verdict.NOT_RUN, refusal.verdict());
  }

  @Test
  void refusedCallerIsNotAskedBackBeforeAnEngineTakesItsRequest() {
    ask(2);
    for (int engine = 0; engine < ENGINES; engine++) {
      fleet.turnsAway(engine, 10_000);
    }
    ask(2);
    long refusedAt = fleet.nowMillis();
    Duration comeBack = fleet.ask(0, "now").refusal.orElseThrow().retryAfter().orElseThrow();
    for (int engine = 0; engine < ENGINES; engine++) {
      fleet.takesAgain(engine);
    }
    fleet.advance((int) comeBack.toMillis());
    Got again = fleet.ask(0, "again");
    fleet.advance(1000);
    assertTrue(again.whole, "asked back after " + comeBack + " at " + refusedAt + " ms");
  }
}
