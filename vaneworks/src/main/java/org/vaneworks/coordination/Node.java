package org.vaneworks.coordination;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Lifecycle.Phase;
import org.vaneworks.coordination.admission.AdmissionControl;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ActiveConfiguration;
import org.vaneworks.coordination.configuration.ConfigurationFollower;
import org.vaneworks.coordination.endpoints.EndpointHint;
import org.vaneworks.coordination.endpoints.EndpointMonitor;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.membership.Member;
import org.vaneworks.coordination.membership.MemberStatus;
import org.vaneworks.coordination.membership.MemberTable;
import org.vaneworks.coordination.membership.Membership;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.membership.PeerMessage.AskClaims;
import org.vaneworks.coordination.membership.PeerMessage.AskHead;
import org.vaneworks.coordination.membership.PeerMessage.AskPages;
import org.vaneworks.coordination.membership.PeerMessage.HandOver;
import org.vaneworks.coordination.membership.PeerMessage.Ping;
import org.vaneworks.coordination.membership.PeerMessage.PingFor;
import org.vaneworks.coordination.membership.PeerMessage.RunOnce;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.store.BudgetedStore;
import org.vaneworks.coordination.store.PageSource;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * One node: the decision logic of {@code vaneworksd} without network I/O.
 *
 * <p>Several nodes can run in one process, for example in tests. Thread-safe.
 */
public final class Node {
  /** Number of nodes per data centre that watch the configuration head in the store. */
  private static final int HEAD_WATCHERS = 2;

  /** Number of nodes per data centre that read the box list frequently. */
  private static final int BOX_LIST_READERS = 3;

  private final NodeSettings settings;
  private final NodeDependencies dependencies;
  private final Lifecycle lifecycle = Lifecycle.create();
  private final Membership membership;
  private final ActiveConfiguration configuration;
  private final ConfigurationFollower follower;
  private final ConfigurationReplicator replicator;
  private final EndpointTable table;
  private final EndpointMonitor monitor;
  private final RequestDispatcher dispatcher;

  private Node(NodeSettings settings, NodeDependencies dependencies) {
    this.settings = settings;
    this.dependencies = dependencies;
    PlatformStore store =
        BudgetedStore.of(
            dependencies.store(),
            dependencies.executor(),
            dependencies.counters(),
            settings.limits().store());
    this.configuration =
        ActiveConfiguration.create(
            dependencies.executor(), dependencies.configurationFormat(), PageSource.of(store));
    this.membership = createMembership();
    MemberTable members = membership.table();
    this.follower =
        ConfigurationFollower.create(
            dependencies.executor(),
            store,
            configuration,
            () -> members.isAssignedHere("head", HEAD_WATCHERS),
            dependencies.random());
    this.replicator =
        new ConfigurationReplicator(dependencies.executor(), configuration, dependencies.peers());
    this.table =
        EndpointTable.create(
            dependencies.executor(),
            settings.limits().endpoints(),
            dependencies.counters(),
            members::size);
    this.monitor =
        EndpointMonitor.create(
            dependencies.executor(),
            dependencies.boxes(),
            dependencies.endpoints(),
            table,
            dependencies.random(),
            () -> members.isAssignedHere("boxes", BOX_LIST_READERS),
            this::updateSeeds);
    RequestWiring wiring = new RequestWiring(settings, dependencies, table, members::size);
    RoutePlanner planner = wiring.planner();
    AdmissionControl admission = wiring.admission(planner);
    this.dispatcher =
        wiring.dispatcher(lifecycle, configuration, planner, admission, store, members);
    registerListeners(admission);
  }

  /** Creates a node, which does nothing until {@link #start} is called. */
  public static Node create(NodeSettings settings, NodeDependencies dependencies) {
    return new Node(settings, dependencies);
  }

  private Membership createMembership() {
    Member self =
        new Member(
            settings.identity(),
            settings.peerAddress(),
            settings.dataCentre(),
            0,
            MemberStatus.ALIVE,
            Optional.empty());
    return Membership.create(
        dependencies.executor(),
        dependencies.peers(),
        MemberTable.create(dependencies.executor(), self),
        dependencies.random(),
        configuration::version);
  }

  private void registerListeners(AdmissionControl admission) {
    configuration.onChange(
        snapshot -> {
          advanceToReady();
          membership.gossipNow();
        });
    membership.onNewerVersion(replicator::fetch);
    membership.onLeaving(
        hint -> table.find(hint.endpoint()).ifPresent(state -> table.markLeaving(state, "a peer")));
    table.onLeaving(state -> membership.announceLeaving(new EndpointHint(state.endpoint().id())));
    monitor.onUsable(admission::recheck);
  }

  /** Starts reading the configuration and discovering endpoints and peers. */
  public void start() {
    follower.start();
    monitor.start();
    membership.start();
  }

  private void advanceToReady() {
    if (lifecycle.phase() == Phase.STARTING) {
      lifecycle.advance(Phase.READY);
      EventLog.info(Event.READY, "node", settings.identity(), "version", configuration.version());
    }
  }

  private void updateSeeds(ImmutableList<Box> boxes) {
    membership.updateSeeds(
        boxes.stream()
            .filter(box -> box.role() == Box.Role.ENTRY && !box.leaving())
            .map(Box::address)
            .collect(toImmutableSet()));
  }

  /** Handles a message from a peer and returns the reply. */
  public CompletableFuture<PeerMessage> serve(PeerMessage message) {
    if (message instanceof RunOnce run) {
      return dispatcher.serve(run);
    }
    if (message instanceof AskClaims ask) {
      return dispatcher.once().serve(ask);
    }
    if (message instanceof HandOver part) {
      return CompletableFuture.completedFuture(receiveRecords(part));
    }
    if (message instanceof Ping || message instanceof PingFor) {
      return membership.serve(message);
    }
    if (message instanceof AskHead || message instanceof AskPages) {
      return CompletableFuture.completedFuture(replicator.serve(message));
    }
    return CompletableFuture.completedFuture(
        new PeerMessage.Failed("not a request: " + message.getClass().getSimpleName()));
  }

  /** Receives records from a stopping node, unless this node is itself not ready. */
  private PeerMessage receiveRecords(HandOver part) {
    return lifecycle.phase() == Phase.READY
        ? dispatcher.once().receive(part)
        : new PeerMessage.Failed("this node is " + lifecycle.phase());
  }

  /**
   * Stops the node gracefully: requests in flight are aborted only when the stop deadline passes.
   *
   * @return a future that completes once the node has stopped, with the number of aborted requests,
   *     which is 0 unless the deadline passed
   */
  public CompletableFuture<Integer> stop() {
    lifecycle.advance(Phase.LEAVING);
    EventLog.info(Event.STOP_REQUESTED, "inFlight", lifecycle.inFlight());
    StopTimes times = settings.limits().stop();
    CompletableFuture<Void> gracefulStop =
        Async.delay(dependencies.executor(), times.balancerLag())
            .thenCompose(lagOver -> refuseAndDrain())
            .thenCompose(drained -> dispatcher.once().handOver())
            .thenAccept(membership::announceLeft);
    CompletableFuture<Void> completedOrTimedOut = new CompletableFuture<>();
    var timer =
        dependencies
            .executor()
            .schedule(() -> completedOrTimedOut.complete(null), times.deadline());
    Async.onDone(
        gracefulStop,
        dependencies.executor(),
        (done, failure) -> completedOrTimedOut.complete(null));
    return completedOrTimedOut.thenApply(
        done -> {
          timer.cancel();
          return finishStop();
        });
  }

  private CompletableFuture<Void> refuseAndDrain() {
    lifecycle.advance(Phase.REFUSING);
    EventLog.info(Event.STOP_REFUSING, "inFlight", lifecycle.inFlight());
    return lifecycle.whenIdle();
  }

  private int finishStop() {
    int cut = lifecycle.inFlight();
    follower.stop();
    monitor.stop();
    membership.stop();
    if (cut == 0) {
      EventLog.info(Event.STOPPED, "node", settings.identity());
    } else {
      EventLog.warn(Event.STOP_CUT, "cut", cut);
    }
    return cut;
  }

  /** Returns the entry point for callers' requests. */
  public RequestDispatcher dispatcher() {
    return dispatcher;
  }

  /** Returns the current phase of the node. */
  public Phase phase() {
    return lifecycle.phase();
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return lifecycle.inFlight();
  }

  /** Returns the holder of the active configuration. */
  public ActiveConfiguration configuration() {
    return configuration;
  }

  /** Returns the known endpoints. */
  public EndpointTable endpoints() {
    return table;
  }

  /** Returns the known members of the cluster. */
  public MemberTable members() {
    return membership.table();
  }

  /** Returns the settings of the node. */
  public NodeSettings settings() {
    return settings;
  }
}
