package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * This node's leases in the store: the lease of its entry in the list of live nodes and, on the
 * node that is elected, the controller's lease.
 *
 * <p>The entries only show how many nodes share the endpoints and at which addresses they accept
 * connections from peers, so their lease is long: with a short one, renewals were two thirds of all
 * store calls of a large fleet. The controller's lease is short, and is opened only to claim the
 * role. Confined to the node's event loop.
 */
public final class NodeLease implements PrefixFollower.Listener {
  private static final Duration ENTRY_LIFETIME = Duration.ofSeconds(12);
  private static final Duration ENTRY_RENEWAL = Duration.ofSeconds(4);

  /** Delay before an entry whose write failed is written again. */
  private static final Duration ENTRY_RETRY_DELAY = Duration.ofSeconds(1);

  /**
   * When the entries of all nodes have expired, rewriting them is spread over this time per node.
   * Each takes two write calls, which makes 100 a second, the capacity of the smallest store.
   */
  private static final Duration ENTRY_REWRITE_SPREAD_PER_NODE = Duration.ofMillis(20);

  /** Bounds the time without a controller after the controller has crashed. */
  private static final Duration CONTROLLER_LIFETIME = Duration.ofMillis(3000);

  private static final Duration CONTROLLER_RENEWAL = Duration.ofMillis(1000);

  /**
   * Claims for the controller role are spread over this time per node, so that most nodes see the
   * winner before they make a claim; each claim costs a store call.
   */
  private static final Duration CLAIM_SPREAD_PER_NODE = Duration.ofMillis(25);

  /**
   * For this long after its entry was removed, a node still counts among those that share the
   * fleet-wide limits. In an outage of the store all entries may expire together; without this
   * period, each node would use the entire limits until the others had rewritten their entries,
   * which takes seven seconds at 350 nodes. Nobody can do that while the store is away, so the
   * period begins anew when it is back.
   */
  private static final Duration UNLISTED_GRACE_PERIOD = Duration.ofSeconds(10);

  private static final String NODES_PREFIX = "nodes/";
  private static final char RUN_SEPARATOR = '/';
  private static final char ERA_SEPARATOR = '.';

  /** Separates address, data centre, port for forwarded requests and token in a node's entry. */
  private static final char FIELD_SEPARATOR = ' ';

  private static final String CONTROLLER_KEY = "controller";

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final String prefix;
  private final String run;
  private final String dataCentre;

  /**
   * Name of this run in the store. It changes with each era, so that entries in a restored backup
   * do not refer to this run.
   */
  private String node;

  private final Supplier<Optional<HostPort>> address;
  private final Supplier<Optional<PeerRelay>> relay;
  private final Supplier<Duration> maxListAge;

  /** The live nodes by key, with their peer address if they accept peer connections. */
  private final Map<String, Optional<Peer>> nodes = new TreeMap<>();

  /** Nodes whose entries were removed, by box. */
  private final Map<String, Unlisted> unlisted = new TreeMap<>();

  /** When the store last answered; what it says of nodes is known up to then. */
  private long upToDateAt;

  private boolean storeAway;

  /** Cached until the next change, because it is read for each report to a peer. */
  private Optional<ImmutableList<Peer>> peers = Optional.empty();

  private record Unlisted(Peer peer, long removedAt) {}

  private final AutoRenewedLease entry;
  private final AutoRenewedLease controller;
  private final List<Runnable> controllerListeners = new ArrayList<>();
  private OptionalLong fence = OptionalLong.empty();
  private Optional<StorePosition> entryCreatedAt = Optional.empty();
  private boolean entryExisted;
  private int liveNodes = 1;

  /** When the list last began to show this run's entry; empty while it does not. */
  private OptionalLong listedSince = OptionalLong.empty();

  private OptionalLong countedSince = OptionalLong.empty();

  /** Boxes that have shown, since this run's entry was listed, that they list this box. */
  private final Set<String> listedBy = new HashSet<>();

  /** When the list last lost an entry; empty if it has not. */
  private OptionalLong lastRemovalAt = OptionalLong.empty();

  /** Live nodes before the outage: the number of nodes that may have to rewrite their entries. */
  private int nodesBeforeOutage = 1;

  private boolean controllerPresent;
  private boolean mayControl = true;
  private boolean loaded;
  private boolean stopped;

  private NodeLease(
      Executor clock,
      Random random,
      SharedStore store,
      SuspensionDetector suspensions,
      String prefix,
      String run,
      String dataCentre,
      Supplier<Optional<HostPort>> address,
      Supplier<Optional<PeerRelay>> relay,
      Supplier<Duration> maxListAge) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.store = checkNotNull(store);
    this.prefix = checkNotNull(prefix);
    this.run = checkNotNull(run);
    node = run;
    this.dataCentre = checkNotNull(dataCentre);
    this.address = checkNotNull(address);
    this.relay = checkNotNull(relay);
    this.maxListAge = checkNotNull(maxListAge);
    entry =
        new AutoRenewedLease(
            clock,
            store,
            suspensions,
            ENTRY_LIFETIME,
            ENTRY_RENEWAL,
            this::writeEntry,
            cause -> EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", false));
    controller =
        new AutoRenewedLease(
            clock,
            store,
            suspensions,
            CONTROLLER_LIFETIME,
            CONTROLLER_RENEWAL,
            this::writeClaim,
            this::handleControllerLeaseLost);
  }

  /**
   * Returns leases that are opened by {@link #start}.
   *
   * @param suspensions after a suspension of the box, the leases are renewed immediately
   * @param prefix prefix of all keys of this product
   * @param box name of the box
   * @param dataCentre data centre of the box
   * @param run identifies this run of the process; unique among all runs
   * @param address address on which this node receives load reports, if it does
   * @param relay where this node accepts requests that peers forward, if it does
   * @param maxListAge the maximum age of the list of nodes with which a node forwards requests
   */
  public static NodeLease create(
      Executor clock,
      Random random,
      SharedStore store,
      SuspensionDetector suspensions,
      String prefix,
      String box,
      String dataCentre,
      String run,
      Supplier<Optional<HostPort>> address,
      Supplier<Optional<PeerRelay>> relay,
      Supplier<Duration> maxListAge) {
    String node = box + RUN_SEPARATOR + run;
    return new NodeLease(
        clock, random, store, suspensions, prefix, node, dataCentre, address, relay, maxListAge);
  }

  /** Adds a listener that runs each time this node becomes the controller. */
  public void onControllerWon(Runnable listener) {
    controllerListeners.add(listener);
  }

  /** Writes the node's entry and starts to renew its lease. */
  public void start() {
    entry.start();
  }

  /** Ends the leases, so that other nodes need not wait for them to expire. */
  public void stop() {
    stopped = true;
    fence = OptionalLong.empty();
    controller.end();
    entry.end();
  }

  /**
   * Sets whether this node may be the controller. If not, it ends the lease if it holds it, so that
   * another node takes over.
   */
  public void setMayControl(boolean value) {
    mayControl = value;
    if (!mayControl) {
      fence = OptionalLong.empty();
      controller.end();
    } else if (!controllerPresent) {
      scheduleClaim();
    }
  }

  /** Returns the number of live nodes, including this one. */
  public int liveNodes() {
    return liveNodes;
  }

  /** Returns the other live nodes that accept peer connections, in a stable order. */
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
   * Returns the other nodes that may use a share of the fleet-wide limits: the {@link #peers}, and
   * those whose entries were removed so recently that they may have expired in an outage.
   */
  public ImmutableList<Peer> sharingPeers() {
    long oldest = upToDateAt - UNLISTED_GRACE_PERIOD.toNanos();
    peers().forEach(peer -> unlisted.remove(peer.box()));
    unlisted.remove(boxOf(node));
    unlisted.values().removeIf(node -> node.removedAt() < oldest);
    return Stream.concat(peers().stream(), unlisted.values().stream().map(Unlisted::peer))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns how many nodes may use a share of the fleet-wide limits, including this one. */
  public int sharingNodes() {
    long boxes = sharingPeers().stream().map(Peer::box).distinct().count();
    return Math.max(liveNodes, (int) boxes + 1);
  }

  /**
   * Returns since when all other nodes that forward requests count this one, in nanoseconds of the
   * clock; empty while some may not. A box that is counted stays so: the nodes that know it count
   * it for a while after its entry was removed.
   */
  public OptionalLong countedSince() {
    return countedSince;
  }

  /**
   * Records a report of a peer. Peers report only to boxes that they list, so the peer counts this
   * one.
   *
   * @param box the peer's box
   */
  public void recordReportOf(String box) {
    if (listedSince.isPresent() && countedSince.isEmpty() && listedBy.add(box)) {
      countIfAllReported();
    }
  }

  /**
   * Records that the others count this box if all of them have reported to it. The list is newer
   * than this run's entry, so it shows each node that was listed before; those that are listed
   * later read this run's entry with their own. A node that is cut off from the store stops
   * forwarding before its entry expires. If entries were lost otherwise, those who lost them write
   * them again while the reserve that this run may use is still small.
   */
  private void countIfAllReported() {
    if (storeAway || listedSince.isEmpty() || countedSince.isPresent()) {
      return;
    }
    ImmutableSet<String> others = otherBoxes();
    if (others.isEmpty() ? !hasLostEntriesLately() : listedBy.containsAll(others)) {
      recordCounted(others.isEmpty() ? "alone" : "reports");
    }
  }

  /** Returns the other boxes that are listed, or were until lately. */
  private ImmutableSet<String> otherBoxes() {
    String own = boxOf(NODES_PREFIX + node);
    return Stream.concat(
            nodes.keySet().stream().map(NodeLease::boxOf),
            sharingPeers().stream().map(peer -> NODES_PREFIX + peer.box()))
        .filter(box -> !box.equals(own))
        .map(box -> box.substring(NODES_PREFIX.length()))
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean hasLostEntriesLately() {
    return lastRemovalAt.isPresent()
        && upToDateAt - lastRemovalAt.getAsLong() < UNLISTED_GRACE_PERIOD.toNanos();
  }

  private void forgetOwnListing() {
    listedSince = OptionalLong.empty();
    listedBy.clear();
  }

  private void recordListed() {
    if (listedSince.isEmpty()) {
      long now = clock.currentTime(NANOSECONDS);
      listedSince = OptionalLong.of(now);
      clock.schedule(this::countIfInAllLists, maxListAge.get().toNanos(), NANOSECONDS);
    }
  }

  /**
   * Records that the others count this box if it has been listed for as long as a node forwards
   * requests with an old list. While the store is away, this node may not know the others.
   */
  private void countIfInAllLists() {
    if (storeAway || listedSince.isEmpty() || countedSince.isPresent()) {
      return;
    }
    long listedNanos = clock.currentTime(NANOSECONDS) - listedSince.getAsLong();
    if (listedNanos >= maxListAge.get().toNanos()) {
      recordCounted("listed");
    }
  }

  private void recordCounted(String cause) {
    if (countedSince.isEmpty()) {
      countedSince = OptionalLong.of(clock.currentTime(NANOSECONDS));
      EventLog.info(Event.NODE_COUNTED, "cause", cause, "nodes", sharingNodes());
    }
  }

  /**
   * Records that the others count this box if its entry was written while that of an earlier run
   * was listed: then each list that they have read shows one of them.
   */
  private void countIfListedWithoutGap() {
    if (countedSince.isEmpty() && listedSince.isPresent() && isEarlierRunListed()) {
      recordCounted("earlier run");
    }
  }

  /** Returns whether an earlier run on this box is listed. */
  private boolean isEarlierRunListed() {
    return nodes.keySet().stream()
        .anyMatch(
            name ->
                !name.equals(NODES_PREFIX + node)
                    && boxOf(name).equals(boxOf(NODES_PREFIX + node)));
  }

  private void recordRemoval() {
    lastRemovalAt = OptionalLong.of(clock.currentTime(NANOSECONDS));
  }

  private void recordUnlisted(Peer peer) {
    unlisted.put(peer.box(), new Unlisted(peer, clock.currentTime(NANOSECONDS)));
  }

  private void countNodes() {
    // Counts boxes, because an earlier run on a box may be listed until its lease expires. Always
    // counts this node, even if its entry is missing: with too low a count, each node would use too
    // large a share of the fleet-wide limits.
    Stream<String> listed = nodes.keySet().stream();
    liveNodes =
        (int)
            Stream.concat(listed, Stream.of(NODES_PREFIX + node))
                .map(NodeLease::boxOf)
                .distinct()
                .count();
  }

  /** Returns whether a name is that of a run on a box; other writers may leave other names. */
  private static boolean isRun(String name) {
    return name.lastIndexOf(RUN_SEPARATOR) > 0;
  }

  private static String boxOf(String node) {
    return node.substring(0, node.lastIndexOf(RUN_SEPARATOR));
  }

  /** Returns the fencing token of the controller's lease while this node is the controller. */
  public OptionalLong controllerFence() {
    return controller.isHeld() ? fence : OptionalLong.empty();
  }

  private void writeEntry(long lease) {
    String value = address.get().map(this::entryValue).orElse("");
    Async.onDone(
        store.create(prefix + NODES_PREFIX + node, value, lease),
        clock,
        (created, failure) -> {
          if (!entry.id().equals(OptionalLong.of(lease))) {
            return;
          }
          entryCreatedAt = failure == null ? created : Optional.empty();
          // No other run uses this key: if it exists, an earlier write of this node took effect. If
          // that write was under an earlier lease, the key is removed with that lease.
          entryExisted = failure == null && created.isEmpty();
          if (failure != null) {
            clock.schedule(() -> rewriteEntry(lease), ENTRY_RETRY_DELAY.toNanos(), NANOSECONDS);
          }
        });
  }

  private String entryValue(HostPort own) {
    String value = own.toString() + FIELD_SEPARATOR + dataCentre;
    return relay
        .get()
        .map(
            accepts ->
                value
                    + FIELD_SEPARATOR
                    + accepts.address().port()
                    + FIELD_SEPARATOR
                    + accepts.token())
        .orElse(value);
  }

  private void rewriteEntry(long lease) {
    if (entry.id().equals(OptionalLong.of(lease))) {
      writeEntry(lease);
    }
  }

  private void handleControllerLeaseLost(String cause) {
    EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", fence.isPresent());
    fence = OptionalLong.empty();
    controller.release();
    scheduleClaim();
  }

  private void scheduleClaim() {
    long spread = CLAIM_SPREAD_PER_NODE.toNanos() * liveNodes();
    long wait = (long) (random.nextDouble() * spread);
    clock.schedule(this::claim, wait, NANOSECONDS);
  }

  private void claim() {
    if (loaded && mayControl && !controllerPresent && !stopped) {
      controller.start();
    }
  }

  private void writeClaim(long lease) {
    Async.onDone(
        store.create(prefix + CONTROLLER_KEY, node, lease),
        clock,
        (created, failure) -> {
          if (!controller.id().equals(OptionalLong.of(lease))) {
            return;
          }
          if (failure != null) {
            // The write may have taken effect; the watch then delivers this node's name.
            clock.schedule(
                () -> abandonClaimUnlessWon(lease), CONTROLLER_RENEWAL.toNanos(), NANOSECONDS);
          } else if (created.isPresent()) {
            becomeController(created.get());
          } else {
            controller.release();
          }
        });
  }

  private void abandonClaimUnlessWon(long lease) {
    if (fence.isEmpty() && controller.id().equals(OptionalLong.of(lease))) {
      controller.end();
      scheduleClaim();
    }
  }

  private void becomeController(StorePosition createdAt) {
    controllerPresent = true;
    boolean wasController = fence.isPresent();
    fence = OptionalLong.of(createdAt.toLong());
    if (!wasController) {
      EventLog.info(Event.LEASE_WON, "fence", createdAt.toLong());
      controllerListeners.forEach(Runnable::run);
    }
  }

  @Override
  public void upToDate() {
    upToDateAt = clock.currentTime(NANOSECONDS);
    if (storeAway) {
      storeAway = false;
      unlisted.replaceAll((box, node) -> new Unlisted(node.peer(), upToDateAt));
    }
    countIfInAllLists();
    countIfAllReported();
  }

  @Override
  public void unavailable(StoreOutage outage) {
    storeAway = true;
    if (outage.failedCalls() == 1) {
      nodesBeforeOutage = liveNodes;
    }
  }

  /**
   * Abandons the leases: a store that was restored from a backup may assign their ids to other
   * nodes. An earlier entry or claim that the backup still contains expires unused.
   */
  @Override
  public void newEra(long era) {
    String cause = "the store was restored from a backup";
    node = run + ERA_SEPARATOR + era;
    forgetOwnListing();
    entryCreatedAt = Optional.empty();
    entryExisted = false;
    nodesBeforeOutage = liveNodes;
    entry.markLost(cause, randomRewriteDelay());
    if (controller.id().isPresent() || fence.isPresent()) {
      EventLog.warn(Event.LEASE_LOST, "cause", cause, "controller", fence.isPresent());
    }
    fence = OptionalLong.empty();
    controller.release();
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    loaded = true;
    ImmutableSet<String> before = ImmutableSet.copyOf(nodes.keySet());
    nodes.values().forEach(peer -> peer.ifPresent(this::recordUnlisted));
    nodes.clear();
    peers = Optional.empty();
    controllerPresent = false;
    items.forEach(item -> apply(item, false));
    countNodes();
    if (!nodes.keySet().containsAll(before)) {
      recordRemoval();
    }
    if (!nodes.containsKey(NODES_PREFIX + node)) {
      forgetOwnListing();
    }
    countIfListedWithoutGap();
    if (!controllerPresent) {
      scheduleClaim();
    }
  }

  @Override
  public void change(StoreChanges.Change change) {
    apply(change.item(), change.removed());
    countNodes();
    countIfListedWithoutGap();
  }

  private void apply(StoredItem item, boolean removed) {
    String name = item.key().substring(prefix.length());
    if (name.startsWith(NODES_PREFIX)) {
      if (!isRun(name.substring(NODES_PREFIX.length()))) {
        EventLog.warn(Event.PEER_ADDRESS_NOT_READ, "entry", item.key(), "cause", "names no run");
        return;
      }
      peers = Optional.empty();
      if (removed) {
        nodes.getOrDefault(name, Optional.empty()).ifPresent(this::recordUnlisted);
        nodes.remove(name);
        recordRemoval();
        handleOwnEntryRemoval(name, item.changedAt());
      } else {
        nodes.put(name, parsePeer(item));
        if (name.equals(NODES_PREFIX + node)) {
          recordListed();
        }
      }
    } else if (name.equals(CONTROLLER_KEY)) {
      handleControllerChange(item, removed);
    }
  }

  /** Reopens the entry without waiting for the next renewal if it expired during a partition. */
  private void handleOwnEntryRemoval(String name, StorePosition removedAt) {
    boolean own = name.equals(NODES_PREFIX + node);
    if (own) {
      forgetOwnListing();
    }
    boolean removedSince = entryCreatedAt.isPresent() && removedAt.isAfter(entryCreatedAt.get());
    if (own && (entryExisted || removedSince)) {
      entryExisted = false;
      entry.markLost("this node's entry expired", randomRewriteDelay());
    }
  }

  private Duration randomRewriteDelay() {
    long spread = ENTRY_REWRITE_SPREAD_PER_NODE.toNanos() * nodesBeforeOutage;
    return Duration.ofNanos((long) (random.nextDouble() * spread));
  }

  private Optional<Peer> parsePeer(StoredItem entry) {
    if (entry.value().isEmpty()) {
      return Optional.empty();
    }
    String box = boxOf(entry.key().substring(prefix.length() + NODES_PREFIX.length()));
    List<String> parts = Splitter.on(FIELD_SEPARATOR).splitToList(entry.value());
    try {
      HostPort listenAddress = HostPort.parse(parts.get(0));
      String peerDataCentre = parts.size() > 1 ? parts.get(1) : "";
      return Optional.of(
          new Peer(box, peerDataCentre, listenAddress, parseRelay(listenAddress, parts)));
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.PEER_ADDRESS_NOT_READ, "entry", entry.key(), "cause", e.getMessage());
      return Optional.empty();
    }
  }

  /** Returns where a node accepts forwarded requests: on the same box, under another port. */
  private static Optional<PeerRelay> parseRelay(HostPort address, List<String> parts) {
    if (parts.size() < 4) {
      return Optional.empty();
    }
    HostPort relayAddress = HostPort.parse(address.host() + ":" + parts.get(2));
    return Optional.of(new PeerRelay(relayAddress, parts.get(3)));
  }

  private void handleControllerChange(StoredItem item, boolean removed) {
    if (fence.isPresent() && item.changedAt().toLong() < fence.getAsLong()) {
      return; // The change concerns an earlier controller.
    }
    controllerPresent = !removed;
    if (removed) {
      fence = OptionalLong.empty();
      controller.release();
      scheduleClaim();
    } else if (item.value().equals(node) && controller.id().isPresent()) {
      becomeController(item.createdAt());
    } else {
      fence = OptionalLong.empty();
      controller.release();
    }
  }
}
