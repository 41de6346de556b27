package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.EntryRoute;

/**
 * One random simulation of engines that all live and deliver their streams, but answer status calls
 * and orders late. Their streams stall at times, their entries lapse and reappear, and nodes stall.
 */
final class LateReportSimulation {
  private static final int STEPS = 40;
  private static final int MAX_NODES = 4;
  private static final int MAX_STEP_MILLIS = 400;
  private static final int LAYERS = 80;
  private static final int MIN_CALL_DELAY_MILLIS = 150;
  private static final int MAX_CALL_DELAY_MILLIS = 400;

  /** Callers give up after two seconds without an event. */
  private static final int MAX_STREAM_STALL_MILLIS = 1900;

  private static final int MAX_NODE_STALL_MILLIS = 500;
  private static final int MAX_UNLISTED_MILLIS = 4000;

  /** Longer than it takes nodes to read a change of the list. */
  private static final int LIST_READ_MILLIS = 2000;

  private static final int SETTLE_MILLIS = 26_000;
  private static final int STREAM_TIMEOUT_MILLIS = 20_000;
  private static final int TOKENS = 100;

  /** Ample, so that a budget never forces a request to stay. */
  private static final ForwardingLimits LIMITS =
      new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100, Duration.ZERO);

  private final Random random;
  private final Random callDelays;
  private final boolean late;
  private final int nodes;
  private final int engines;
  private final SimulatedCluster cluster;

  /** When all nodes know again that all engines are listed, in milliseconds. */
  private long listedFrom;

  private final Map<String, SimulatedCaller> callers = new HashMap<>();
  private final List<SimulatedCaller> callersInOrder = new ArrayList<>();

  /**
   * Creates a simulation.
   *
   * @param late whether engines answer calls late at times; the course is the same otherwise
   */
  LateReportSimulation(long seed, boolean late) {
    random = new Random(seed);
    callDelays = new Random(seed);
    this.late = late;
    nodes = 1 + random.nextInt(MAX_NODES);
    cluster = new SimulatedCluster(nodes, seed, SimulationConfiguration.of(1, 15_000), LIMITS);
    int ranges = 1 + random.nextInt(3);
    int replicas = 2 + random.nextInt(2);
    engines = ranges * replicas;
    for (int range = 0; range < ranges; range++) {
      for (int i = 0; i < replicas; i++) {
        cluster.startEngine(LAYERS * range / ranges, LAYERS * (range + 1) / ranges);
      }
    }
    cluster.onAttempt((node, id) -> callers.get(id).beforeAttempt(node, cluster.attemptsOf(id)));
    cluster.advance(2000);
  }

  /** Runs the simulation and returns the problems found. */
  ImmutableList<String> run() {
    for (int step = 0; step < STEPS; step++) {
      randomAction();
      int end = 1 + random.nextInt(MAX_STEP_MILLIS);
      for (int passed = 0; passed < end; passed += 30) {
        sendRequest(random.nextInt(nodes));
        cluster.advance(30);
      }
    }
    cluster.advance(SETTLE_MILLIS);
    List<String> problems = new ArrayList<>();
    for (SimulatedCaller caller : callersInOrder) {
      problems.addAll(caller.problems(cluster.attemptsOf(caller.id())));
      if (caller.hasHead() && !caller.isComplete()) {
        problems.add("lost an answer of a live engine: " + caller);
      }
    }
    problems.addAll(cluster.unreleasedState());
    return ImmutableList.copyOf(problems);
  }

  int requestCount() {
    return callersInOrder.size();
  }

  long refusedCount() {
    return callersInOrder.stream().filter(caller -> caller.outcome().equals("refused")).count();
  }

  /** Returns how many requests had each outcome, and how many attempts were sent. */
  Map<String, Integer> counts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (SimulatedCaller caller : callersInOrder) {
      counts.merge(caller.outcome(), 1, Integer::sum);
      counts.merge("attempts", cluster.attemptsOf(caller.id()).size(), Integer::sum);
    }
    counts.merge("suspicions", cluster.suspicions(), Integer::sum);
    return counts;
  }

  private void randomAction() {
    int engine = random.nextInt(engines);
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> cluster.delayCalls(engine, this::randomCallDelay);
      case 3 -> cluster.delayCalls(engine, () -> 0);
      case 4, 5 -> cluster.stallStreams(engine, random.nextInt(MAX_STREAM_STALL_MILLIS));
      case 6 -> unlist(engine);
      default -> cluster.stallNode(random.nextInt(nodes), random.nextInt(MAX_NODE_STALL_MILLIS));
    }
  }

  /** Lets an engine's entry lapse for a while, unless another one has lapsed. */
  private void unlist(int engine) {
    if (cluster.nowMillis() >= listedFrom) {
      int millis = 1 + random.nextInt(MAX_UNLISTED_MILLIS);
      cluster.relistEngine(engine, millis);
      listedFrom = cluster.nowMillis() + millis + LIST_READ_MILLIS;
    }
  }

  private int randomCallDelay() {
    return !late
        ? 0
        : MIN_CALL_DELAY_MILLIS + callDelays.nextInt(MAX_CALL_DELAY_MILLIS - MIN_CALL_DELAY_MILLIS);
  }

  private void sendRequest(int node) {
    CallKind kind = random.nextInt(4) == 0 ? CallKind.STREAM : CallKind.RESUMABLE_STREAM;
    EntryRoute route = SimulationConfiguration.route(kind, 1 + random.nextInt(2));
    String id = "q" + callersInOrder.size();
    SimulatedRequest request =
        new SimulatedRequest(
            id,
            route.pathPrefix(),
            "letter " + id,
            Duration.ofMillis(STREAM_TIMEOUT_MILLIS),
            new RequestSize(TOKENS, 100));
    SimulatedCaller caller =
        new SimulatedCaller(
            request, route, node, cluster::nowMillis, () -> cluster.stalledMillis(node));
    callers.put(id, caller);
    callersInOrder.add(caller);
    cluster.sendRequest(node, request, caller, caller::onAccepted);
  }
}
