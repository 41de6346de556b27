package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vaneworks.daemon.entry.SimulatedCluster.Arrival;

/**
 * Checks in random simulations that a crashing request is quarantined. Nodes are disconnected from
 * the store, suspended and restarted, the store has outages and loses answers, and the request is
 * repeated at random nodes.
 */
final class CrashingRequestSimulationTest {
  private static final int NODES = 4;
  private static final int ENGINES = 20;
  private static final int FAULT_STEPS = 30;
  private static final int QUIET_STEPS = 20;
  private static final int MAX_STEP_MILLIS = 900;

  /** A node without faults for this long must know of the crashes that other nodes saw. */
  private static final int SYNCHRONIZATION_MILLIS = 3000;

  private static final int MAX_LATER_ARRIVALS = 3;

  /** One random simulation. */
  private static final class Simulation {
    private final Random random;
    private final SimulatedCluster cluster;
    private final boolean[] disconnected = new boolean[NODES];

    /** Times of faults by node; a fault of the store counts for every node. */
    private final List<List<Long>> faults = new ArrayList<>();

    /** Whether the store is restored from backups during the simulation. */
    private final boolean restoresStore;

    Simulation(long seed, boolean restoresStore) {
      this.restoresStore = restoresStore;
      random = new Random(seed);
      cluster = new SimulatedCluster(NODES, ENGINES, seed);
      for (int node = 0; node < NODES; node++) {
        faults.add(new ArrayList<>());
      }
    }

    void run() {
      for (int step = 0; step < FAULT_STEPS; step++) {
        randomAction();
        advance();
      }
      endFaults();
      for (int step = 0; step < QUIET_STEPS; step++) {
        cluster.sendRequest(random.nextInt(NODES), SimulatedCluster.CRASHING);
        advance();
      }
    }

    private void advance() {
      recordFaults();
      cluster.advance(1 + random.nextInt(MAX_STEP_MILLIS));
      recordFaults();
    }

    /** Ends all faults and waits until every node must know what the others saw. */
    private void endFaults() {
      cluster.store.down = false;
      cluster.store.losesAnswers = false;
      for (int node = 0; node < NODES; node++) {
        setDisconnected(node, false);
      }
      cluster.advance(SYNCHRONIZATION_MILLIS);
    }

    private void backUpOrRestore() {
      switch (random.nextInt(12)) {
        case 0, 1 -> cluster.store.takeBackup();
        case 2 -> cluster.restoreStore();
        default -> {}
      }
    }

    private void randomAction() {
      if (restoresStore) {
        backUpOrRestore();
      }
      int node = random.nextInt(NODES);
      switch (random.nextInt(14)) {
        case 0 -> setDisconnected(node, true);
        case 1, 2 -> setDisconnected(node, false);
        case 3 -> cluster.store.down = true;
        case 4, 5 -> cluster.store.down = false;
        case 6 -> cluster.store.losesAnswers = true;
        case 7 -> cluster.store.losesAnswers = false;
        case 8 -> suspend(node);
        case 9 -> restart(node);
        case 10 -> cluster.sendRequest(node, "letter " + random.nextInt());
        default -> cluster.sendRequest(node, SimulatedCluster.CRASHING);
      }
    }

    private void setDisconnected(int node, boolean value) {
      disconnected[node] = value;
      cluster.setStoreDisconnected(node, value);
    }

    private void suspend(int node) {
      cluster.stepTimeOfDay(node, 500 + random.nextInt(5000));
      faults.get(node).add(cluster.nowMillis());
    }

    private void restart(int node) {
      // A node that can't write to the store would lose the crashes that it saw.
      if (disconnected[node] || cluster.store.down || cluster.store.losesAnswers) {
        return;
      }
      cluster.restartNode(node);
      faults.get(node).add(cluster.nowMillis());
    }

    private void recordFaults() {
      for (int node = 0; node < NODES; node++) {
        if (disconnected[node] || cluster.store.down || cluster.store.losesAnswers) {
          faults.get(node).add(cluster.nowMillis());
        }
      }
    }

    private boolean wasSynchronized(Arrival arrival) {
      return faults.get(arrival.node()).stream()
          .noneMatch(
              at -> at <= arrival.atMillis() && at > arrival.atMillis() - SYNCHRONIZATION_MILLIS);
    }

    /** Returns arrivals after the third crash that came from nodes which had to know of it. */
    List<Arrival> laterArrivals() {
      if (cluster.crashTimes().size() < 3) {
        return List.of();
      }
      long knownAt = cluster.crashTimes().get(2) + SYNCHRONIZATION_MILLIS;
      return cluster.crashingArrivals().stream()
          .filter(arrival -> arrival.atMillis() > knownAt)
          .filter(this::wasSynchronized)
          .toList();
    }
  }

  @Property(tries = 200, seed = "20261203")
  void crashingRequestIsQuarantinedDespiteFaults(@ForAll long seed) {
    assertQuarantined(new Simulation(seed, false));
  }

  @Property(tries = 200, seed = "20261203")
  void crashingRequestIsQuarantinedDespiteRestoresOfTheStore(@ForAll long seed) {
    assertQuarantined(new Simulation(seed, true));
  }

  private static void assertQuarantined(Simulation simulation) {
    simulation.run();
    List<Arrival> later = simulation.laterArrivals();
    assertTrue(
        later.size() <= MAX_LATER_ARRIVALS, later + ", crashes " + simulation.cluster.crashTimes());
  }
}
