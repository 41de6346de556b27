package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.EntryRoute;

/**
 * One random simulation of callers, nodes and engines. Engines pause and resume, crash, restart,
 * leave, reject requests and fail; retry budgets run out; nodes stall, restart and get new
 * configurations.
 */
final class InFlightResponseSimulation {
  private static final int STEPS = 36;
  private static final int MAX_NODES = 4;
  private static final int MAX_STEP_MILLIS = 400;
  private static final int MAX_PAUSE_MILLIS = 4000;
  private static final int MAX_STALL_MILLIS = 500;
  private static final int MAX_FIRST_EVENT_DELAY_MILLIS = 1500;
  private static final int BURST_STREAMS = 12;

  /** Number of random actions of every simulation. */
  private static final int ACTIONS = 24;

  /** Number of further actions of simulations with replacement faults. */
  private static final int REPLACEMENT_FAULT_ACTIONS = 10;

  private static final int LAYERS = 80;

  /** In some simulations, one request in this many crashes engines until it is quarantined. */
  private static final int CRASHING_ONE_IN = 25;

  /** Initial streams of each node; few and small, so that every engine has capacity for all. */
  private static final int INITIAL_STREAMS = 5;

  private static final int INITIAL_TOKENS = 1;
  private static final int INITIAL_PROGRESS_MILLIS = 150;
  private static final int INITIAL_PAUSE_MILLIS = 1500;

  private static final int AMPLE_RESERVE = 12;

  /** In simulations with broken connections, one action in this many breaks connections. */
  private static final int BROKEN_CONNECTIONS_ONE_IN = 2;

  /** Longer than the longest request timeout plus the longest pause, and any cleanup after them. */
  private static final int SETTLE_MILLIS = 26_000;

  /** Which faults a simulation has. */
  private enum Faults {
    BASIC,
    /** Replacements of silent engines fail as well. */
    REPLACEMENTS,
    /** Connections of live engines break, which interrupts more streams than budgets allow. */
    CONNECTIONS
  }

  private final Random random;
  private final int nodes;
  private final SimulatedCluster cluster;
  private final Faults faults;
  private final ImmutableList<EntryRoute> routes;
  private final Map<String, SimulatedCaller> callers = new HashMap<>();
  private final List<SimulatedCaller> callersInOrder = new ArrayList<>();

  /** The budgets of each node, by service. */
  private final List<ImmutableMap<String, RetryBudgetChecker>> budgets = new ArrayList<>();

  private final ImmutableMap<String, RetryBudgetChecker> fleetBudgets;
  private final List<String> problems = new ArrayList<>();
  private ForwardingLimits limits;
  private int version = 1;
  private final int tokens;
  private final int requestIntervalMillis;
  private final boolean crashing;

  InFlightResponseSimulation(long seed) {
    this(seed, Faults.BASIC);
  }

  /**
   * Creates a simulation in which engines also fail or fall silent after the heads of their
   * answers, pause for about as long as it takes to suspect them, and get bursts of streams.
   */
  static InFlightResponseSimulation withReplacementFaults(long seed) {
    return new InFlightResponseSimulation(seed, Faults.REPLACEMENTS);
  }

  /**
   * Creates a simulation in which the connections of live engines break and bursts of streams
   * compete for small retry budgets. Nodes do not restart, so that the budget of all nodes together
   * is checked as well.
   */
  static InFlightResponseSimulation withBrokenConnections(long seed) {
    return new InFlightResponseSimulation(seed, Faults.CONNECTIONS);
  }

  /**
   * Creates a simulation in which responses have neither a length nor chunks, so that the end of an
   * engine's process looks like the ends of its responses.
   */
  static InFlightResponseSimulation withUndelimitedResponses(long seed) {
    InFlightResponseSimulation simulation =
        new InFlightResponseSimulation(seed, Faults.REPLACEMENTS);
    simulation.cluster.leaveResponsesUndelimited();
    return simulation;
  }

  private InFlightResponseSimulation(long seed, Faults faults) {
    this.faults = faults;
    routes = SimulationConfiguration.routes(faults == Faults.BASIC ? 2 : 3);
    random = new Random(seed);
    nodes = 1 + random.nextInt(MAX_NODES);
    limits = randomLimits();
    cluster =
        new SimulatedCluster(nodes, seed, SimulationConfiguration.of(version, 15_000), limits);
    tokens = 100 + random.nextInt(1000);
    requestIntervalMillis = 8 + random.nextInt(60);
    crashing = random.nextInt(8) == 0 && faults != Faults.CONNECTIONS;
    for (int i = 0; i < nodes; i++) {
      budgets.add(newBudgets(nodes));
    }
    fleetBudgets = newBudgets(1);
    startEndpoints();
    cluster.onAttempt(this::beforeAttempt);
    cluster.onRetry(this::beforeRetry);
    cluster.advance(2000);
  }

  /** Draws a retry budget; the reserve is mostly small, at most three retries per node. */
  private ForwardingLimits randomLimits() {
    if (faults == Faults.CONNECTIONS) {
      double reserve = nodes * (1 + random.nextInt(3)) / RetryBudgetChecker.RESERVE_FRACTION;
      return new ForwardingLimits(Duration.ofMillis(4750), 0.2, reserve, Duration.ZERO);
    }
    double share = random.nextInt(2) * 0.2;
    int reservePerNode = random.nextInt(4) == 0 ? AMPLE_RESERVE : random.nextInt(4);
    double reserve = nodes * reservePerNode / RetryBudgetChecker.RESERVE_FRACTION;
    return new ForwardingLimits(Duration.ofMillis(4750), share, reserve, Duration.ZERO);
  }

  private ImmutableMap<String, RetryBudgetChecker> newBudgets(int sharingNodes) {
    return Maps.toMap(
        List.of(SimulatedCluster.SERVICE, SimulatedCluster.REPLICATED),
        service -> new RetryBudgetChecker(limits, sharingNodes, cluster::nowMillis));
  }

  private void startEndpoints() {
    int ranges = 1 + random.nextInt(3);
    for (int range = 0; range < ranges; range++) {
      for (int i = 1 + random.nextInt(3); i >= 0; i--) {
        cluster.startEngine(LAYERS * range / ranges, LAYERS * (range + 1) / ranges);
      }
    }
    cluster.startReplica();
    cluster.startReplica();
  }

  /** Runs the simulation and returns the problems found. */
  ImmutableList<String> run() {
    checkInitialBudgets();
    for (int step = 0; step < STEPS; step++) {
      randomAction();
      sendRequests(1 + random.nextInt(MAX_STEP_MILLIS));
    }
    cluster.advance(SETTLE_MILLIS);
    for (SimulatedCaller caller : callersInOrder) {
      problems.addAll(caller.problems(cluster.attemptsOf(caller.id())));
      if (faults == Faults.CONNECTIONS && caller.wasAbortedEarly(cluster.attemptsOf(caller.id()))) {
        problems.add("aborted while its caller waited: " + caller);
      }
    }
    problems.addAll(cluster.unreleasedState());
    return ImmutableList.copyOf(problems);
  }

  /** Returns how many requests had each outcome, and how many attempts were sent. */
  Map<String, Integer> counts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (SimulatedCaller caller : callersInOrder) {
      counts.merge(caller.outcome(), 1, Integer::sum);
      counts.merge("attempts", cluster.attemptsOf(caller.id()).size(), Integer::sum);
    }
    return counts;
  }

  private void sendRequests(int millis) {
    for (int passed = 0; passed < millis; passed += requestIntervalMillis) {
      sendRequest(random.nextInt(nodes), routes.get(random.nextInt(routes.size())));
      cluster.advance(requestIntervalMillis);
    }
  }

  /**
   * Pauses an engine while the retry budgets are unspent, and checks that as many streams move to
   * other engines as the budgets allow.
   *
   * <p>The random steps that follow can't detect a budget that is charged twice for one retry: it
   * only appears to be smaller.
   */
  private void checkInitialBudgets() {
    for (int node = 0; node < nodes; node++) {
      for (int i = 0; i < INITIAL_STREAMS; i++) {
        sendRequest(
            node, SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 2), INITIAL_TOKENS);
      }
    }
    cluster.advance(INITIAL_PROGRESS_MILLIS);
    ImmutableList<SimulatedCaller> initial = ImmutableList.copyOf(callersInOrder);
    HostPort engine = engineOf(initial.get(0));
    cluster.pauseEngine(cluster.engineIndexOf(engine), INITIAL_PAUSE_MILLIS);
    cluster.advance(INITIAL_PAUSE_MILLIS - 1);
    for (int node = 0; node < nodes; node++) {
      checkMoves(node, initial, engine);
    }
  }

  private HostPort engineOf(SimulatedCaller caller) {
    return cluster.attemptsOf(caller.id()).get(0).engine();
  }

  private void checkMoves(int node, ImmutableList<SimulatedCaller> callers, HostPort engine) {
    long running = 0;
    long moved = 0;
    for (SimulatedCaller caller : callers) {
      if (caller.node() == node && engineOf(caller).equals(engine)) {
        running++;
        moved += cluster.attemptsOf(caller.id()).size() - 1;
      }
    }
    long allowed = Math.round(limits.retryReserve() * RetryBudgetChecker.RESERVE_FRACTION / nodes);
    if (moved < Math.min(running, allowed)) {
      problems.add(
          "node " + node + " moved " + moved + " of " + running + " streams, allowed " + allowed);
    }
  }

  private void sendRequest(int node, EntryRoute route) {
    sendRequest(node, route, tokens);
  }

  private void sendRequest(int node, EntryRoute route, int size) {
    String id = "q" + callersInOrder.size();
    boolean crashes = crashing && size == tokens && random.nextInt(CRASHING_ONE_IN) == 0;
    String body = crashes ? SimulatedCluster.CRASHING : "letter " + id;
    // Some callers have a short timeout.
    int timeoutMillis =
        size == tokens && random.nextInt(8) == 0 ? 200 + random.nextInt(3000) : 20_000;
    SimulatedRequest request =
        new SimulatedRequest(
            id,
            route.pathPrefix(),
            body,
            Duration.ofMillis(Math.min(timeoutMillis, route.timeout().toMillis())),
            new RequestSize(size, 100));
    SimulatedCaller caller =
        new SimulatedCaller(
            request, route, node, cluster::nowMillis, () -> cluster.stalledMillis(node));
    callers.put(id, caller);
    callersInOrder.add(caller);
    cluster.runAtNode(node, budgets.get(node).get(caller.service())::recordRequest);
    cluster.runAtNode(node, fleetBudgets.get(caller.service())::recordRequest);
    cluster.sendRequest(node, request, caller, caller::onAccepted);
  }

  private void beforeAttempt(int node, String id) {
    ImmutableList<AttemptRecord> attempts = cluster.attemptsOf(id);
    callers.get(id).beforeAttempt(node, attempts);
  }

  private void beforeRetry(int node, String id) {
    String service = callers.get(id).service();
    if (!budgets.get(node).get(service).recordRetry()) {
      problems.add("retries of node " + node + " exceed the budget with " + id);
    }
    if (!fleetBudgets.get(service).recordRetry() && faults == Faults.CONNECTIONS) {
      problems.add("retries of all nodes exceed the budget with " + id);
    }
  }

  private void randomAction() {
    if (faults == Faults.CONNECTIONS) {
      breakConnections();
      return;
    }
    int node = random.nextInt(nodes);
    boolean replacements = faults == Faults.REPLACEMENTS;
    switch (random.nextInt(replacements ? ACTIONS + REPLACEMENT_FAULT_ACTIONS : ACTIONS)) {
      case 0, 1, 2, 3, 4, 5 -> atEngine(this::pause);
      case 6 -> atEngine(cluster::crashEngine);
      case 7 -> atEngine(cluster::stopEngineSilently);
      case 8 -> atEngine(engine -> cluster.restartEngine(engine, 1 + random.nextInt(1500)));
      case 9 ->
          atEngine(engine -> cluster.announceLeavingInAnswers(engine, 2000 + random.nextInt(3000)));
      case 10 ->
          atEngine(engine -> cluster.announceLeavingInEntry(engine, 2000 + random.nextInt(3000)));
      case 11 -> atEngine(engine -> cluster.relistEngine(engine, 1 + random.nextInt(4000)));
      case 12, 13 -> atEngine(engine -> cluster.rejectCalls(engine, random.nextInt(2) * 300));
      case 14, 15 -> cluster.workingEngines().forEach(cluster::acceptCalls);
      case 16 -> atEngine(cluster::abortRequests);
      case 17 -> atEngine(engine -> cluster.setFailing(engine, random.nextBoolean()));
      case 18, 19 -> cluster.stallNode(node, random.nextInt(MAX_STALL_MILLIS));
      case 20 -> restart(node);
      case 21, 22 -> configure();
      case 23 -> disconnectSomeCallers();
      case 24, 25, 26 -> atEngine(this::delayFirstEvents);
      case 27, 28 ->
          cluster.workingEngines().forEach(each -> cluster.delayFirstEvents(each, 0, false));
      case 29, 30, 31 -> atEngine(this::pauseUntilSuspected);
      case 32, 33 -> sendBurst(node);
      default -> {}
    }
  }

  private void breakConnections() {
    if (random.nextInt(BROKEN_CONNECTIONS_ONE_IN) == 0) {
      atEngine(cluster::abortRequests);
      return;
    }
    int node = random.nextInt(nodes);
    switch (random.nextInt(6)) {
      case 0, 1 -> sendBurst(node);
      case 2 -> atEngine(this::pause);
      case 3 -> cluster.stallNode(node, random.nextInt(MAX_STALL_MILLIS));
      case 4 -> configure();
      default -> disconnectSomeCallers();
    }
  }

  /** Applies an action to a random engine that runs. */
  private void atEngine(IntConsumer action) {
    ImmutableList<Integer> working = cluster.workingEngines();
    if (!working.isEmpty()) {
      action.accept(working.get(random.nextInt(working.size())));
    }
  }

  private void delayFirstEvents(int engine) {
    cluster.delayFirstEvents(
        engine, 1 + random.nextInt(MAX_FIRST_EVENT_DELAY_MILLIS), random.nextBoolean());
  }

  /** Pauses an engine for about as long as it takes until nodes suspect it. */
  private void pauseUntilSuspected(int engine) {
    cluster.pauseEngine(engine, 300 + random.nextInt(500));
  }

  private void sendBurst(int node) {
    for (int i = 0; i < BURST_STREAMS; i++) {
      sendRequest(
          node, SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 1 + random.nextInt(3)));
    }
  }

  private void pause(int engine) {
    cluster.pauseEngine(engine, 250 + random.nextInt(MAX_PAUSE_MILLIS));
  }

  /** Restarts a node, which closes the connections of its callers. */
  private void restart(int node) {
    callersInOrder.stream()
        .filter(caller -> caller.node() == node)
        .forEach(SimulatedCaller::onNodeStopped);
    cluster.restartNode(node);
    budgets.set(node, newBudgets(nodes));
  }

  /** Changes the idle timeout and the retry budget; reading the configuration stalls nodes. */
  private void configure() {
    version++;
    ForwardingLimits next = randomLimits();
    limits = next;
    int idleMillis = 5000 + random.nextInt(20_000);
    for (int node = 0; node < nodes; node++) {
      ImmutableMap<String, RetryBudgetChecker> ofNode = budgets.get(node);
      cluster.runAtNode(node, () -> updateLimits(ofNode, next));
      cluster.configure(node, SimulationConfiguration.of(version, idleMillis), next);
      cluster.stallNode(node, random.nextInt(MAX_STALL_MILLIS));
    }
  }

  private void updateLimits(
      ImmutableMap<String, RetryBudgetChecker> ofNode, ForwardingLimits next) {
    ofNode.values().forEach(budget -> budget.updateLimits(next));
    fleetBudgets.forEach(
        (service, budget) ->
            budget.updateReserve(
                budgets.stream().mapToDouble(each -> each.get(service).nodeReserve()).sum()));
  }

  private void disconnectSomeCallers() {
    callersInOrder.stream().filter(caller -> random.nextInt(4) == 0).forEach(this::disconnect);
  }

  private void disconnect(SimulatedCaller caller) {
    caller.disconnect();
    cluster.runAtNode(caller.node(), caller::notifyNode);
  }
}
