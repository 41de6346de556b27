package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.HostPort;

/**
 * Tells the peers in turn what requests take of the endpoints, and keeps what they tell.
 *
 * <p>Nodes that decide by old reports prefer the same engines, fill them and leave them together:
 * streams last one to two seconds, so a report has to be younger. Hence two levels. A node tells
 * its own load to each node of its group, those of its data centre, whose engines it uses most. To
 * each other group it tells the sum of its group, once a round and to one node there; as all
 * members do so, each node hears of each group about as often as of each member. Slow engines that
 * a node knows at first hand are told with it: otherwise each of a hundred nodes finds out by a
 * late stream of its own. A node's bytes are bounded, whatever the number of peers and endpoints.
 * Confined to the node's event loop.
 */
public final class LoadExchange {
  /** A small fleet needs no fresher reports: its nodes hear each other some times a second. */
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(40);

  /** What a node may send, in bytes a second: 5,000 are allowed for all control traffic. */
  private static final double BYTES_PER_SECOND = 4500;

  /** A datagram's own headers. */
  private static final int DATAGRAM_BYTES = 28;

  /** Mean age of what a node knows of a peer, in rounds of reports. */
  private static final double MEAN_AGE = 0.5;

  /** A node or group that was not heard for this many rounds is gone or can't reach this node. */
  private static final int ROUNDS_TO_EXPIRY = 4;

  /** The same at least: several reports in a row may be lost with a packet burst. */
  private static final Duration SHORTEST_EXPIRY = Duration.ofMillis(1500);

  private final Executor clock;
  private final Fleet fleet;
  private final String box;
  private final String dataCentre;
  private final Supplier<ImmutableList<Peer>> peers;
  private final IntSupplier liveNodes;
  private final LoadSender sender;
  private final HeardLoads heardLoads = new HeardLoads();
  private ImmutableList<Peer> grouped = ImmutableList.of();
  private PeerGroups peerGroups;
  private int turn;
  private int nextOutside;
  private Duration pause = SHORTEST_PAUSE;
  private boolean stopped;

  private LoadExchange(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LoadSender sender) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.box = checkNotNull(box);
    this.dataCentre = checkNotNull(dataCentre);
    this.peers = checkNotNull(peers);
    this.liveNodes = checkNotNull(liveNodes);
    this.sender = checkNotNull(sender);
    peerGroups = PeerGroups.of(box, dataCentre, grouped);
    // Nodes begin with different ones, so that a group is told by its members in turn.
    nextOutside = box.hashCode();
    turn = box.hashCode();
  }

  /**
   * Returns an exchange that sends nothing before {@link #start}.
   *
   * @param box this node's box
   * @param dataCentre where it stands
   * @param peers the other live nodes, in the same order on each call unless they change
   * @param liveNodes number of live nodes, this one included
   */
  public static LoadExchange create(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LoadSender sender) {
    return new LoadExchange(clock, fleet, box, dataCentre, peers, liveNodes, sender);
  }

  /** Begins to tell the peers. */
  public void start() {
    tellLater();
  }

  /** Tells nothing more; peers forget this node's load after a while. */
  public void stop() {
    stopped = true;
  }

  private void tellLater() {
    clock.schedule(this::tell, pause.toNanos(), NANOSECONDS);
  }

  private void tell() {
    if (stopped) {
      return;
    }
    regroup();
    heardLoads.forgetBefore(now() - expiry().toNanos());
    noteWithEndpoints();
    if (peerGroups.round() > 0) {
      pause = pauseAfter(tellNext());
    }
    tellLater();
  }

  private void regroup() {
    ImmutableList<Peer> now = peers.get();
    if (!now.equals(grouped)) {
      grouped = now;
      peerGroups = PeerGroups.of(box, dataCentre, now);
    }
  }

  /** Tells the next in turn; returns the bytes that it took. */
  private int tellNext() {
    turn = Math.floorMod(turn + 1, peerGroups.round());
    if (turn < peerGroups.members().size()) {
      return sender.send(peerGroups.members().get(turn), ownReport());
    }
    ImmutableList<HostPort> outside = peerGroups.outside();
    nextOutside = Math.floorMod(nextOutside + 1, outside.size());
    return sender.send(outside.get(nextOutside), groupReport());
  }

  private static Duration pauseAfter(int bytes) {
    double seconds = (bytes + DATAGRAM_BYTES) / BYTES_PER_SECOND;
    Duration paid = Duration.ofNanos((long) (seconds * 1e9));
    return paid.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : paid;
  }

  private LoadReport ownReport() {
    return LoadReport.ofNode(box, ownLoads(), ownSlow());
  }

  private ImmutableList<EnginePace> ownSlow() {
    return fleet.all().stream()
        .filter(TrackedEndpoint::slowAtFirstHand)
        .map(engine -> new EnginePace(keyOf(engine), engine.firstHandPace()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the slow engines that this node or members of its group know at first hand. */
  private ImmutableList<EnginePace> groupSlow() {
    Map<Integer, Double> paces = heardLoads.slowOfMembers();
    ownSlow().forEach(engine -> paces.merge(engine.endpointKey(), engine.pace(), Math::max));
    return paces.entrySet().stream()
        .map(entry -> new EnginePace(entry.getKey(), entry.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  private static int keyOf(TrackedEndpoint endpoint) {
    return EndpointLoad.keyOf(endpoint.endpoint());
  }

  private ImmutableList<EndpointLoad> ownLoads() {
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (TrackedEndpoint endpoint : fleet.all()) {
      if (endpoint.inFlight() > 0) {
        loads.add(new EndpointLoad(keyOf(endpoint), endpoint.inFlight(), ownTokenLayers(endpoint)));
      }
    }
    return loads.build();
  }

  private static long ownTokenLayers(TrackedEndpoint endpoint) {
    return Math.max(0, Math.round(endpoint.reservedTokenLayers()));
  }

  private LoadReport groupReport() {
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (TrackedEndpoint endpoint : fleet.all()) {
      int key = keyOf(endpoint);
      LoadSums.Sum others = heardLoads.ofMembers(key);
      int requests = endpoint.inFlight() + others.requests();
      if (requests > 0) {
        long tokenLayers = ownTokenLayers(endpoint) + others.tokenLayers();
        loads.add(new EndpointLoad(key, requests, tokenLayers));
      }
    }
    int nodes = 1 + heardLoads.members();
    return new LoadReport(box, peerGroups.own(), nodes, loads.build(), groupSlow());
  }

  /** Takes a peer's report. */
  public void heard(LoadReport report) {
    if (report.sender().equals(box)) {
      return;
    }
    boolean known = report.ofGroup() && report.group().equals(peerGroups.own());
    if (!known) {
      heardLoads.keep(report, now());
    }
  }

  private Duration expiry() {
    Duration rounds = pause.multipliedBy((long) ROUNDS_TO_EXPIRY * Math.max(1, peerGroups.round()));
    return rounds.compareTo(SHORTEST_EXPIRY) > 0 ? rounds : SHORTEST_EXPIRY;
  }

  private void noteWithEndpoints() {
    int known = 1 + heardLoads.nodes();
    int live = Math.max(known, liveNodes.getAsInt());
    // Nodes that were not heard are taken to be like the others.
    double factor = (double) live / known;
    // Their part of what this node begins is in that factor already.
    double peersAlike = live == 1 ? 0 : peerGroups.neighbours() * (known - 1.0) / (live - 1.0);
    double kept = Math.exp(-1 / Math.max(1, MEAN_AGE * peerGroups.round()));
    Map<Integer, Double> slow = heardLoads.slowOfAll();
    for (TrackedEndpoint endpoint : fleet.all()) {
      int key = keyOf(endpoint);
      endpoint.peersPace(slow.getOrDefault(key, 1.0));
      LoadSums.Sum peersSum = heardLoads.ofAll(key);
      endpoint.peersLoad(peersSum.requests(), peersSum.tokenLayers(), factor);
      endpoint.peersAlike(peersAlike, kept);
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
