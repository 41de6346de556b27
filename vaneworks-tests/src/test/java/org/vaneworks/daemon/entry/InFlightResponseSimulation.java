package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
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
 * One random course of callers, nodes and engines: engines pause and live, die, start again, leave,
 * turn requests away and fail; repeated sends run out; nodes stand still, start again and take
 * configurations.
 */
final class InFlightResponseSimulation {
  private static final int STEPS = 36;
  private static final int MOST_NODES = 4;
  private static final int LONGEST_STEP_MILLIS = 400;
  private static final int LONGEST_PAUSE_MILLIS = 4000;
  private static final int LONGEST_STANDSTILL_MILLIS = 500;
  private static final int LAYERS = 80;

  /** In some courses, one request of so many ends engines, and is held back after a few. */
  private static final int CRASHING_ONE_IN = 25;

  /** Streams of each node at the beginning; small, so that every engine has room for all. */
  private static final int FIRST_STREAMS = 5;

  private static final int FIRST_TOKENS = 1;
  private static final int FIRST_PART_MILLIS = 150;
  private static final int FIRST_PAUSE_MILLIS = 1500;

  private static final int AMPLE_RESERVE = 12;

  /** Part of its reserve that a node gives out. */
  private static final double RESERVE_IN_USE = 0.6;

  /** Longer than any request's time and any pause, and than what is under way after both. */
  private static final int UNTIL_ALL_IS_OVER_MILLIS = 26_000;

  private final Random random;
  private final int nodes;
  private final SimulatedCluster fleet;
  private final ImmutableList<EntryRoute> routes = SimulationConfiguration.routes();
  private final Map<String, SimulatedCaller> callers = new HashMap<>();
  private final List<SimulatedCaller> inOrder = new ArrayList<>();
  private final List<RetryBudgetChecker> ledgers = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private ForwardingLimits limits;
  private int version = 1;
  private final int tokens;
  private final int askPauseMillis;
  private final boolean crashing;

  InFlightResponseSimulation(long seed) {
    random = new Random(seed);
    nodes = 1 + random.nextInt(MOST_NODES);
    limits = limits();
    fleet = new SimulatedCluster(nodes, seed, SimulationConfiguration.of(version, 15_000), limits);
    tokens = 100 + random.nextInt(1000);
    askPauseMillis = 8 + random.nextInt(60);
    crashing = random.nextInt(8) == 0;
    for (int i = 0; i < nodes; i++) {
      ledgers.add(new RetryBudgetChecker(limits, nodes, fleet::nowMillis));
    }
    startEndpoints();
    fleet.onSend(this::sending);
    fleet.advance(2000);
  }

  /** Draws bounds on repeated sends; mostly there are none, or up to three a node. */
  private ForwardingLimits limits() {
    double share = random.nextInt(2) * 0.2;
    int ofNode = random.nextInt(4) == 0 ? AMPLE_RESERVE : random.nextInt(4);
    double reserve = nodes * ofNode / RESERVE_IN_USE;
    return new ForwardingLimits(Duration.ofMillis(4750), share, reserve);
  }

  private void startEndpoints() {
    int parts = 1 + random.nextInt(3);
    for (int part = 0; part < parts; part++) {
      for (int i = 1 + random.nextInt(3); i >= 0; i--) {
        fleet.startEngine(LAYERS * part / parts, LAYERS * (part + 1) / parts);
      }
    }
    fleet.startReplica();
    fleet.startReplica();
  }

  /** Plays the course; returns what is wrong. */
  ImmutableList<String> play() {
    spendBudgets();
    for (int step = 0; step < STEPS; step++) {
      act();
      ask(1 + random.nextInt(LONGEST_STEP_MILLIS));
    }
    fleet.advance(UNTIL_ALL_IS_OVER_MILLIS);
    for (SimulatedCaller caller : inOrder) {
      problems.addAll(caller.problems(fleet.sendsOf(caller.id())));
    }
    problems.addAll(fleet.leftOver());
    return ImmutableList.copyOf(problems);
  }

  /** Returns what the course came to. */
  Map<String, Integer> counts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (SimulatedCaller caller : inOrder) {
      counts.merge(caller.outcome(), 1, Integer::sum);
      counts.merge("sends", fleet.sendsOf(caller.id()).size(), Integer::sum);
    }
    return counts;
  }

  private void ask(int millis) {
    for (int passed = 0; passed < millis; passed += askPauseMillis) {
      ask(random.nextInt(nodes), routes.get(random.nextInt(routes.size())));
      fleet.advance(askPauseMillis);
    }
  }

  /**
   * Pauses an engine while the budgets are whole: as many streams leave it as they allow.
   *
   * <p>The random steps after it can't tell: a budget that is spent twice only looks smaller.
   */
  private void spendBudgets() {
    for (int node = 0; node < nodes; node++) {
      for (int i = 0; i < FIRST_STREAMS; i++) {
        ask(node, SimulationConfiguration.route(CallKind.RESUMABLE_STREAM, 2), FIRST_TOKENS);
      }
    }
    fleet.advance(FIRST_PART_MILLIS);
    ImmutableList<SimulatedCaller> first = ImmutableList.copyOf(inOrder);
    HostPort engine = engineOf(first.get(0));
    fleet.pauses(fleet.placeOf(engine), FIRST_PAUSE_MILLIS);
    fleet.advance(FIRST_PAUSE_MILLIS - 1);
    for (int node = 0; node < nodes; node++) {
      checkMoves(node, first, engine);
    }
  }

  private HostPort engineOf(SimulatedCaller caller) {
    return fleet.sendsOf(caller.id()).get(0).engine();
  }

  private void checkMoves(int node, ImmutableList<SimulatedCaller> callers, HostPort engine) {
    long held = 0;
    long moved = 0;
    for (SimulatedCaller caller : callers) {
      if (caller.node() == node && engineOf(caller).equals(engine)) {
        held++;
        moved += fleet.sendsOf(caller.id()).size() - 1;
      }
    }
    long allowed = Math.round(limits.retryReserve() * RESERVE_IN_USE / nodes);
    if (moved < Math.min(held, allowed)) {
      problems.add("node " + node + " moved " + moved + " of " + held + ", allowed " + allowed);
    }
  }

  private void ask(int node, EntryRoute route) {
    ask(node, route, tokens);
  }

  private void ask(int node, EntryRoute route, int size) {
    String id = "q" + inOrder.size();
    boolean crashes = crashing && size == tokens && random.nextInt(CRASHING_ONE_IN) == 0;
    String body = crashes ? SimulatedCluster.CRASHING : "letter " + id;
    // Now and then a caller with little time left.
    int limit = size == tokens && random.nextInt(8) == 0 ? 200 + random.nextInt(3000) : 20_000;
    SimulatedCluster.Asked asked =
        new SimulatedCluster.Asked(
            id,
            route.pathPrefix(),
            body,
            Duration.ofMillis(Math.min(limit, route.timeout().toMillis())),
            new RequestSize(size, 100));
    SimulatedCaller caller =
        new SimulatedCaller(asked, route, node, fleet::nowMillis, () -> fleet.stoodStillMillis(node));
    callers.put(id, caller);
    inOrder.add(caller);
    fleet.atNode(node, ledgers.get(node)::noteRequest);
    fleet.ask(node, asked, caller, caller::taken);
  }

  private void sending(int node, String id) {
    ImmutableList<AttemptRecord> sends = fleet.sendsOf(id);
    callers.get(id).sending(sends);
    if (sends.size() > 1 && !ledgers.get(node).noteResend()) {
      problems.add("repeated sends of node " + node + " exceed the budget with " + id);
    }
  }

  private void act() {
    int node = random.nextInt(nodes);
    switch (random.nextInt(24)) {
      case 0, 1, 2, 3, 4, 5 -> atEngine(this::pause);
      case 6 -> atEngine(fleet::breaksDown);
      case 7 -> atEngine(fleet::diesSilently);
      case 8 -> atEngine(engine -> fleet.startsAgain(engine, 1 + random.nextInt(1500)));
      case 9 -> atEngine(engine -> fleet.leaves(engine, 2000 + random.nextInt(3000)));
      case 10 -> atEngine(engine -> fleet.leavesByEntry(engine, 2000 + random.nextInt(3000)));
      case 11 -> atEngine(engine -> fleet.listsItselfAgain(engine, 1 + random.nextInt(4000)));
      case 12, 13 -> atEngine(engine -> fleet.turnsAway(engine, random.nextInt(2) * 300));
      case 14, 15 -> fleet.working().forEach(fleet::takesAgain);
      case 16 -> atEngine(fleet::breaksOff);
      case 17 -> atEngine(engine -> fleet.fails(engine, random.nextBoolean()));
      case 18, 19 -> fleet.nodeStandsStill(node, random.nextInt(LONGEST_STANDSTILL_MILLIS));
      case 20 -> restart(node);
      case 21, 22 -> configure();
      case 23 -> someLeave();
      default -> {}
    }
  }

  /** Does something at an endpoint that works. */
  private void atEngine(IntConsumer act) {
    ImmutableList<Integer> working = fleet.working();
    if (!working.isEmpty()) {
      act.accept(working.get(random.nextInt(working.size())));
    }
  }

  private void pause(int engine) {
    fleet.pauses(engine, 250 + random.nextInt(LONGEST_PAUSE_MILLIS));
  }

  /** Ends a run of a node with its callers' connections. */
  private void restart(int node) {
    inOrder.stream().filter(caller -> caller.node() == node).forEach(SimulatedCaller::nodeEnded);
    fleet.restartNode(node);
    ledgers.set(node, new RetryBudgetChecker(limits, nodes, fleet::nowMillis));
  }

  /** Changes the idle limit and the bounds on repeated sends; to read it holds nodes up. */
  private void configure() {
    version++;
    ForwardingLimits next = limits();
    limits = next;
    int idle = 5000 + random.nextInt(20_000);
    for (int node = 0; node < nodes; node++) {
      RetryBudgetChecker ledger = ledgers.get(node);
      fleet.atNode(node, () -> ledger.limits(next));
      fleet.configure(node, SimulationConfiguration.of(version, idle), next);
      fleet.nodeStandsStill(node, random.nextInt(LONGEST_STANDSTILL_MILLIS));
    }
  }

  private void someLeave() {
    inOrder.stream().filter(caller -> random.nextInt(4) == 0).forEach(this::leave);
  }

  private void leave(SimulatedCaller caller) {
    caller.leave();
    fleet.atNode(caller.node(), caller::gone);
  }
}
