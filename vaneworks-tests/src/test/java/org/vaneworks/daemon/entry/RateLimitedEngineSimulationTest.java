package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vaneworks.state.StatedLimit;
import org.vaneworks.tests.Schedules;

/**
 * Checks over random courses that engines get no more than they say: limits begin, change and end,
 * nodes start again, are cut off from the store, are suspended and don't hear of each other.
 */
final class RateLimitedEngineSimulationTest {
  private static final int STEPS = 60;
  private static final int MOST_NODES = 30;
  private static final int MOST_ENGINES = 6;
  private static final int LONGEST_STEP_MILLIS = 600;

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
      EngineArrivals engine = fleet.arrivalsAt(random.nextInt(engines));
      int node = random.nextInt(nodes);
      switch (random.nextInt(12)) {
        case 0, 1 -> engine.limit(StatedLimit.of(random.nextInt(120) / 10.0), fleet.nowMillis());
        case 2 -> engine.limit(StatedLimit.none(), fleet.nowMillis());
        case 3 -> fleet.restartNode(node);
        case 4 -> fleet.reportsAreLost = true;
        case 5, 6 -> fleet.reportsAreLost = false;
        case 7 -> fleet.timeOfDayMoves(node, 500 + random.nextInt(5000));
        case 8 -> fleet.cutFromStore(node, true);
        case 9 -> fleet.cutFromStore(node, false);
        default -> {}
      }
    }

    long excess() {
      long worst = 0;
      for (int engine = 0; engine < engines; engine++) {
        worst = Math.max(worst, fleet.arrivalsAt(engine).excess(fleet.nowMillis()));
      }
      return worst;
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void enginesGetNoMoreThanTheySayWhateverHappensMeanwhile(@ForAll long seed) {
    for (int i = 0; i < COURSES_A_TRY; i++) {
      Course course = new Course(seed + i);
      course.play();
      assertEquals(0, course.excess(), "course " + (seed + i));
    }
  }
}
