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
 * One node: every decision of a {@code vaneworksd}, without its sockets.
 *
 * <p>Several nodes can be wired together in one process. Thread-safe.
 */
public final class Node {
  /** Nodes of a data centre that hold a watch on the configuration's head. */
  private static final int HEAD_WATCHERS = 2;

  /** Nodes of a data centre that read the box list often. */
  private static final int LIST_READERS = 3;

  private final NodeSettings settings;
  private final NodeOutside outside;
  private final Lifecycle lifecycle = Lifecycle.create();
  private final Membership membership;
  private final ActiveConfiguration board;
  private final ConfigurationFollower follower;
  private final ConfigurationSpread spread;
  private final EndpointTable table;
  private final EndpointMonitor monitor;
  private final RequestGate gate;

  private Node(NodeSettings settings, NodeOutside outside) {
    this.settings = settings;
    this.outside = outside;
    PlatformStore store =
        BudgetedStore.of(
            outside.store(), outside.executor(), outside.counters(), settings.limits().store());
    this.board =
        ActiveConfiguration.create(
            outside.executor(), outside.configurationFormat(), PageSource.of(store));
    this.membership = createMembership();
    MemberTable members = membership.table();
    this.follower =
        ConfigurationFollower.create(
            outside.executor(),
            store,
            board,
            () -> members.isAssignedHere("head", HEAD_WATCHERS),
            outside.random());
    this.spread = new ConfigurationSpread(outside.executor(), board, outside.peers());
    this.table =
        EndpointTable.create(
            outside.executor(), settings.limits().endpoints(), outside.counters(), members::size);
    this.monitor =
        EndpointMonitor.create(
            outside.executor(),
            outside.boxes(),
            outside.endpoints(),
            table,
            outside.random(),
            () -> members.isAssignedHere("boxes", LIST_READERS),
            this::noteBoxes);
    RequestWiring wiring = new RequestWiring(settings, outside, table, members::size);
    RoutePlanner planner = wiring.planner();
    AdmissionControl admission = wiring.admission(planner);
    this.gate = wiring.gate(lifecycle, board, planner, admission, store, members);
    listen(admission);
  }

  /** Returns a node that is yet to be started. */
  public static Node create(NodeSettings settings, NodeOutside outside) {
    return new Node(settings, outside);
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
        outside.executor(),
        outside.peers(),
        MemberTable.create(outside.executor(), self),
        outside.random(),
        board::version);
  }

  private void listen(AdmissionControl admission) {
    board.onChange(
        snapshot -> {
          becomeReady();
          membership.gossipNow();
        });
    membership.onNewerVersion(spread::fetch);
    membership.onLeaving(
        hint -> table.find(hint.endpoint()).ifPresent(state -> table.leaving(state, "a peer")));
    table.onLeaving(state -> membership.announceLeaving(new EndpointHint(state.endpoint().id())));
    monitor.onUsable(admission::recheck);
  }

  /** Starts to read the configuration and to look for endpoints and peers. */
  public void start() {
    follower.start();
    monitor.start();
    membership.start();
  }

  private void becomeReady() {
    if (lifecycle.phase() == Phase.STARTING) {
      lifecycle.advance(Phase.READY);
      EventLog.info(Event.READY, "node", settings.identity(), "version", board.version());
    }
  }

  private void noteBoxes(ImmutableList<Box> boxes) {
    membership.updateSeeds(
        boxes.stream()
            .filter(box -> box.role() == Box.Role.ENTRY && !box.leaving())
            .map(Box::address)
            .collect(toImmutableSet()));
  }

  /** Serves a message of a peer. */
  public CompletableFuture<PeerMessage> serve(PeerMessage message) {
    if (message instanceof RunOnce run) {
      return gate.serve(run);
    }
    if (message instanceof AskClaims ask) {
      return gate.once().serve(ask);
    }
    if (message instanceof HandOver part) {
      return CompletableFuture.completedFuture(takeRecords(part));
    }
    if (message instanceof Ping || message instanceof PingFor) {
      return membership.serve(message);
    }
    if (message instanceof AskHead || message instanceof AskPages) {
      return CompletableFuture.completedFuture(spread.serve(message));
    }
    return CompletableFuture.completedFuture(
        new PeerMessage.Failed("not a request: " + message.getClass().getSimpleName()));
  }

  /** A node that is going itself is no successor. */
  private PeerMessage takeRecords(HandOver part) {
    return lifecycle.phase() == Phase.READY
        ? gate.once().take(part)
        : new PeerMessage.Failed("this node is " + lifecycle.phase());
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
    StopTimes times = settings.limits().stop();
    CompletableFuture<Void> gone =
        Async.delay(outside.executor(), times.balancerLag())
            .thenCompose(lagOver -> refuseAndDrain())
            .thenCompose(drained -> gate.once().handOver())
            .thenAccept(membership::announceLeft);
    CompletableFuture<Void> bounded = new CompletableFuture<>();
    var timer = outside.executor().schedule(() -> bounded.complete(null), times.deadline());
    Async.onDone(gone, outside.executor(), (done, failure) -> bounded.complete(null));
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
    membership.stop();
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
  public ActiveConfiguration configuration() {
    return board;
  }

  /** Returns the endpoints that the node knows. */
  public EndpointTable endpoints() {
    return table;
  }

  /** Returns the other nodes that the node knows. */
  public MemberTable members() {
    return membership.table();
  }

  /** Returns what the node was told of itself. */
  public NodeSettings settings() {
    return settings;
  }
}
