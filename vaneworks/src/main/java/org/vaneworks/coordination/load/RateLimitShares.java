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
import org.vaneworks.coordination.fleet.EndpointRateLimit;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;

/**
 * Computes this node's share of the rate limits of endpoints.
 *
 * <p>A limit of a few requests per second cannot be divided among hundreds of nodes: each node
 * would send so rarely that their requests arrive in bursts, or not at all. Instead, as many nodes
 * as can each get {@link #MIN_SHARE} share an endpoint, and the others do not use it. The sharing
 * nodes are determined by the endpoint's ID and the names of the live boxes, so nodes need not
 * coordinate, and a box that joins or leaves changes at most one of them. They are nodes of the
 * endpoint's data centre, if it has any, because those use the endpoint most. A node can save up at
 * most one request, so all nodes together exceed the limit by at most one request per sharing node.
 * Confined to the node's event loop.
 */
public final class RateLimitShares {
  /**
   * Minimum share of a sharing node in requests per second, unless one node has the whole limit.
   * With this minimum, the saved-up requests of the sharing nodes are at most what the endpoint
   * accepts in two seconds.
   */
  private static final double MIN_SHARE = 0.5;

  /**
   * Minimum rate, in requests per second over all nodes, at which an endpoint is used even if its
   * limit is zero: only its answers show that it accepts more.
   */
  private static final double MIN_PER_SECOND = 0.2;

  /**
   * Time without an announcement to any node after which the other nodes also send requests: the
   * sharing nodes may have none for the endpoint.
   */
  private static final Duration LIMIT_EXPIRY = Duration.ofSeconds(10);

  /**
   * Fraction of the limit that the other nodes then use together. It is small because the sharing
   * nodes may still be sending, with only their reports lost.
   */
  private static final double OTHERS_FRACTION = 0.25;

  private static final HashFunction ORDER_HASH = Hashing.murmur3_32_fixed();

  private final Executor clock;
  private final Random random;
  private final Fleet fleet;
  private final String box;
  private final String dataCentre;
  private final Supplier<ImmutableList<Peer>> peers;

  private RateLimitShares(
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
   * Updates this node's shares before each selection among endpoints.
   *
   * @param box this node's box
   * @param dataCentre the data centre of this node's box
   * @param peers the other nodes that may send requests, including those whose entries may have
   *     lapsed
   */
  public static void maintain(
      Executor clock,
      Random random,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers) {
    RateLimitShares shares = new RateLimitShares(clock, random, fleet, box, dataCentre, peers);
    fleet.beforeSelection(shares::update);
  }

  private void update() {
    ImmutableList<TrackedEndpoint> limited = fleet.signals().rateLimits().inForce();
    if (limited.isEmpty()) {
      return;
    }
    Map<String, String> dataCentres = dataCentreByBox();
    limited.forEach(endpoint -> update(endpoint, dataCentres));
  }

  /**
   * Returns the data centre of each box. A box has several entries while those of its former
   * incarnations lapse.
   */
  private Map<String, String> dataCentreByBox() {
    Map<String, String> dataCentres = new HashMap<>();
    peers.get().forEach(peer -> dataCentres.put(peer.box(), peer.dataCentre()));
    dataCentres.put(box, dataCentre);
    return dataCentres;
  }

  private void update(TrackedEndpoint endpoint, Map<String, String> dataCentres) {
    EndpointRateLimit rateLimit = endpoint.rateLimit();
    double perSecond = Math.max(MIN_PER_SECOND, rateLimit.limit().perSecond());
    long now = clock.currentTime(NANOSECONDS);
    double share = sharePerSecond(endpoint.endpoint(), perSecond, dataCentres);
    if (share == 0 && now - rateLimit.receivedAt() > LIMIT_EXPIRY.toNanos()) {
      share = perSecond * OTHERS_FRACTION / dataCentres.size();
    }
    rateLimit.setShare(share, random.nextDouble(), now);
  }

  private double sharePerSecond(
      FleetEndpoint endpoint, double perSecond, Map<String, String> dataCentres) {
    ImmutableList<String> candidates = candidateBoxes(endpoint, dataCentres);
    if (!candidates.contains(box)) {
      return 0;
    }
    int maxSharing = (int) Math.min(candidates.size(), perSecond / MIN_SHARE);
    int sharing = Math.max(1, maxSharing);
    long preceding = candidates.stream().filter(other -> precedes(endpoint, other)).count();
    return preceding < sharing ? perSecond / sharing : 0;
  }

  /** Returns the boxes in the endpoint's data centre, or all boxes if there are none. */
  private static ImmutableList<String> candidateBoxes(
      FleetEndpoint endpoint, Map<String, String> dataCentres) {
    boolean hasLocal = dataCentres.containsValue(endpoint.dataCentre());
    return dataCentres.entrySet().stream()
        .filter(each -> !hasLocal || each.getValue().equals(endpoint.dataCentre()))
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether another box precedes this one in the order of an endpoint. */
  private boolean precedes(FleetEndpoint endpoint, String other) {
    int ownKey = sortKey(endpoint, box);
    int otherKey = sortKey(endpoint, other);
    return otherKey < ownKey || (otherKey == ownKey && other.compareTo(box) < 0);
  }

  /** Returns the sort key of a box in the order of an endpoint; the same on all nodes. */
  private static int sortKey(FleetEndpoint endpoint, String box) {
    return ORDER_HASH.hashString(endpoint.id() + '/' + box, StandardCharsets.UTF_8).asInt();
  }
}
