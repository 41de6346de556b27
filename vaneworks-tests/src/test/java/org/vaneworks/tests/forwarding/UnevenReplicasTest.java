package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how boxes share the load between replicas of a plain service, against the rule before,
 * which chose the replica with the fewest requests in flight. Ten replicas serve 120 requests per
 * second each; four of them are 12 times slower in most tests, and serve 10.
 */
final class UnevenReplicasTest {
  private static final int REPLICAS = 10;
  private static final int SLOW = 4;
  private static final double FULL_RATE = 120;
  private static final double SLOW_RATE = FULL_RATE / 12;
  private static final double CAPACITY = 6 * FULL_RATE + SLOW * SLOW_RATE;
  private static final int SECONDS = 30;

  private static ReplicaSimulation simulation(int boxes, int replicas, long seed) {
    return new ReplicaSimulation(boxes, replicas, ReplicaSimulation::byCompletionTime, seed);
  }

  private static ReplicaSimulation simulationBefore(int boxes, int replicas, long seed) {
    ReplicaSimulation simulation =
        new ReplicaSimulation(boxes, replicas, ReplicaSimulation::byRequestsInFlight, seed);
    simulation.avoidsForFixedTime = true;
    return simulation;
  }

  private static ReplicaSimulation withSlowReplicas(ReplicaSimulation simulation) {
    setSlowness(simulation, 12);
    return simulation;
  }

  private static void setSlowness(ReplicaSimulation simulation, double factor) {
    for (int i = 0; i < SLOW; i++) {
      simulation.replicas.get(i).factor = factor;
    }
  }

  private static void runAndMeasure(ReplicaSimulation simulation, double requestsPerSecond) {
    simulation.run(Duration.ofSeconds(10), requestsPerSecond);
    simulation.clearCounts();
    simulation.run(Duration.ofSeconds(SECONDS), requestsPerSecond);
  }

  private static double refusedShare(ReplicaSimulation simulation) {
    return (double) simulation.refusals() / simulation.arrivals();
  }

  // Guards against a worse choice among equal replicas because their measured service times differ
  // by chance; times are exponentially distributed. 5 % is the difference between seeds.
  @ParameterizedTest
  @CsvSource({"1,3", "1,10", "8,3", "8,10", "64,3", "64,10"})
  void equalReplicasAnswerAsFastAsBefore(int boxes, int replicas) {
    double now = 0;
    double before = 0;
    for (int seed = 0; seed < 4; seed++) {
      ReplicaSimulation simulation = simulation(boxes, replicas, seed);
      runAndMeasure(simulation, 0.8 * replicas * FULL_RATE);
      now += simulation.meanMillis();
      double fair = (double) simulation.arrivals() / replicas;
      for (ReplicaSimulation.Replica replica : simulation.replicas) {
        assertEquals(fair, replica.arrivals, 0.1 * fair, "requests of a replica");
      }
      ReplicaSimulation simulationBefore = simulationBefore(boxes, replicas, seed);
      runAndMeasure(simulationBefore, 0.8 * replicas * FULL_RATE);
      before += simulationBefore.meanMillis();
    }
    assertTrue(now <= 1.05 * before, now + " ms, before " + before);
  }

  // Guards against slow replicas that get as many requests as they hold, and refuse the others. The
  // bounds are the goals: less than 5 % refused, and at most 1.5 times the fair load.
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 64})
  void slowReplicasGetNoMoreThanTheyCanServe(int boxes) {
    ReplicaSimulation simulation = withSlowReplicas(simulation(boxes, REPLICAS, 1));
    ReplicaSimulation before = withSlowReplicas(simulationBefore(boxes, REPLICAS, 1));
    runAndMeasure(simulation, 0.8 * CAPACITY);
    runAndMeasure(before, 0.8 * CAPACITY);
    assertTrue(refusedShare(simulation) < 0.05, "refused " + refusedShare(simulation));
    for (int i = 0; i < SLOW; i++) {
      int arrivals = simulation.replicas.get(i).arrivals;
      assertTrue(arrivals > 0, "a slow replica is not measured any more");
      assertTrue(arrivals <= 1.5 * SLOW_RATE * SECONDS, "requests of a slow replica: " + arrivals);
    }
    assertTrue(
        simulation.meanMillis() < before.meanMillis(),
        simulation.meanMillis() + " ms, before " + before.meanMillis());
  }

  // Guards against slow replicas that stay idle while the others refuse requests. The load exceeds
  // what the others serve; several boxes have no exact view, so half of the slow ones' capacity is
  // required.
  @ParameterizedTest
  @ValueSource(ints = {8, 64})
  void slowReplicasServeWhatExceedsTheCapacityOfOthers(int boxes) {
    ReplicaSimulation simulation = withSlowReplicas(simulation(boxes, REPLICAS, 1));
    runAndMeasure(simulation, 0.96 * CAPACITY);
    for (int i = 0; i < SLOW; i++) {
      int served = simulation.replicas.get(i).served;
      assertTrue(served >= 0.5 * SLOW_RATE * SECONDS, "served by a slow replica: " + served);
    }
  }

  // Guards against a replica that counts as slow for ever, as it gets no requests that show its
  // recovery. With 64 boxes each has to notice it with a few requests per second.
  @ParameterizedTest
  @CsvSource({"1,0.8", "8,0.8", "64,0.6"})
  void recoveredReplicaGetsItsShareAgain(int boxes, double share) {
    ReplicaSimulation simulation = withSlowReplicas(simulation(boxes, REPLICAS, 1));
    double requestsPerSecond = 0.6 * CAPACITY;
    simulation.run(Duration.ofSeconds(30), requestsPerSecond);
    setSlowness(simulation, 1);
    simulation.run(Duration.ofSeconds(20), requestsPerSecond);
    simulation.clearCounts();
    simulation.run(Duration.ofSeconds(20), requestsPerSecond);
    int recovered = IntStream.range(0, SLOW).map(i -> simulation.replicas.get(i).arrivals).sum();
    double fair = (double) simulation.arrivals() * SLOW / REPLICAS;
    assertTrue(recovered >= share * fair, recovered + " requests, fair " + fair);
  }

  // Guards against a replica that refuses on and is asked by each box five times per second. At 64
  // boxes each sends few requests within a backoff, so that the share is higher.
  @ParameterizedTest
  @CsvSource({"1,0.01", "8,0.02", "64,0.07"})
  void replicaThatRefusesOnIsRarelyAsked(int boxes, double share) {
    ReplicaSimulation simulation = simulation(boxes, REPLICAS, 1);
    ReplicaSimulation before = simulationBefore(boxes, REPLICAS, 1);
    simulation.replicas.get(0).refuses = true;
    before.replicas.get(0).refuses = true;
    runAndMeasure(simulation, 700);
    runAndMeasure(before, 700);
    assertEquals(0, simulation.failed);
    assertTrue(refusedShare(simulation) < share, "refused " + refusedShare(simulation));
    assertTrue(
        refusedShare(simulation) < 0.6 * refusedShare(before),
        refusedShare(simulation) + ", before " + refusedShare(before));
  }

  // Guards against replicas that are avoided in turn because they were full for a moment: the load
  // is 60 % of the capacity, but the rest would be overloaded.
  @Test
  void fullReplicasRecoverAfterAnOverload() {
    ReplicaSimulation simulation = simulation(1, REPLICAS, 1);
    simulation.run(Duration.ofSeconds(5), 1.5 * REPLICAS * FULL_RATE);
    simulation.run(Duration.ofSeconds(5), 0.6 * REPLICAS * FULL_RATE);
    simulation.clearCounts();
    simulation.run(Duration.ofSeconds(10), 0.6 * REPLICAS * FULL_RATE);
    assertEquals(0, simulation.refusals());
  }

  // Guards against boxes that all choose the replica that is free according to the latest reports.
  // Each box sends one request; others have five. Before, all boxes chose the free replica.
  @ParameterizedTest
  @CsvSource({"8,3", "8,10", "64,3", "64,10"})
  void boxesWithTheSameViewDoNotRushOneReplica(int boxes, int replicas) {
    double arrivals = 0;
    int courses = 20;
    for (int seed = 0; seed < courses; seed++) {
      ReplicaSimulation simulation = simulation(boxes, replicas, seed);
      simulation.preload(1, 5);
      simulation.learnAndSendAtOnce();
      arrivals += (double) simulation.replicas.get(0).arrivals / courses;
    }
    double even = (5.0 * (replicas - 1) + boxes) / replicas;
    assertTrue(arrivals <= 2 * even, arrivals + " requests, even " + even);
  }
}
