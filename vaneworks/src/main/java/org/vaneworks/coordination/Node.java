package org.vaneworks.coordination;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.vaneworks.coordination.Lifecycle.Phase;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * One node: every decision of a {@code vaneworksd}, without its sockets.
 *
 * <p>Several nodes can be wired together in one process. Thread-safe.
 */
public final class Node {
  /** Retries saved up at most; lets a quiet node get over a short disturbance. */
  private static final int RETRY_RESERVE = 20;

  private final NodeSettings settings;
  private final NodeOutside outside;
  private final Lifecycle lifecycle = Lifecycle.create();
  private final ConfigurationBoard board;
  private final ConfigurationFollower follower;
  private final EndpointTable table;
  private final EndpointMonitor monitor;
  private final RequestGate gate;
  private volatile int entryNodes = 1;

  private Node(NodeSettings settings, NodeOutside outside) {
    this.settings = settings;
    this.outside = outside;
    this.board =
        ConfigurationBoard.create(
            outside.executor(), outside.format(), PageSource.of(outside.store()));
    this.follower =
        ConfigurationFollower.create(
            outside.executor(), outside.store(), board, () -> true, outside.random());
    this.table =
        EndpointTable.create(outside.executor(), settings.endpointLimits(), outside.counters());
    this.monitor =
        EndpointMonitor.create(
            outside.executor(),
            outside.boxes(),
            outside.endpoints(),
            table,
            outside.random(),
            this::noteBoxes);
    this.gate = wireGate();
    board.onChange(snapshot -> becomeReady());
  }

  /** Returns a node that is yet to be started. */
  public static Node create(NodeSettings settings, NodeOutside outside) {
    return new Node(settings, outside);
  }

  private RequestGate wireGate() {
    RoutingSettings routing = settings.routing();
    IntSupplier nodes = () -> entryNodes;
    RoutePlanner planner = RoutePlanner.create(table, policy(routing, nodes, outside.random()));
    AdmissionControl admission =
        AdmissionControl.create(
            outside.executor(), planner, admissionPolicy(routing, nodes), cost(routing), nodes);
    monitor.onUsable(admission::recheck);
    RetryBudget retries = RetryBudget.of(routing.retryShare(), RETRY_RESERVE);
    PipelineContext context =
        new PipelineContext(
            outside.executor(),
            outside.endpoints(),
            table,
            planner,
            admission,
            retries,
            settings.pipelineLimits(),
            outside.counters());
    PipelineDriver driver = PipelineDriver.create(context, settings.identity(), outside.random());
    ServiceRouter services =
        ServiceRouter.create(
            outside.executor(),
            table,
            outside.endpoints(),
            retries,
            outside.counters(),
            outside.random());
    return new RequestGate(lifecycle, board, driver, services, outside.counters());
  }

  private static RoutePolicy policy(RoutingSettings routing, IntSupplier nodes, Random random) {
    return switch (routing.policy()) {
      case PREDICTED_TIME -> RoutePolicies.predictedTime(nodes, random);
      case RANDOM -> RoutePolicies.random(random);
      case ROUND_ROBIN -> RoutePolicies.roundRobin();
      case LEAST_IN_FLIGHT -> RoutePolicies.leastInFlight(random);
    };
  }

  private AdmissionPolicy admissionPolicy(RoutingSettings routing, IntSupplier nodes) {
    return switch (routing.admission()) {
      case WITHIN_BOUNDS -> AdmissionPolicy.withinBounds(settings.endpointLimits(), nodes);
      case FIXED -> AdmissionPolicy.fixedCap(routing.fixedCap());
    };
  }

  private static AdmissionCost cost(RoutingSettings routing) {
    return switch (routing.cost()) {
      case TOKENS -> AdmissionCost.tokens();
      case REQUESTS -> AdmissionCost.requests();
    };
  }

  /** Starts to read the configuration and to look for endpoints. */
  public void start() {
    follower.start();
    monitor.start();
  }

  private void becomeReady() {
    if (lifecycle.phase() == Phase.STARTING) {
      lifecycle.advance(Phase.READY);
      EventLog.info(Event.READY, "node", settings.identity(), "version", board.version());
    }
  }

  private void noteBoxes(ImmutableList<Box> boxes) {
    long entries = boxes.stream().filter(box -> box.role() == Box.Role.ENTRY).count();
    entryNodes = (int) Math.max(1, entries);
  }

  /**
   * Stops as planned: no request in flight is cut before the stop deadline.
   *
   * @return done once nothing is in flight, with the number of requests cut, 0 unless the deadline
   *     passed
   */
  public CompletableFuture<Integer> stop() {
    lifecycle.advance(Phase.LEAVING);
    EventLog.info(Event.STOP_REQUESTED, "inFlight", lifecycle.inFlight());
    CompletableFuture<Void> drained =
        Async.delay(outside.executor(), settings.stopTimes().balancerLag())
            .thenCompose(lagOver -> refuseAndDrain());
    CompletableFuture<Void> bounded = new CompletableFuture<>();
    var timer =
        outside.executor().schedule(() -> bounded.complete(null), settings.stopTimes().deadline());
    Async.onDone(drained, outside.executor(), (done, failure) -> bounded.complete(null));
    return bounded.thenApply(
        done -> {
          timer.cancel();
          return stopped();
        });
  }

  private CompletableFuture<Void> refuseAndDrain() {
    lifecycle.advance(Phase.REFUSING);
    EventLog.info(Event.STOP_REFUSING, "inFlight", lifecycle.inFlight());
    return lifecycle.whenIdle();
  }

  private int stopped() {
    int cut = lifecycle.inFlight();
    follower.stop();
    monitor.stop();
    if (cut == 0) {
      EventLog.info(Event.STOPPED, "node", settings.identity());
    } else {
      EventLog.warn(Event.STOP_CUT, "cut", cut);
    }
    return cut;
  }

  /** Returns what takes callers' requests. */
  public RequestGate gate() {
    return gate;
  }

  /** Returns the node's phase. */
  public Phase phase() {
    return lifecycle.phase();
  }

  /** Returns how many requests are in flight. */
  public int inFlight() {
    return lifecycle.inFlight();
  }

  /** Returns the configuration in force. */
  public ConfigurationBoard configuration() {
    return board;
  }

  /** Returns the endpoints that the node knows. */
  public EndpointTable endpoints() {
    return table;
  }

  /** Returns what the node was told of itself. */
  public NodeSettings settings() {
    return settings;
  }
}
