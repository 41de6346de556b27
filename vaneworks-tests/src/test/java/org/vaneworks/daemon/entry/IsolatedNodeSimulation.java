package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.EntryRoute;

/**
 * One random simulation of nodes of which some are cut off from all endpoints for a while. Callers
 * send requests to all nodes alike and do not retry.
 */
final class IsolatedNodeSimulation {
  /** From the start of a cut until callers of the nodes that are cut off must be served. */
  private static final int CONTACT_MILLIS = 3000;

  private static final int CUT_MILLIS = 9000;
  private static final int STEP_MILLIS = 10;
  private static final int SETTLE_MILLIS = 26_000;
  private static final int SMALL_FLEET_REQUESTS_PER_SECOND = 50;
  private static final int MAX_DATA_CENTRES = 6;
  private static final int MAX_NODES = 120;
  private static final int MAX_ENDPOINTS = 60;
  private static final double RESERVE_PER_NODE = 15;
  private static final int OTHER_FAULT_ONE_IN = 100;
  private static final int CRASH_ONE_IN = 4;
  private static final int CRASH_DOWN_MILLIS = 800;
  private static final int MAX_STALL_MILLIS = 300;
  private static final int MAX_ENGINE_PAUSE_MILLIS = 1500;

  /** The fraction of the other callers' success rate that callers of isolated nodes must have. */
  private static final double MIN_RELATIVE_SUCCESS = 2 / 3.0;

  private static final int TOLERATED_FAILURES = 10;
  private static final double TOLERATED_FAILURE_FRACTION = 1 / 50.0;

  /** Mean times that a request is forwarded: the peer that serves it, and as many that can't. */
  private static final double MAX_MEAN_HOPS = 2;

  /** Maximum time until a request is refused that no node can serve, detection aside. */
  private static final int MAX_REFUSAL_MILLIS = 100;

  /**
   * The size of a fleet and its load.
   *
   * @param endpoints number of engines; there are two thirds as many replicas of the plain service
   */
  record FleetSize(int nodes, int dataCentres, int endpoints, int requestsPerSecond) {
    private int replicas() {
      return endpoints * 2 / 3;
    }

    /** Returns the nodes of the first data centres. */
    ImmutableSet<Integer> nodesOf(int firstDataCentres) {
      return IntStream.range(0, nodes)
          .filter(node -> node % dataCentres < firstDataCentres)
          .boxed()
          .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns a random part of the nodes. */
    ImmutableSet<Integer> anyNodes(int count, Random random) {
      return random
          .ints(0, nodes)
          .distinct()
          .limit(count)
          .boxed()
          .collect(ImmutableSet.toImmutableSet());
    }
  }

  private final Random random;
  private final FleetSize size;
  private final int nodes;
  private final ImmutableSet<Integer> isolated;
  private final EndpointCut cut;
  private final boolean otherFaults;
  private final SimulatedCluster cluster;
  private final Map<String, SimulatedCaller> callers = new HashMap<>();
  private final List<SimulatedCaller> duringCut = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private boolean cutNow;
  private boolean enginesCrash;
  private final ImmutableList<EntryRoute> routes =
      ImmutableList.of(
          SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 2),
          SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 2),
          SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 3),
          SimulationConfiguration.route(CallKind.UNSAFE, 1),
          SimulationConfiguration.route(CallKind.SAFE, 2));

  /**
   * Creates a simulation with a random way of cutting off a random part of the nodes, in which
   * nodes also restart and stall, and engines pause.
   */
  static IsolatedNodeSimulation withOtherFaults(long seed) {
    EndpointCut[] cuts = EndpointCut.values();
    return new IsolatedNodeSimulation(
        seed, cuts[1 + (int) Math.floorMod(seed, cuts.length - 1)], true);
  }

  /**
   * Creates a simulation like {@link #withOtherFaults} in which responses have neither a length nor
   * chunks, and engines also crash: to a node that is cut off each engine looks as if it had ended.
   */
  static IsolatedNodeSimulation withUndelimitedResponses(long seed, EndpointCut cut) {
    IsolatedNodeSimulation simulation = new IsolatedNodeSimulation(seed, cut, true);
    simulation.enginesCrash = true;
    simulation.cluster.leaveResponsesUndelimited();
    return simulation;
  }

  /**
   * Creates a simulation of a fleet of random size in which whole data centres, or a random part of
   * the nodes, are cut off in a random way, nodes also restart and stall, and engines pause.
   */
  static IsolatedNodeSimulation ofRandomFleet(long seed) {
    Random random = new Random(seed);
    int dataCentres = 2 + random.nextInt(MAX_DATA_CENTRES - 1);
    int nodes = dataCentres * (1 + random.nextInt(MAX_NODES / dataCentres));
    FleetSize size =
        new FleetSize(
            nodes,
            dataCentres,
            10 + random.nextInt(MAX_ENDPOINTS),
            (2 + random.nextInt(4)) * nodes);
    EndpointCut[] cuts = EndpointCut.values();
    EndpointCut cut = cuts[1 + random.nextInt(cuts.length - 1)];
    ImmutableSet<Integer> isolated =
        random.nextBoolean()
            ? size.nodesOf(1 + random.nextInt(dataCentres - 1))
            : size.anyNodes(1 + random.nextInt(nodes - 1), random);
    return new IsolatedNodeSimulation(random, seed, cut, true, size, isolated);
  }

  /** Creates a simulation in which a random part of the nodes, but not all, is cut off. */
  IsolatedNodeSimulation(long seed, EndpointCut cut) {
    this(seed, cut, false);
  }

  /** Creates a simulation in which the given nodes are cut off, and which has no other faults. */
  IsolatedNodeSimulation(
      long seed, EndpointCut cut, FleetSize size, ImmutableSet<Integer> isolated) {
    this(new Random(seed), seed, cut, false, size, isolated);
  }

  private IsolatedNodeSimulation(long seed, EndpointCut cut, boolean otherFaults) {
    this(new Random(seed), seed, cut, otherFaults);
  }

  private IsolatedNodeSimulation(Random random, long seed, EndpointCut cut, boolean otherFaults) {
    this(random, seed, cut, otherFaults, smallFleet(2 + random.nextInt(7)));
  }

  private IsolatedNodeSimulation(
      Random random, long seed, EndpointCut cut, boolean otherFaults, FleetSize size) {
    this(
        random,
        seed,
        cut,
        otherFaults,
        size,
        size.anyNodes(1 + random.nextInt(size.nodes() - 1), random));
  }

  private IsolatedNodeSimulation(
      Random random,
      long seed,
      EndpointCut cut,
      boolean otherFaults,
      FleetSize size,
      ImmutableSet<Integer> isolated) {
    this.cut = cut;
    this.otherFaults = otherFaults;
    this.random = random;
    this.size = size;
    this.isolated = isolated;
    nodes = size.nodes();
    ForwardingLimits limits =
        new ForwardingLimits(
            Duration.ofMillis(4750),
            0.2,
            nodes * RESERVE_PER_NODE / RetryBudgetChecker.RESERVE_FRACTION,
            Duration.ZERO);
    cluster =
        new SimulatedCluster(
            nodes, size.dataCentres(), seed, SimulationConfiguration.of(1, 15_000), limits);
    for (int i = 0; i < size.endpoints(); i++) {
      cluster.startEngine(0, 80);
    }
    for (int i = 0; i < size.replicas(); i++) {
      cluster.startReplica();
    }
    cluster.onAttempt(this::beforeAttempt);
    cluster.advance(2000);
  }

  private static FleetSize smallFleet(int nodes) {
    return new FleetSize(nodes, 3, 6, SMALL_FLEET_REQUESTS_PER_SECOND);
  }

  private void beforeAttempt(int node, String id) {
    SimulatedCaller caller = callers.get(id);
    if (caller != null) {
      caller.beforeAttempt(node, cluster.attemptsOf(id));
    }
  }

  /** Runs the simulation; returns the problems found. */
  ImmutableList<String> run() {
    sendFor(2000, new ArrayList<>());
    isolated.forEach(node -> cluster.cutFromEndpoints(node, cut));
    cutNow = true;
    sendFor(CONTACT_MILLIS, new ArrayList<>());
    sendFor(CUT_MILLIS - CONTACT_MILLIS, duringCut);
    isolated.forEach(node -> cluster.cutFromEndpoints(node, EndpointCut.NONE));
    cutNow = false;
    sendFor(1000, new ArrayList<>());
    List<SimulatedCaller> afterwards = new ArrayList<>();
    sendFor(2000, afterwards);
    cluster.advance(SETTLE_MILLIS);
    checkService(duringCut, "during the cut");
    checkHops();
    checkService(afterwards, "after the cut");
    callers.values().forEach(each -> problems.addAll(each.problems(cluster.attemptsOf(each.id()))));
    problems.addAll(cluster.unreleasedState());
    return ImmutableList.copyOf(problems);
  }

  private void sendFor(int millis, List<SimulatedCaller> sent) {
    for (int i = 0; i < millis / STEP_MILLIS; i++) {
      for (int requests = requestsInStep(i); requests > 0; requests--) {
        sent.add(send());
      }
      if (otherFaults && random.nextInt(OTHER_FAULT_ONE_IN) == 0) {
        injectOtherFault();
      }
      cluster.advance(STEP_MILLIS);
    }
  }

  /** Returns how many requests are sent in one step; at random if that is less than one. */
  private int requestsInStep(int step) {
    int stepsPerSecond = 1000 / STEP_MILLIS;
    int rate = size.requestsPerSecond();
    if (rate < stepsPerSecond) {
      return random.nextInt(stepsPerSecond / rate) == 0 ? 1 : 0;
    }
    return (step + 1) * rate / stepsPerSecond - step * rate / stepsPerSecond;
  }

  private void injectOtherFault() {
    int node = random.nextInt(nodes);
    if (enginesCrash && random.nextInt(CRASH_ONE_IN) == 0) {
      cluster.restartEngine(random.nextInt(size.endpoints()), CRASH_DOWN_MILLIS);
      return;
    }
    switch (random.nextInt(4)) {
      case 0 -> restart(node);
      case 1 -> cluster.stallNode(node, random.nextInt(MAX_STALL_MILLIS));
      default ->
          cluster.pauseEngine(
              random.nextInt(size.endpoints()), random.nextInt(MAX_ENGINE_PAUSE_MILLIS));
    }
  }

  /** Restarts a node, which ends the connections of its callers; a cut goes on. */
  private void restart(int node) {
    callers.values().stream()
        .filter(caller -> caller.node() == node)
        .forEach(SimulatedCaller::onNodeStopped);
    cluster.restartNode(node);
    if (cutNow && isolated.contains(node)) {
      cluster.cutFromEndpoints(node, cut);
    }
  }

  private SimulatedCaller send() {
    EntryRoute route = routes.get(random.nextInt(routes.size()));
    int node = random.nextInt(nodes);
    SimulatedRequest request =
        new SimulatedRequest(
            "r" + callers.size(), route.pathPrefix(), "", route.timeout(), new RequestSize(80, 20));
    SimulatedCaller caller =
        new SimulatedCaller(
            request, route, node, cluster::nowMillis, () -> cluster.stalledMillis(node));
    callers.put(request.id(), caller);
    cluster.sendRequest(node, request, caller, caller::onAccepted);
    return caller;
  }

  /**
   * Checks that the nodes that are cut off forward a request few times, and that requests are
   * refused at once if no node can serve them. Small fleets with other faults are not judged.
   */
  private void checkHops() {
    if (otherFaults) {
      return;
    }
    ImmutableList<SimulatedCaller> affected =
        duringCut.stream()
            .filter(caller -> isolated.contains(caller.node()))
            .collect(ImmutableList.toImmutableList());
    int hops = affected.stream().mapToInt(caller -> cluster.hopsOf(caller.id())).sum();
    if (hops > MAX_MEAN_HOPS * affected.size()) {
      problems.add(
          String.format(
              "%s, %s of %s nodes: %s requests were forwarded %s times",
              cut, isolated.size(), nodes, affected.size(), hops));
    }
    long late =
        affected.stream()
            .filter(caller -> !caller.isComplete() && caller.elapsedMillis() > MAX_REFUSAL_MILLIS)
            .count();
    if (isolated.size() == nodes && late > 0) {
      problems.add(late + " requests were not refused at once");
    }
  }

  private void checkService(List<SimulatedCaller> sent, String when) {
    int isolatedTotal = 0;
    int isolatedServed = 0;
    int otherTotal = 0;
    int otherServed = 0;
    for (SimulatedCaller caller : sent) {
      int served = caller.isComplete() ? 1 : 0;
      if (isolated.contains(caller.node())) {
        isolatedTotal++;
        isolatedServed += served;
      } else {
        otherTotal++;
        otherServed += served;
      }
    }
    int failed = isolatedTotal - isolatedServed;
    double successRate = (double) isolatedServed / Math.max(1, isolatedTotal);
    double otherSuccessRate = (double) otherServed / Math.max(1, otherTotal);
    boolean tooFew = successRate < MIN_RELATIVE_SUCCESS * otherSuccessRate;
    boolean tooMany = failed > TOLERATED_FAILURES + TOLERATED_FAILURE_FRACTION * isolatedTotal;
    if (tooFew && tooMany) {
      problems.add(
          String.format(
              "%s (%s, %s of %s nodes): nodes that were cut off served %s of %s, others %s of %s",
              when,
              cut,
              isolated.size(),
              nodes,
              isolatedServed,
              isolatedTotal,
              otherServed,
              otherTotal));
    }
  }

  /** Returns the numbers of requests by node and outcome, and of their hops, for reports. */
  Map<String, Integer> counts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (SimulatedCaller caller : duringCut) {
      String where = isolated.contains(caller.node()) ? "isolated " : "other ";
      counts.merge(where + caller.outcome(), 1, Integer::sum);
      counts.merge(where + "hops", cluster.hopsOf(caller.id()), Integer::sum);
    }
    return counts;
  }
}
