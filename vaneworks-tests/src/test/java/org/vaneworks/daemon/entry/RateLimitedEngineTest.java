package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.StatedLimit;
import org.vaneworks.state.Verdict;
import org.vaneworks.tests.forwarding.Got;

/**
 * Checks that an engine gets no more requests a second, from all nodes together, than it says.
 *
 * <p>The incident behind it. Seen: an engine that began to say in its answers that it takes 3.3
 * requests a second got some nine a second as before, from eight nodes that had all passed such
 * answers on. How it came about: every answer named the limit, and every node chose engines by load
 * alone. Cause: no node read what an engine says of itself on an answer. Proof: by the line that a
 * node writes at the first answer with a limit, the nodes that had it sent 24 requests too many in
 * four seconds, all of them first sends.
 */
final class RateLimitedEngineTest {
  private static final int NODES = 8;
  private static final int ENGINES = 3;
  private static final int LIMITED = 1;
  private static final double LIMIT = 3.3;
  private static final int A_SECOND = 28;

  private SimulatedCluster fleet = new SimulatedCluster(NODES, ENGINES, 7);
  private int nodes = NODES;
  private int asked;
  private final List<Got> answers = new ArrayList<>();

  /** Asks nodes in turn. */
  private void ask(int seconds, int perSecond) {
    for (int i = 0; i < seconds * perSecond; i++) {
      Got got = fleet.ask(asked % nodes, "letter " + asked);
      answers.add(got);
      asked++;
      fleet.advance(1000 / perSecond);
    }
  }

  private void ask(int seconds) {
    ask(seconds, A_SECOND);
  }

  private EngineArrivals limited() {
    return fleet.arrivalsAt(LIMITED);
  }

  private void engineSays(StatedLimit limit) {
    limited().limit(limit, fleet.nowMillis());
  }

  private long refusals() {
    return answers.stream().filter(got -> got.refusal.isPresent()).count();
  }

  @Test
  void engineGetsNoMoreThanItSaysFromAllNodesTogether() {
    ask(8);
    engineSays(StatedLimit.of(LIMIT));
    ask(12);
    assertEquals(0, limited().excess(fleet.nowMillis()));
  }

  @Test
  void secondEngineThatNamesItsLimitLaterGetsNoMoreEither() {
    engineSays(StatedLimit.of(LIMIT));
    ask(12);
    fleet.arrivalsAt(2).limit(StatedLimit.of(4.1), fleet.nowMillis());
    ask(12);
    assertEquals(0, limited().excess(fleet.nowMillis()));
    assertEquals(0, fleet.arrivalsAt(2).excess(fleet.nowMillis()));
  }

  @Test
  void engineIsStillUsedWhileOthersHaveRoom() {
    fleet = new SimulatedCluster(NODES, ENGINES, ENGINES, 7);
    engineSays(StatedLimit.of(LIMIT));
    ask(5);
    long from = fleet.nowMillis();
    ask(20);
    long got = limited().between(from, fleet.nowMillis());
    assertTrue(got >= 20 && got <= LIMIT * 20, got + " requests in 20 s");
  }

  @Test
  void noRequestIsRefusedWhileOtherEnginesHaveRoom() {
    ask(2);
    engineSays(StatedLimit.of(LIMIT));
    ask(20);
    assertEquals(0, refusals());
  }

  @Test
  void allNodesUseTheEngineAsBeforeOnceItNamesNoLimit() {
    ask(10);
    long usual = limited().between(fleet.nowMillis() - 5000, fleet.nowMillis());
    engineSays(StatedLimit.of(LIMIT));
    ask(10);
    engineSays(StatedLimit.none());
    ask(3);
    long from = fleet.nowMillis();
    ask(5);
    long after = limited().between(from, fleet.nowMillis());
    assertTrue(after >= 0.7 * usual, after + " requests in 5 s, " + usual + " before");
  }

  @Test
  void boundHoldsAlsoWhereNodesDoNotHearOfEachOther() {
    fleet.reportsAreLost = true;
    ask(5);
    engineSays(StatedLimit.of(LIMIT));
    ask(60);
    assertEquals(0, limited().excess(fleet.nowMillis()));
    assertEquals(0, refusals());
  }

  @Test
  void boundHoldsWhileNodesStartAgain() {
    engineSays(StatedLimit.of(LIMIT));
    ask(5);
    for (int node = 0; node < NODES; node++) {
      fleet.restartNode(node);
      ask(3);
    }
    assertEquals(0, limited().excess(fleet.nowMillis()));
  }

  /** Guards against a limit that is forgotten with the entry of the engine that named it. */
  @Test
  void boundHoldsIfTheEntryOfTheEngineLapsesAndComesBack() {
    fleet.reportsAreLost = true;
    ask(3);
    engineSays(StatedLimit.of(0.5));
    ask(6);
    for (int i = 0; i < 6; i++) {
      fleet.listsItselfAgain(LIMITED, 300);
      ask(1);
    }
    assertEquals(0, limited().excess(fleet.nowMillis()));
  }

  @Test
  void boundHoldsAtEighteenNodesInThreeDataCentres() {
    nodes = 18;
    fleet = new SimulatedCluster(nodes, 6, 3, 7);
    ask(5, 125);
    engineSays(StatedLimit.of(2));
    ask(30, 125);
    assertEquals(0, limited().excess(fleet.nowMillis()));
    long got = limited().between(fleet.nowMillis() - 20_000, fleet.nowMillis());
    assertTrue(got >= 0.5 * 2 * 20 && got <= 2 * 20, got + " requests in 20 s");
  }

  @Test
  void limitIsKeptByNodesThatAreManyTimesMoreThanItAllows() {
    nodes = 120;
    fleet = new SimulatedCluster(nodes, 4, 7);
    ask(5, 250);
    engineSays(StatedLimit.of(1.5));
    ask(30, 250);
    assertEquals(0, limited().excess(fleet.nowMillis()));
    long got = limited().between(fleet.nowMillis() - 20_000, fleet.nowMillis());
    assertTrue(got >= 0.5 * 1.5 * 20 && got <= 1.5 * 20, got + " requests in 20 s");
  }

  @Test
  void engineThatTakesNothingIsAskedNowAndThen() {
    ask(3);
    engineSays(StatedLimit.of(0));
    ask(20);
    assertEquals(0, limited().excess(fleet.nowMillis()));
    engineSays(StatedLimit.none());
    ask(15);
    long got = limited().between(fleet.nowMillis() - 3000, fleet.nowMillis());
    assertTrue(got > A_SECOND / 2, got + " requests in 3 s");
  }

  @Test
  void onlyEngineIsGivenNearlyAllThatItTakes() {
    fleet = new SimulatedCluster(NODES, 1, 7);
    ask(3);
    fleet.arrivalsAt(0).limit(StatedLimit.of(LIMIT), fleet.nowMillis());
    ask(40);
    assertEquals(0, fleet.arrivalsAt(0).excess(fleet.nowMillis()));
    long got = fleet.arrivalsAt(0).between(fleet.nowMillis() - 20_000, fleet.nowMillis());
    assertTrue(got >= 0.8 * LIMIT * 20, got + " requests in 20 s");
  }

  @Test
  void nodeWithoutAShareOfTheOnlyEngineRefusesAtOnceAsNotRun() {
    fleet = new SimulatedCluster(NODES, 1, 7);
    ask(3);
    // One node has all of it.
    fleet.arrivalsAt(0).limit(StatedLimit.of(0.9), fleet.nowMillis());
    ask(3);
    int refused = 0;
    for (int node = 0; node < NODES; node++) {
      Optional<Refusal> refusal = fleet.ask(node, "now").refusal;
      refused += refusal.isPresent() ? 1 : 0;
      refusal.ifPresent(
          given -> {
            assertEquals(Reason.NO_ENDPOINT, given.reason());
            assertEquals(Verdict.NOT_RUN, given.verdict());
            assertTrue(given.retryAfter().isPresent());
          });
    }
    assertTrue(refused >= NODES - 1, refused + " nodes refused");
  }
}
