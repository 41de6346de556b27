package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
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
 * members do so, each node hears of each group about as often as of each member. Told with it is
 * what others would find out late or not at all: engines that a node knows at first hand to be
 * slow, limits that endpoints named to it, and the newest version of the configuration that it has
 * seen. A node's bytes are bounded, whatever the number of peers and endpoints.
 *
 * <p>What is heard is noted with the endpoints when a choice among them is near, not at each
 * report: a node begins a few requests a second and hears 25 reports. A group without requests
 * tells its peers that a fifth as often. The two halve what an idle node spends: 31 to 15 ms of
 * processor time a second with a hundred endpoints (16 nodes on one machine). Confined to the
 * node's event loop.
 */
public final class LoadExchange {
  /** A small fleet needs no fresher reports: its nodes hear each other some times a second. */
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(40);

  /**
   * Between reports of a node whose group has no requests, once all were told: they say nothing
   * new, and each costs as much processor time as any other.
   */
  private static final Duration QUIET_PAUSE = Duration.ofMillis(250);

  /**
   * A node wakes up for its reports this often at most, then sends those that are due and takes
   * those that came: waking a process that has little to do costs more than a report.
   */
  private static final Duration SHORTEST_WAKE = Duration.ofMillis(100);

  /**
   * The same in a large fleet, whose rounds take the better part of a second: what is known gets
   * older by an eighth of a round on average, and a node of 64 wakes 6 times a second, not 10.
   */
  private static final int WAKES_A_ROUND = 4;

  /** The same for a node whose group has no requests. */
  private static final Duration QUIET_WAKE = Duration.ofMillis(500);

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
  private final LongSupplier configuration;
  private final LoadSender sender;
  private final HeardLoads heardLoads = new HeardLoads();
  private ImmutableList<Peer> grouped = ImmutableList.of();
  private PeerGroups peerGroups;
  private int turn;
  private int nextOutside;

  /**
   * After the last report, if it was not for the quiet; peers with requests pause about as long.
   */
  private long pauseNanos = SHORTEST_PAUSE.toNanos();

  /** Reports in a row that told of no request. */
  private int emptyReports;

  /** Own reports since the loads were noted with the endpoints. */
  private int reportsSinceNoted;

  private boolean outdated = true;
  private long notedAt;
  private boolean stopped;

  private LoadExchange(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LongSupplier configuration,
      LoadSender sender) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.box = checkNotNull(box);
    this.dataCentre = checkNotNull(dataCentre);
    this.peers = checkNotNull(peers);
    this.liveNodes = checkNotNull(liveNodes);
    this.configuration = checkNotNull(configuration);
    this.sender = checkNotNull(sender);
    peerGroups = PeerGroups.of(box, dataCentre, grouped);
    fleet.onChoice(this::noteWithEndpoints);
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
   * @param configuration the newest version of the configuration that this node has seen; 0 if none
   */
  public static LoadExchange create(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LongSupplier configuration,
      LoadSender sender) {
    return new LoadExchange(clock, fleet, box, dataCentre, peers, liveNodes, configuration, sender);
  }

  /** Begins to tell the peers. */
  public void start() {
    tellAfter(SHORTEST_PAUSE.toNanos());
  }

  /** Tells nothing more; peers forget this node's load after a while. */
  public void stop() {
    stopped = true;
  }

  private void tellAfter(long nanos) {
    clock.schedule(this::tell, nanos, NANOSECONDS);
  }

  private void tell() {
    if (stopped) {
      return;
    }
    sender.collect();
    regroup();
    tellAfter(tellThoseDue());
  }

  /** Tells one peer after the other until the next wake pays for them; returns the time to it. */
  private long tellThoseDue() {
    long paid = 0;
    int told = 0;
    while (told < peerGroups.round() && paid < shortestWakeNanos()) {
      paid += pauseAfter(tellNext());
      told++;
    }
    reportsSinceNoted += told;
    return Math.max(paid, SHORTEST_PAUSE.toNanos());
  }

  private long shortestWakeNanos() {
    if (isQuiet()) {
      return QUIET_WAKE.toNanos();
    }
    return Math.max(SHORTEST_WAKE.toNanos(), peerGroups.round() * pauseNanos / WAKES_A_ROUND);
  }

  /** Returns whether all peers were told that this group has no requests. */
  private boolean isQuiet() {
    return emptyReports > peerGroups.round();
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
      return send(peerGroups.members().get(turn), ownReport());
    }
    ImmutableList<HostPort> outside = peerGroups.outside();
    nextOutside = Math.floorMod(nextOutside + 1, outside.size());
    return send(outside.get(nextOutside), groupReport());
  }

  private int send(HostPort peer, LoadReport report) {
    emptyReports = report.isEmpty() ? emptyReports + 1 : 0;
    return sender.send(peer, report.ofConfiguration(configuration.getAsLong()));
  }

  private long pauseAfter(int bytes) {
    double seconds = (bytes + DATAGRAM_BYTES) / BYTES_PER_SECOND;
    pauseNanos = Math.max((long) (seconds * 1e9), SHORTEST_PAUSE.toNanos());
    return isQuiet() ? Math.max(pauseNanos, QUIET_PAUSE.toNanos()) : pauseNanos;
  }

  private LoadReport ownReport() {
    return LoadReport.ofNode(box, ownLoads(), ownSlow(), ownLimits());
  }

  private ImmutableList<EnginePace> ownSlow() {
    return fleet.all().stream()
        .filter(TrackedEndpoint::slowAtFirstHand)
        .map(engine -> new EnginePace(keyOf(engine), engine.firstHandPace()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the limits that endpoints named to this node itself, and those that ended. */
  private ImmutableList<EndpointLimit> ownLimits() {
    return limits(fleet.statements().limits().ownNews());
  }

  private ImmutableList<EndpointLimit> limits(ImmutableList<TrackedEndpoint> endpoints) {
    long now = now();
    return endpoints.stream()
        .map(
            endpoint ->
                new EndpointLimit(
                    keyOf(endpoint),
                    endpoint.startLimit().stated(),
                    Duration.ofNanos(Math.max(0, now - endpoint.startLimit().heardAt()))))
        .collect(ImmutableList.toImmutableList());
  }

  private void take(EndpointLimit limit) {
    long heardAt = now() - limit.age().toNanos();
    fleet.all().stream()
        .filter(endpoint -> keyOf(endpoint) == limit.endpointKey())
        .forEach(
            endpoint -> fleet.statements().limits().heardOfPeer(endpoint, limit.stated(), heardAt));
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
    forgetSilent();
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
    return new LoadReport(
        box,
        peerGroups.own(),
        nodes,
        loads.build(),
        groupSlow(),
        limits(fleet.statements().limits().news()),
        0);
  }

  /** Takes a peer's report. */
  public void heard(LoadReport report) {
    if (report.sender().equals(box)) {
      return;
    }
    report.limits().forEach(this::take);
    boolean known = report.ofGroup() && report.group().equals(peerGroups.own());
    if (!known) {
      heardLoads.keep(report, now());
      outdated = true;
    }
  }

  private void forgetSilent() {
    long now = now();
    heardLoads.forgetBefore(now - expiryNanos(pauseNanos), now - expiryNanos(quietPauseNanos()));
  }

  private long quietPauseNanos() {
    return Math.max(pauseNanos, QUIET_PAUSE.toNanos());
  }

  private long expiryNanos(long pauseOfPeers) {
    long rounds = pauseOfPeers * ROUNDS_TO_EXPIRY * Math.max(1, peerGroups.round());
    return Math.max(rounds, SHORTEST_EXPIRY.toNanos());
  }

  /** Notes with the endpoints what is known of their load, before a choice among them. */
  private void noteWithEndpoints() {
    long now = now();
    if (!outdated && now - notedAt < SHORTEST_WAKE.toNanos()) {
      return;
    }
    outdated = false;
    notedAt = now;
    forgetSilent();
    int known = 1 + heardLoads.nodes();
    int live = Math.max(known, liveNodes.getAsInt());
    // Nodes that were not heard are taken to be like the others.
    double factor = (double) live / known;
    // Their part of what this node begins is in that factor already.
    double peersAlike = live == 1 ? 0 : peerGroups.neighbours() * (known - 1.0) / (live - 1.0);
    double kept = Math.exp(-reportsSinceNoted / Math.max(1, MEAN_AGE * peerGroups.round()));
    reportsSinceNoted = 0;
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
