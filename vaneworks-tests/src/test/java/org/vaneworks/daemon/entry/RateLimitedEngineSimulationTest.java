package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.tests.Schedules;

/**
 * Checks in random simulations that rate limits of engines hold. Limits are set, changed and
 * removed; nodes restart, are disconnected from the store, are suspended and lose load reports.
 */
final class RateLimitedEngineSimulationTest {
  private static final int STEPS = 60;
  private static final int MAX_NODES = 30;
  private static final int MAX_ENGINES = 6;
  private static final int MAX_STEP_MILLIS = 600;

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
      EngineArrivals engine = cluster.arrivalsAt(random.nextInt(engines));
      int node = random.nextInt(nodes);
      switch (random.nextInt(12)) {
        case 0, 1 ->
            engine.advertise(
                AdvertisedRateLimit.of(random.nextInt(120) / 10.0), cluster.nowMillis());
        case 2 -> engine.advertise(AdvertisedRateLimit.none(), cluster.nowMillis());
        case 3 -> cluster.restartNode(node);
        case 4 -> cluster.dropLoadReports = true;
        case 5, 6 -> cluster.dropLoadReports = false;
        case 7 -> cluster.stepTimeOfDay(node, 500 + random.nextInt(5000));
        case 8 -> cluster.setStoreDisconnected(node, true);
        case 9 -> cluster.setStoreDisconnected(node, false);
        default -> {}
      }
    }

    long excess() {
      long worst = 0;
      for (int engine = 0; engine < engines; engine++) {
        worst = Math.max(worst, cluster.arrivalsAt(engine).excess(cluster.nowMillis()));
      }
      return worst;
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void rateLimitsHoldDespiteFaults(@ForAll long seed) {
    for (int i = 0; i < SIMULATIONS_PER_TRY; i++) {
      Simulation simulation = new Simulation(seed + i);
      simulation.run();
      assertEquals(0, simulation.excess(), "seed " + (seed + i));
    }
  }
}
