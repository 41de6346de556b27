package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.servicetalk.concurrent.Executor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.StartLimit;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;

/**
 * This node's share of what endpoints take from all nodes together.
 *
 * <p>A limit of a few requests a second can't be dealt out to hundreds of nodes: each would send so
 * rarely that its requests together come in bursts, or not at all. So a few nodes share an
 * endpoint, as many as get {@link #LEAST_SHARE} each, and the others leave it alone. Which ones
 * follows from the endpoint's id and the names of the live boxes, so nodes need not agree by
 * messages, and a box that comes or goes changes one of them. They are of the endpoint's data
 * centre, if it has nodes: those use it most. As each node has at most one start in hand, all
 * together send at most the limit, and as many requests more as there are such nodes. Confined to
 * the node's event loop.
 */
public final class StartShares {
  /**
   * Requests a second that a node's share is worth at least, unless one node has all. With it, the
   * sharing nodes' starts in hand are at most what the endpoint takes in two seconds.
   */
  private static final double LEAST_SHARE = 0.5;

  /**
   * An endpoint that takes none is sent a request this often, by all nodes together: its answer is
   * the only sign that it takes more.
   */
  private static final double LEAST_PER_SECOND = 0.2;

  /**
   * After this long without an answer to any node, those that share it may have no requests for it.
   */
  private static final Duration STATEMENT_IS_OLD = Duration.ofSeconds(10);

  /**
   * Part of a limit that the other nodes then use between them: the sharing ones may send all the
   * same, if only their reports are lost.
   */
  private static final double OTHERS_PART = 0.25;

  private static final HashFunction ORDER = Hashing.murmur3_32_fixed();

  private final Executor clock;
  private final Random random;
  private final Fleet fleet;
  private final String box;
  private final String dataCentre;
  private final Supplier<ImmutableList<Peer>> peers;

  private StartShares(
      Executor clock,
      Random random,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.fleet = checkNotNull(fleet);
    this.box = checkNotNull(box);
    this.dataCentre = checkNotNull(dataCentre);
    this.peers = checkNotNull(peers);
  }

  /**
   * Keeps the node's shares up to date, before each choice among endpoints.
   *
   * @param box this node's box
   * @param dataCentre where it stands
   * @param peers the other nodes that may send requests, also those whose entries may have lapsed
   */
  public static void keep(
      Executor clock,
      Random random,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers) {
    StartShares shares = new StartShares(clock, random, fleet, box, dataCentre, peers);
    fleet.onChoice(shares::update);
  }

  private void update() {
    ImmutableList<TrackedEndpoint> limited = fleet.statements().limits().inForce();
    if (limited.isEmpty()) {
      return;
    }
    Map<String, String> dataCentres = dataCentreByBox();
    limited.forEach(endpoint -> update(endpoint, dataCentres));
  }

  /** Returns where each box stands; one has several entries while those of former runs lapse. */
  private Map<String, String> dataCentreByBox() {
    Map<String, String> dataCentres = new HashMap<>();
    peers.get().forEach(peer -> dataCentres.put(peer.box(), peer.dataCentre()));
    dataCentres.put(box, dataCentre);
    return dataCentres;
  }

  private void update(TrackedEndpoint endpoint, Map<String, String> dataCentres) {
    StartLimit limit = endpoint.startLimit();
    double perSecond = Math.max(LEAST_PER_SECOND, limit.stated().perSecond());
    long now = clock.currentTime(NANOSECONDS);
    double share = sharePerSecond(endpoint.endpoint(), perSecond, dataCentres);
    if (share == 0 && now - limit.heardAt() > STATEMENT_IS_OLD.toNanos()) {
      share = perSecond * OTHERS_PART / dataCentres.size();
    }
    limit.share(share, random.nextDouble(), now);
  }

  private double sharePerSecond(
      FleetEndpoint endpoint, double perSecond, Map<String, String> dataCentres) {
    ImmutableList<String> near = boxesNear(endpoint, dataCentres);
    if (!near.contains(box)) {
      return 0;
    }
    int most = (int) Math.min(near.size(), perSecond / LEAST_SHARE);
    int sharing = Math.max(1, most);
    long before = near.stream().filter(other -> isBefore(endpoint, other)).count();
    return before < sharing ? perSecond / sharing : 0;
  }

  /** Returns the boxes of the endpoint's data centre, or all if it has none. */
  private static ImmutableList<String> boxesNear(
      FleetEndpoint endpoint, Map<String, String> dataCentres) {
    boolean any = dataCentres.containsValue(endpoint.dataCentre());
    return dataCentres.entrySet().stream()
        .filter(each -> !any || each.getValue().equals(endpoint.dataCentre()))
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether another box comes before this one in the order of an endpoint. */
  private boolean isBefore(FleetEndpoint endpoint, String other) {
    int own = order(endpoint, box);
    int others = order(endpoint, other);
    return others < own || (others == own && other.compareTo(box) < 0);
  }

  /** Returns a box's place in the order of an endpoint, the same on all nodes. */
  private static int order(FleetEndpoint endpoint, String box) {
    return ORDER.hashString(endpoint.id() + '/' + box, StandardCharsets.UTF_8).asInt();
  }
}
