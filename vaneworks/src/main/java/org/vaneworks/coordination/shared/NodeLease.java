package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * This node's leases in the store: that of its entry among the live nodes and, on one node, the
 * controller's.
 *
 * <p>The entry only tells how many nodes share the endpoints and where they listen for their peers,
 * so its lease is long: short ones were two thirds of all calls of a large fleet. The controller's
 * is short, and opened to claim it. Confined to the node's event loop.
 */
public final class NodeLease implements PrefixFollower.Listener {
  private static final Duration ENTRY_LIFETIME = Duration.ofSeconds(12);
  private static final Duration ENTRY_RENEWAL = Duration.ofSeconds(4);

  /** How long after an entry was not written, perhaps, it is written again. */
  private static final Duration ENTRY_RETRY = Duration.ofSeconds(1);

  /**
   * Nodes whose entries lapsed together write them again spread over this much a node: two writing
   * calls each, so a hundred a second, which is what the smallest store takes.
   */
  private static final Duration ENTRY_SPREAD_A_NODE = Duration.ofMillis(20);

  /** Bounds how long engines are without a controller after a crash. */
  private static final Duration CONTROLLER_LIFETIME = Duration.ofMillis(3000);

  private static final Duration CONTROLLER_RENEWAL = Duration.ofMillis(1000);

  /**
   * Claims of all nodes are spread over this much a node, so that most nodes have seen the winner
   * before their own turn; each claim is a call that the store counts.
   */
  private static final Duration CLAIM_SPREAD_A_NODE = Duration.ofMillis(25);

  /**
   * A node counts among those that share what all may use for this long after its entry went. In an
   * outage of the store all entries may lapse at once; without this, each node would take the whole
   * until the others had written theirs again, seven seconds at 350 nodes.
   */
  private static final Duration UNLISTED_COUNTS = Duration.ofSeconds(10);

  private static final String NODES = "nodes/";
  private static final char RUN_SEPARATOR = '/';
  private static final char ERA_SEPARATOR = '.';

  /** In a node's entry, between its address and its data centre. */
  private static final char FIELD_SEPARATOR = ' ';

  private static final String CONTROLLER = "controller";

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final String prefix;
  private final String run;
  private final String dataCentre;

  /** Names this run in the store; another in each era, so that a copy names it no more. */
  private String node;

  private final Supplier<Optional<HostPort>> address;

  /** The live nodes by name, with where each listens for its peers, if it does. */
  private final Map<String, Optional<Peer>> nodes = new TreeMap<>();

  /** Nodes whose entries went, by box, with when they did. */
  private final Map<String, Unlisted> unlisted = new TreeMap<>();

  /** Made anew after a change only: it is read for each report to a peer. */
  private Optional<ImmutableList<Peer>> peers = Optional.empty();

  private record Unlisted(Peer peer, long at) {}

  private final HeldLease entry;
  private final HeldLease controller;
  private final List<Runnable> wonListeners = new ArrayList<>();
  private OptionalLong fence = OptionalLong.empty();
  private Optional<StorePosition> entryCreatedAt = Optional.empty();
  private boolean entryWasThere;
  private int liveNodes = 1;

  /** Counted before the store was silent: those that may have to write their entries again. */
  private int nodesBeforeSilence = 1;

  private boolean controllerPresent;
  private boolean followed;
  private boolean stopped;

  private NodeLease(
      Executor clock,
      Random random,
      SharedStore store,
      SuspensionWatch suspensions,
      String prefix,
      String run,
      String dataCentre,
      Supplier<Optional<HostPort>> address) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.store = checkNotNull(store);
    this.prefix = checkNotNull(prefix);
    this.run = checkNotNull(run);
    node = run;
    this.dataCentre = checkNotNull(dataCentre);
    this.address = checkNotNull(address);
    entry =
        new HeldLease(
            clock,
            store,
            suspensions,
            ENTRY_LIFETIME,
            ENTRY_RENEWAL,
            this::writeEntry,
            cause -> EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", false));
    controller =
        new HeldLease(
            clock,
            store,
            suspensions,
            CONTROLLER_LIFETIME,
            CONTROLLER_RENEWAL,
            this::writeClaim,
            this::controllerLost);
  }

  /**
   * Returns a lease that is opened by {@link #start}.
   *
   * @param suspensions after one the leases are renewed at once
   * @param prefix of all keys of this product
   * @param box the box's name
   * @param dataCentre where it stands
   * @param run this run of the process; no two runs share it
   * @param address where this node listens for its peers, if it does
   */
  public static NodeLease create(
      Executor clock,
      Random random,
      SharedStore store,
      SuspensionWatch suspensions,
      String prefix,
      String box,
      String dataCentre,
      String run,
      Supplier<Optional<HostPort>> address) {
    String node = box + RUN_SEPARATOR + run;
    return new NodeLease(clock, random, store, suspensions, prefix, node, dataCentre, address);
  }

  /** Calls back each time that this node has become the controller. */
  public void onControllerWon(Runnable listener) {
    wonListeners.add(listener);
  }

  /** Writes the node's entry and keeps it. */
  public void start() {
    entry.keep();
  }

  /** Ends the leases, so that others need not wait for them to lapse. */
  public void stop() {
    stopped = true;
    fence = OptionalLong.empty();
    controller.end();
    entry.end();
  }

  /** Returns the number of live nodes, this one included. */
  public int liveNodes() {
    return liveNodes;
  }

  /** Returns the other live nodes that listen for their peers, in a stable order. */
  public ImmutableList<Peer> peers() {
    if (peers.isEmpty()) {
      peers = Optional.of(otherPeers());
    }
    return peers.get();
  }

  private ImmutableList<Peer> otherPeers() {
    Optional<HostPort> own = address.get();
    return nodes.values().stream()
        .flatMap(Optional::stream)
        .filter(peer -> !own.equals(Optional.of(peer.address())))
        .distinct()
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the other nodes that may use a part of what all nodes share: the {@link #peers}, and
   * those whose entries went so lately that they may only have lapsed.
   */
  public ImmutableList<Peer> sharingPeers() {
    long oldest = clock.currentTime(NANOSECONDS) - UNLISTED_COUNTS.toNanos();
    peers().forEach(peer -> unlisted.remove(peer.box()));
    unlisted.remove(boxOf(node));
    unlisted.values().removeIf(each -> each.at() < oldest);
    return Stream.concat(peers().stream(), unlisted.values().stream().map(Unlisted::peer))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns how many nodes may use a part of what all nodes share, this one included. */
  public int sharingNodes() {
    long boxes = sharingPeers().stream().map(Peer::box).distinct().count();
    return Math.max(liveNodes, (int) boxes + 1);
  }

  private void noteUnlisted(Peer peer) {
    unlisted.put(peer.box(), new Unlisted(peer, clock.currentTime(NANOSECONDS)));
  }

  private void countNodes() {
    // An earlier run of a box's process may be listed until its lease lapses, and this node's entry
    // may be missing: counted too low, each node would take too much of what all share.
    Stream<String> listed = nodes.keySet().stream();
    liveNodes =
        (int)
            Stream.concat(listed, Stream.of(NODES + node)).map(NodeLease::boxOf).distinct().count();
  }

  private static String boxOf(String node) {
    return node.substring(0, node.lastIndexOf(RUN_SEPARATOR));
  }

  /** Returns the controller's fence while this node is the controller. */
  public OptionalLong controllerFence() {
    return controller.isHeld() ? fence : OptionalLong.empty();
  }

  private void writeEntry(long lease) {
    String value = address.get().map(at -> at.toString() + FIELD_SEPARATOR + dataCentre).orElse("");
    Async.onDone(
        store.create(prefix + NODES + node, value, lease),
        clock,
        (created, failure) -> {
          if (!entry.id().equals(OptionalLong.of(lease))) {
            return;
          }
          entryCreatedAt = failure == null ? created : Optional.empty();
          // No other run has this key: if it exists, an earlier try was done after all. If that was
          // under a former lease, it goes with that one.
          entryWasThere = failure == null && created.isEmpty();
          if (failure != null) {
            clock.schedule(() -> writeEntryAgain(lease), ENTRY_RETRY.toNanos(), NANOSECONDS);
          }
        });
  }

  private void writeEntryAgain(long lease) {
    if (entry.id().equals(OptionalLong.of(lease))) {
      writeEntry(lease);
    }
  }

  private void controllerLost(String cause) {
    EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", fence.isPresent());
    fence = OptionalLong.empty();
    controller.release();
    claimLater();
  }

  private void claimLater() {
    long spread = CLAIM_SPREAD_A_NODE.toNanos() * liveNodes();
    long wait = (long) (random.nextDouble() * spread);
    clock.schedule(this::claim, wait, NANOSECONDS);
  }

  private void claim() {
    if (followed && !controllerPresent && !stopped) {
      controller.keep();
    }
  }

  private void writeClaim(long lease) {
    Async.onDone(
        store.create(prefix + CONTROLLER, node, lease),
        clock,
        (created, failure) -> {
          if (!controller.id().equals(OptionalLong.of(lease))) {
            return;
          }
          if (failure != null) {
            // It may have been written all the same; the watch then shows this node's name.
            clock.schedule(() -> giveUpUnlessWon(lease), CONTROLLER_RENEWAL.toNanos(), NANOSECONDS);
          } else if (created.isPresent()) {
            won(created.get());
          } else {
            controller.release();
          }
        });
  }

  private void giveUpUnlessWon(long lease) {
    if (fence.isEmpty() && controller.id().equals(OptionalLong.of(lease))) {
      controller.end();
      claimLater();
    }
  }

  private void won(StorePosition createdAt) {
    controllerPresent = true;
    boolean wasController = fence.isPresent();
    fence = OptionalLong.of(createdAt.toLong());
    if (!wasController) {
      EventLog.info(Event.LEASE_WON, "fence", createdAt.toLong());
      wonListeners.forEach(Runnable::run);
    }
  }

  @Override
  public void silent(StoreSilence silence) {
    if (silence.failedCalls() == 1) {
      nodesBeforeSilence = liveNodes;
    }
  }

  /**
   * Drops the leases: in a store that has come back from a copy their ids may be given to others. A
   * former entry or claim that the copy still has lapses unused.
   */
  @Override
  public void newEra(long era) {
    String cause = "the store came back from an older copy";
    node = run + ERA_SEPARATOR + era;
    entryCreatedAt = Optional.empty();
    entryWasThere = false;
    nodesBeforeSilence = liveNodes;
    entry.over(cause, entrySpread());
    if (controller.id().isPresent() || fence.isPresent()) {
      EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", fence.isPresent());
    }
    fence = OptionalLong.empty();
    controller.release();
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    followed = true;
    nodes.values().forEach(peer -> peer.ifPresent(this::noteUnlisted));
    nodes.clear();
    peers = Optional.empty();
    controllerPresent = false;
    items.forEach(item -> take(item, false));
    countNodes();
    if (!controllerPresent) {
      claimLater();
    }
  }

  @Override
  public void change(StoreChanges.Change change) {
    take(change.item(), change.removed());
    countNodes();
  }

  private void take(StoredItem item, boolean removed) {
    String name = item.key().substring(prefix.length());
    if (name.startsWith(NODES)) {
      peers = Optional.empty();
      if (removed) {
        nodes.getOrDefault(name, Optional.empty()).ifPresent(this::noteUnlisted);
        nodes.remove(name);
        takeOwnRemoval(name, item.changedAt());
      } else {
        nodes.put(name, peerIn(item));
      }
    } else if (name.equals(CONTROLLER)) {
      takeController(item, removed);
    }
  }

  /** An entry that lapsed while this node was cut off need not wait for the next renewal. */
  private void takeOwnRemoval(String name, StorePosition removedAt) {
    boolean own = name.equals(NODES + node);
    boolean removedSince = entryCreatedAt.isPresent() && removedAt.isAfter(entryCreatedAt.get());
    if (own && (entryWasThere || removedSince)) {
      entryWasThere = false;
      entry.over("this node's entry lapsed", entrySpread());
    }
  }

  private Duration entrySpread() {
    long spread = ENTRY_SPREAD_A_NODE.toNanos() * nodesBeforeSilence;
    return Duration.ofNanos((long) (random.nextDouble() * spread));
  }

  private Optional<Peer> peerIn(StoredItem entry) {
    if (entry.value().isEmpty()) {
      return Optional.empty();
    }
    String box = boxOf(entry.key().substring(prefix.length() + NODES.length()));
    List<String> parts = Splitter.on(FIELD_SEPARATOR).limit(2).splitToList(entry.value());
    try {
      HostPort listens = HostPort.parse(parts.get(0));
      return Optional.of(new Peer(box, parts.size() > 1 ? parts.get(1) : "", listens));
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.PEER_ADDRESS_NOT_READ, "entry", entry.key(), "cause", e.getMessage());
      return Optional.empty();
    }
  }

  private void takeController(StoredItem item, boolean removed) {
    if (fence.isPresent() && item.changedAt().toLong() < fence.getAsLong()) {
      return; // It tells of an earlier controller.
    }
    controllerPresent = !removed;
    if (removed) {
      fence = OptionalLong.empty();
      controller.release();
      claimLater();
    } else if (item.value().equals(node) && controller.id().isPresent()) {
      won(item.createdAt());
    } else {
      fence = OptionalLong.empty();
      controller.release();
    }
  }
}
