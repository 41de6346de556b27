package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * The peers to which this node forwards requests while it does not reach enough endpoints.
 *
 * <p>Peers of the same data centre come first, and requests are spread over several peers. A peer
 * that declines, because it is isolated itself or stops, is avoided for a while; one that can't be
 * reached is taken only if there is no other. Nothing is sent to peers, and no connection is open,
 * while no request is forwarded. Confined to the node's event loop.
 */
public final class PeerNodes {
  /** Maximum number of peers of the same data centre, and of others, that are considered. */
  private static final int MAX_CANDIDATES_PER_GROUP = 4;

  /** Requests in flight that a peer of another data centre counts as having in addition. */
  private static final int REMOTE_PENALTY = 2;

  /** Time for which a peer that failed or fell silent is taken only if there is no other. */
  private static final Duration FAILURE_PENALTY_TIME = Duration.ofMillis(700);

  /** Requests in flight that such a peer counts as having in addition. */
  private static final int FAILURE_PENALTY = 1000;

  /** Time for which a peer that declined a request is avoided. */
  private static final Duration DECLINE_AVOIDANCE = Duration.ofMillis(1500);

  /**
   * Peers that may decline one after the other, without one that takes a request in between, before
   * none is tried for a while: the endpoints are down, or no node reaches them.
   */
  private static final int MAX_CONSECUTIVE_DECLINES = 12;

  private static final Duration PAUSE_AFTER_DECLINES = Duration.ofMillis(500);

  private final Executor clock;
  private final Random random;
  private final Supplier<ImmutableList<Peer>> peers;
  private final String dataCentre;
  private final EndpointTransport transport;
  private final Counters counters;
  private final Map<Peer, Candidate> candidates = new HashMap<>();
  private final Map<TrackedEndpoint, PeerRelay> relays = new HashMap<>();
  private final Map<TrackedEndpoint, Long> penaltyUntil = new HashMap<>();
  private ImmutableList<Peer> listed = ImmutableList.of();
  private Runnable onTaken = () -> {};
  private int consecutiveDeclines;
  private long pausedUntil = Long.MIN_VALUE;

  /**
   * A peer that accepts forwarded requests.
   *
   * @param order random, so that nodes of a large fleet choose different peers
   */
  private record Candidate(TrackedEndpoint endpoint, boolean remote, int order) {}

  private PeerNodes(
      Executor clock,
      Random random,
      Supplier<ImmutableList<Peer>> peers,
      String dataCentre,
      EndpointTransport transport,
      Counters counters) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.peers = checkNotNull(peers);
    this.dataCentre = checkNotNull(dataCentre);
    this.transport = checkNotNull(transport);
    this.counters = checkNotNull(counters);
  }

  /**
   * Returns the peers of a node.
   *
   * @param peers the other live nodes
   * @param dataCentre this node's data centre
   * @param transport sends requests to peers
   */
  public static PeerNodes create(
      Executor clock,
      Random random,
      Supplier<ImmutableList<Peer>> peers,
      String dataCentre,
      EndpointTransport transport,
      Counters counters) {
    return new PeerNodes(clock, random, peers, dataCentre, transport, counters);
  }

  /** Sets a listener that runs each time a peer serves a request of this node. */
  public void onTaken(Runnable listener) {
    onTaken = checkNotNull(listener);
  }

  /** Returns the transport to peers. */
  EndpointTransport transport() {
    return transport;
  }

  /** Returns whether any peer may take a request now. */
  boolean isAnyAvailable() {
    update();
    long now = now();
    return now >= pausedUntil
        && candidates.values().stream().anyMatch(candidate -> candidate.endpoint().usable(now));
  }

  /** Returns the peer with the fewest requests of this node, other than those excluded. */
  Optional<TrackedEndpoint> select(Set<TrackedEndpoint> excluded) {
    update();
    long now = now();
    if (now < pausedUntil) {
      return Optional.empty();
    }
    List<Candidate> usable = new ArrayList<>();
    for (Candidate candidate : candidates.values()) {
      if (candidate.endpoint().usable(now) && !excluded.contains(candidate.endpoint())) {
        usable.add(candidate);
      }
    }
    usable.sort(Comparator.comparing(Candidate::remote).thenComparing(Candidate::order));
    Optional<TrackedEndpoint> best = Optional.empty();
    double leastLoad = Double.MAX_VALUE;
    int near = 0;
    int remote = 0;
    for (Candidate candidate : usable) {
      int considered = candidate.remote() ? ++remote : ++near;
      if (considered > MAX_CANDIDATES_PER_GROUP) {
        continue;
      }
      double load = candidate.endpoint().inFlight() + random.nextDouble();
      load += candidate.remote() ? REMOTE_PENALTY : 0;
      load += now < penaltyUntil.getOrDefault(candidate.endpoint(), now) ? FAILURE_PENALTY : 0;
      if (load < leastLoad) {
        leastLoad = load;
        best = Optional.of(candidate.endpoint());
      }
    }
    return best;
  }

  /** Returns the token that a selected peer expects. */
  String tokenOf(TrackedEndpoint peer) {
    return relays.get(peer).token();
  }

  /** Records that a peer took a request, as a response of an endpoint arrived. */
  void recordTaken(TrackedEndpoint peer) {
    if (consecutiveDeclines > 0) {
      EventLog.info(Event.PEER_FOUND, "peer", peer, "declines", consecutiveDeclines);
    }
    consecutiveDeclines = 0;
    onTaken.run();
  }

  /** Records that a peer can't forward requests either, and avoids it for a while. */
  void recordDeclined(TrackedEndpoint peer) {
    peer.avoidUntil(now() + DECLINE_AVOIDANCE.toNanos());
    consecutiveDeclines++;
    counters.count(Metric.PEER_HOPS, "declined");
    if (consecutiveDeclines >= MAX_CONSECUTIVE_DECLINES) {
      counters.count(Metric.PEER_HOPS, "paused");
      EventLog.warn(
          Event.PEER_SEARCH_PAUSED,
          "declines",
          consecutiveDeclines,
          "peers",
          candidates.size(),
          "pauseMs",
          PAUSE_AFTER_DECLINES.toMillis());
      consecutiveDeclines = 0;
      pausedUntil = now() + PAUSE_AFTER_DECLINES.toNanos();
    }
  }

  /** Prefers other peers for a while, because this one can't be reached or does not respond. */
  void recordFailure(TrackedEndpoint peer) {
    penaltyUntil.put(peer, now() + FAILURE_PENALTY_TIME.toNanos());
  }

  private void update() {
    penaltyUntil.values().removeIf(until -> until <= now());
    ImmutableList<Peer> current = peers.get();
    if (current.equals(listed)) {
      return;
    }
    listed = current;
    Set<Peer> live = new HashSet<>(current);
    candidates.keySet().retainAll(live);
    live.forEach(peer -> peer.relay().ifPresent(relay -> add(peer, relay)));
    relays
        .keySet()
        .removeIf(
            endpoint ->
                endpoint.inFlight() == 0
                    && candidates.values().stream().noneMatch(each -> each.endpoint() == endpoint));
  }

  private void add(Peer peer, PeerRelay relay) {
    if (candidates.containsKey(peer)) {
      return;
    }
    TrackedEndpoint endpoint = TrackedEndpoint.ofPeer(describe(peer, relay));
    boolean remote = !peer.dataCentre().equals(dataCentre);
    candidates.put(peer, new Candidate(endpoint, remote, random.nextInt()));
    relays.put(endpoint, relay);
  }

  private static FleetEndpoint describe(Peer peer, PeerRelay relay) {
    return new FleetEndpoint(
        peer.box(),
        "",
        relay.address(),
        peer.dataCentre(),
        Integer.MAX_VALUE,
        false,
        Optional.empty(),
        "",
        StorePosition.START);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
