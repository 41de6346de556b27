package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vaneworks.tests.Schedules;

/**
 * Checks over random courses that engines get no calls of nodes that they asked for none, and no
 * requests of nodes that they told that they leave: engines turn calls away for times that differ,
 * take them again, leave, stand still, and lapse from the list; nodes start again, are cut off from
 * the store, are suspended and don't hear of each other.
 */
final class EndpointSignalSimulationTest {
  private static final int STEPS = 60;
  private static final int MOST_NODES = 20;
  private static final int MOST_ENGINES = 6;
  private static final int LONGEST_STEP_MILLIS = 600;
  private static final int LONGEST_BACKOFF_MILLIS = 6000;

  /** More of them are played by hand. */
  private static final int COURSES_A_TRY =
      Math.max(1, Integer.getInteger("vaneworks.schedules", Schedules.TRIES) / Schedules.TRIES);

  /** One random course. */
  private static final class Course {
    private final Random random;
    private final int nodes;
    private final int engines;
    private final SimulatedCluster fleet;
    private int asked;

    Course(long seed) {
      random = new Random(seed);
      nodes = 1 + random.nextInt(MOST_NODES);
      engines = 1 + random.nextInt(MOST_ENGINES);
      fleet = new SimulatedCluster(nodes, engines, 1 + random.nextInt(3), seed);
    }

    void play() {
      for (int step = 0; step < STEPS; step++) {
        act();
        ask(1 + random.nextInt(LONGEST_STEP_MILLIS));
      }
    }

    /** Asks nodes as often as the course likes. */
    private void ask(int millis) {
      int pause = 5 + random.nextInt(60);
      for (int passed = 0; passed < millis; passed += pause) {
        fleet.ask(random.nextInt(nodes), "letter " + asked++);
        fleet.advance(pause);
      }
    }

    private void act() {
      int engine = random.nextInt(engines);
      int node = random.nextInt(nodes);
      switch (random.nextInt(16)) {
        case 0, 1, 2 -> fleet.turnsAway(engine, random.nextInt(LONGEST_BACKOFF_MILLIS));
        case 3, 4 -> fleet.takesAgain(engine);
        case 5, 6 -> fleet.standsStill(engine, random.nextInt(3000));
        case 7 -> fleet.restartNode(node);
        case 8 -> fleet.reportsAreLost = true;
        case 9 -> fleet.reportsAreLost = false;
        case 10 -> fleet.timeOfDayMoves(node, 500 + random.nextInt(5000));
        case 11 -> fleet.cutFromStore(node, true);
        case 12 -> fleet.cutFromStore(node, false);
        case 14 -> fleet.leaves(engine, 2000 + random.nextInt(6000));
        case 13 -> fleet.listsItselfAgain(engine, 1 + random.nextInt(2000));
        default -> {}
      }
    }

    int excess() {
      int worst = 0;
      for (int engine = 0; engine < engines; engine++) {
        worst = Math.max(worst, fleet.backoffsAt(engine).excess());
      }
      return worst;
    }

    int arrivalsAfterLeaving() {
      int sum = 0;
      for (int engine = 0; engine < engines; engine++) {
        sum += fleet.arrivalsAfterLeaving(engine);
      }
      return sum;
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void whatEnginesSayOfThemselvesIsHeededWhateverHappensMeanwhile(@ForAll long seed) {
    for (int i = 0; i < COURSES_A_TRY; i++) {
      assertHeeded(seed + i);
    }
  }

  /** Guards against a node that starts again and is judged by what its former run was told. */
  @Test
  void nodeThatStartsAgainTwiceWhileAnAnswerIsOnItsWay() {
    assertHeeded(-1284984);
  }

  private static void assertHeeded(long seed) {
    Course course = new Course(seed);
    course.play();
    assertEquals(0, course.excess(), "calls too many, course " + seed);
    assertEquals(0, course.arrivalsAfterLeaving(), "requests after leaving, course " + seed);
  }
}
