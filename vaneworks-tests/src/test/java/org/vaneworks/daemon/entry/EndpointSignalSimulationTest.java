package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vaneworks.tests.Schedules;

/**
 * Checks in random simulations that nodes make no calls to engines during requested backoffs, and
 * send no requests to engines that announced that they leave. Engines reject calls with various
 * backoffs, accept calls again, leave, stall, and expire from the list; nodes restart, are
 * disconnected from the store, are suspended and lose load reports.
 */
final class EndpointSignalSimulationTest {
  private static final int STEPS = 60;
  private static final int MAX_NODES = 20;
  private static final int MAX_ENGINES = 6;
  private static final int MAX_STEP_MILLIS = 600;
  private static final int MAX_BACKOFF_MILLIS = 6000;

  /** More than one if {@code vaneworks.schedules} is a multiple of the number of tries. */
  private static final int SIMULATIONS_PER_TRY =
      Math.max(1, Integer.getInteger("vaneworks.schedules", Schedules.TRIES) / Schedules.TRIES);

  /** One random simulation. */
  private static final class Simulation {
    private final Random random;
    private final int nodes;
    private final int engines;
    private final SimulatedCluster cluster;
    private int sentRequests;

    Simulation(long seed) {
      random = new Random(seed);
      nodes = 1 + random.nextInt(MAX_NODES);
      engines = 1 + random.nextInt(MAX_ENGINES);
      cluster = new SimulatedCluster(nodes, engines, 1 + random.nextInt(3), seed);
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        randomAction();
        sendRequests(1 + random.nextInt(MAX_STEP_MILLIS));
      }
    }

    /** Sends requests to random nodes at a random rate. */
    private void sendRequests(int millis) {
      int intervalMillis = 5 + random.nextInt(60);
      for (int passed = 0; passed < millis; passed += intervalMillis) {
        cluster.sendRequest(random.nextInt(nodes), "letter " + sentRequests++);
        cluster.advance(intervalMillis);
      }
    }

    private void randomAction() {
      int engine = random.nextInt(engines);
      int node = random.nextInt(nodes);
      switch (random.nextInt(16)) {
        case 0, 1, 2 -> cluster.rejectCalls(engine, random.nextInt(MAX_BACKOFF_MILLIS));
        case 3, 4 -> cluster.acceptCalls(engine);
        case 5, 6 -> cluster.stallStreams(engine, random.nextInt(3000));
        case 7 -> cluster.restartNode(node);
        case 8 -> cluster.dropLoadReports = true;
        case 9 -> cluster.dropLoadReports = false;
        case 10 -> cluster.stepTimeOfDay(node, 500 + random.nextInt(5000));
        case 11 -> cluster.setStoreDisconnected(node, true);
        case 12 -> cluster.setStoreDisconnected(node, false);
        case 14 -> cluster.announceLeavingInAnswers(engine, 2000 + random.nextInt(6000));
        case 13 -> cluster.relistEngine(engine, 1 + random.nextInt(2000));
        default -> {}
      }
    }

    int excess() {
      int worst = 0;
      for (int engine = 0; engine < engines; engine++) {
        worst = Math.max(worst, cluster.backoffsAt(engine).excess());
      }
      return worst;
    }

    int arrivalsAfterLeaving() {
      int sum = 0;
      for (int engine = 0; engine < engines; engine++) {
        sum += cluster.arrivalsAfterLeaving(engine);
      }
      return sum;
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void nodesFollowSignalsOfEnginesDespiteFaults(@ForAll long seed) {
    for (int i = 0; i < SIMULATIONS_PER_TRY; i++) {
      assertSignalsFollowed(seed + i);
    }
  }

  /** Guards against a check that holds a restarted node to a signal to its former incarnation. */
  @Test
  void nodeRestartsTwiceWhileAnAnswerIsInTransit() {
    assertSignalsFollowed(-1284984);
  }

  private static void assertSignalsFollowed(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run();
    assertEquals(0, simulation.excess(), "calls too many, seed " + seed);
    assertEquals(0, simulation.arrivalsAfterLeaving(), "requests after leaving, seed " + seed);
  }
}
