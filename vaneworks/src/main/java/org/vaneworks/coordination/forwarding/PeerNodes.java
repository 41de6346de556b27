package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayList;
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

/**
 * The peers to which this node forwards requests while it does not reach enough endpoints.
 *
 * <p>What one request learns about a peer serves all requests of the node. Requests are spread over
 * the peers that are known to take them; {@link PeerSearch} finds such peers. One that can't be
 * reached is taken only if there is no other. Nothing is sent to peers, and no connection is open,
 * while no request is forwarded. Confined to the node's event loop.
 */
public final class PeerNodes {
  /** Requests in flight that a peer of another data centre counts as having in addition. */
  private static final int REMOTE_PENALTY = 2;

  private final Executor clock;
  private final Random random;
  private final Supplier<ImmutableList<Peer>> peers;
  private final String dataCentre;
  private final EndpointTransport transport;
  private final Map<Peer, PeerCandidate> candidates = new HashMap<>();

  /** The candidates, and former ones that still have requests of this node. */
  private final Map<TrackedEndpoint, PeerCandidate> byEndpoint = new HashMap<>();

  private final PeerSearch search;
  private ImmutableList<Peer> listed = ImmutableList.of();
  private Runnable onTaken = () -> {};

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
    search = new PeerSearch(counters);
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

  /** Returns whether any peer, other than those excluded, may take a request in milliseconds. */
  boolean isAnyAvailable(Set<TrackedEndpoint> excluded) {
    update();
    long now = now();
    List<PeerCandidate> included = new ArrayList<>();
    for (PeerCandidate candidate : candidates.values()) {
      if (!excluded.contains(candidate.endpoint())) {
        included.add(candidate);
      }
    }
    return included.stream().anyMatch(peer -> peer.takes(now) || peer.isAsked(now))
        || search.mayFind(included, now);
  }

  /**
   * Returns the peer that should receive a request, other than those excluded; nothing if none may
   * take it, or if it is better to wait until peers that have been asked respond.
   */
  Optional<TrackedEndpoint> select(Set<TrackedEndpoint> excluded) {
    update();
    long now = now();
    List<PeerCandidate> taking = new ArrayList<>();
    List<PeerCandidate> others = new ArrayList<>();
    for (PeerCandidate candidate : candidates.values()) {
      if (!excluded.contains(candidate.endpoint())) {
        (candidate.takes(now) ? taking : others).add(candidate);
      }
    }
    Optional<PeerCandidate> found = search.next(taking.size(), others, now);
    Optional<PeerCandidate> selected = found.isPresent() ? found : leastLoaded(taking);
    selected.ifPresent(peer -> peer.recordAsked(now));
    return selected.map(PeerCandidate::endpoint);
  }

  private Optional<PeerCandidate> leastLoaded(List<PeerCandidate> taking) {
    Optional<PeerCandidate> best = Optional.empty();
    double leastLoad = Double.MAX_VALUE;
    for (PeerCandidate candidate : taking) {
      double load = candidate.endpoint().inFlight() + random.nextDouble();
      load += candidate.isRemote() ? REMOTE_PENALTY : 0;
      if (load < leastLoad) {
        leastLoad = load;
        best = Optional.of(candidate);
      }
    }
    return best;
  }

  /** Returns the token that a selected peer expects. */
  String tokenOf(TrackedEndpoint peer) {
    return byEndpoint.get(peer).relay().token();
  }

  /** Records that a peer took a request, as a response of an endpoint arrived. */
  void recordTaken(TrackedEndpoint peer) {
    recordReaches(peer);
    onTaken.run();
  }

  /** Records that a peer reaches endpoints, though none had capacity for a request. */
  void recordReaches(TrackedEndpoint peer) {
    byEndpoint.get(peer).recordTook(now());
    search.found(peer);
  }

  /** Records that a peer can't forward requests either. */
  void recordDeclined(TrackedEndpoint peer) {
    PeerCandidate candidate = byEndpoint.get(peer);
    search.declined(candidate.hasDeclined(now()), now());
    candidate.recordDeclined(now());
  }

  /** Prefers other peers for a while, because this one can't be reached or does not respond. */
  void recordFailure(TrackedEndpoint peer) {
    byEndpoint.get(peer).recordFailed(now());
  }

  private void update() {
    ImmutableList<Peer> current = peers.get();
    if (current.equals(listed)) {
      return;
    }
    listed = current;
    Set<Peer> live = new HashSet<>(current);
    candidates.keySet().retainAll(live);
    live.forEach(peer -> peer.relay().ifPresent(relay -> add(peer, relay)));
    Set<PeerCandidate> present = new HashSet<>(candidates.values());
    byEndpoint
        .values()
        .removeIf(peer -> peer.endpoint().inFlight() == 0 && !present.contains(peer));
  }

  private void add(Peer peer, PeerRelay relay) {
    if (candidates.containsKey(peer)) {
      return;
    }
    TrackedEndpoint endpoint = TrackedEndpoint.ofPeer(describe(peer, relay));
    boolean remote = !peer.dataCentre().equals(dataCentre);
    PeerCandidate candidate =
        new PeerCandidate(endpoint, relay, peer.dataCentre(), remote, random.nextInt());
    candidates.put(peer, candidate);
    byEndpoint.put(endpoint, candidate);
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
