package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vaneworks.daemon.entry.SimulatedCluster.Arrival;

/**
 * Checks over random courses that a crashing request is held back: nodes are cut off from the
 * store, suspended and started anew, the store goes away and loses answers, meanwhile the request
 * comes again at any node.
 */
final class CrashingRequestSimulationTest {
  private static final int NODES = 4;
  private static final int ENGINES = 20;
  private static final int TROUBLED_STEPS = 30;
  private static final int CALM_STEPS = 20;
  private static final int LONGEST_STEP_MILLIS = 900;

  /** A node that has had no trouble for so long has to know what the others saw. */
  private static final int IN_TOUCH_AFTER_MILLIS = 3000;

  private static final int MOST_LATER = 3;

  /** One random course. */
  private static final class Course {
    private final Random random;
    private final SimulatedCluster fleet;
    private final boolean[] cut = new boolean[NODES];

    /** Times at which a node was in trouble, or the store was, which is trouble for all. */
    private final List<List<Long>> troubles = new ArrayList<>();

    /** Whether the store comes back from older copies meanwhile. */
    private final boolean forgetful;

    Course(long seed, boolean forgetful) {
      this.forgetful = forgetful;
      random = new Random(seed);
      fleet = new SimulatedCluster(NODES, ENGINES, seed);
      for (int node = 0; node < NODES; node++) {
        troubles.add(new ArrayList<>());
      }
    }

    void play() {
      for (int step = 0; step < TROUBLED_STEPS; step++) {
        act();
        advance();
      }
      calm();
      for (int step = 0; step < CALM_STEPS; step++) {
        fleet.ask(random.nextInt(NODES), SimulatedCluster.CRASHING);
        advance();
      }
    }

    private void advance() {
      noteTroubles();
      fleet.advance(1 + random.nextInt(LONGEST_STEP_MILLIS));
      noteTroubles();
    }

    /** Ends all troubles and waits until every node has to know what the others saw. */
    private void calm() {
      fleet.store.down = false;
      fleet.store.losesAnswers = false;
      for (int node = 0; node < NODES; node++) {
        cut(node, false);
      }
      fleet.advance(IN_TOUCH_AFTER_MILLIS);
    }

    private void forget() {
      switch (random.nextInt(12)) {
        case 0, 1 -> fleet.store.takeCopy();
        case 2 -> fleet.storeComesBack();
        default -> {}
      }
    }

    private void act() {
      if (forgetful) {
        forget();
      }
      int node = random.nextInt(NODES);
      switch (random.nextInt(14)) {
        case 0 -> cut(node, true);
        case 1, 2 -> cut(node, false);
        case 3 -> fleet.store.down = true;
        case 4, 5 -> fleet.store.down = false;
        case 6 -> fleet.store.losesAnswers = true;
        case 7 -> fleet.store.losesAnswers = false;
        case 8 -> suspend(node);
        case 9 -> restart(node);
        case 10 -> fleet.ask(node, "letter " + random.nextInt());
        default -> fleet.ask(node, SimulatedCluster.CRASHING);
      }
    }

    private void cut(int node, boolean value) {
      cut[node] = value;
      fleet.cutFromStore(node, value);
    }

    private void suspend(int node) {
      fleet.timeOfDayMoves(node, 500 + random.nextInt(5000));
      troubles.get(node).add(fleet.nowMillis());
    }

    private void restart(int node) {
      // A node that could not tell what it saw takes it along.
      if (cut[node] || fleet.store.down || fleet.store.losesAnswers) {
        return;
      }
      fleet.restartNode(node);
      troubles.get(node).add(fleet.nowMillis());
    }

    private void noteTroubles() {
      for (int node = 0; node < NODES; node++) {
        if (cut[node] || fleet.store.down || fleet.store.losesAnswers) {
          troubles.get(node).add(fleet.nowMillis());
        }
      }
    }

    private boolean inTouch(Arrival arrival) {
      return troubles.get(arrival.node()).stream()
          .noneMatch(
              at -> at <= arrival.atMillis() && at > arrival.atMillis() - IN_TOUCH_AFTER_MILLIS);
    }

    /** Returns what reached engines from nodes in touch after three had ended. */
    List<Arrival> later() {
      if (fleet.ends().size() < 3) {
        return List.of();
      }
      long known = fleet.ends().get(2) + IN_TOUCH_AFTER_MILLIS;
      return fleet.crashingArrivals().stream()
          .filter(arrival -> arrival.atMillis() > known)
          .filter(this::inTouch)
          .toList();
    }
  }

  @Property(tries = 200, seed = "20261203")
  void crashingRequestIsHeldBackWhateverHappensMeanwhile(@ForAll long seed) {
    assertHeldBack(new Course(seed, false));
  }

  @Property(tries = 200, seed = "20261203")
  void sameBeforeAStoreThatComesBackFromOlderCopies(@ForAll long seed) {
    assertHeldBack(new Course(seed, true));
  }

  private static void assertHeldBack(Course course) {
    course.play();
    List<Arrival> later = course.later();
    assertTrue(later.size() <= MOST_LATER, later + ", ends " + course.fleet.ends());
  }
}
