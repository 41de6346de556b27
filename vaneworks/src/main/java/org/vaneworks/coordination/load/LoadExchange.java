package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.LinkLoad;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.HostPort;

/**
 * Reports this node's load on endpoints to peers in turn, and keeps the load that they report.
 *
 * <p>Nodes that decide by outdated reports prefer the same engines, fill them and abandon them
 * together. Streams last one to two seconds, so reports have to be more recent than that. Reports
 * are therefore exchanged on two levels. A node sends its own load to each member of its group,
 * which consists of nodes of its data centre, whose engines it uses most. Once per round it also
 * sends the total of its group to one node of each other group. As all members do so, a node
 * receives reports about each group about as often as from each member. The reports also contain
 * information that other nodes would get late or not at all: slow engines, limits that endpoints
 * announced, and the newest configuration version that the node has seen. The bytes that a node
 * sends are bounded, whatever the number of peers and endpoints.
 *
 * <p>Received loads are copied to the endpoints before a selection among them, not with each
 * report: a node starts a few requests per second and receives 25 reports. A group without requests
 * sends a fifth as many reports. Together these two measures reduce the processor time of an idle
 * node from 31 to 15 ms per second with a hundred endpoints (16 nodes on one machine). Confined to
 * the node's event loop.
 */
public final class LoadExchange {
  /**
   * Minimum time between two reports. In a small fleet, nodes then report to each other several
   * times a second, which suffices.
   */
  private static final Duration MIN_PAUSE = Duration.ofMillis(40);

  /**
   * Minimum time between reports of a node whose group has no requests, once all peers have been
   * informed. Such reports contain nothing new, and each costs as much processor time as any other.
   */
  private static final Duration IDLE_PAUSE = Duration.ofMillis(250);

  /**
   * Minimum interval at which a node wakes up to send the reports that are due and to read those
   * received. Waking up an almost idle process costs more than a report.
   */
  private static final Duration MIN_WAKE_INTERVAL = Duration.ofMillis(100);

  /**
   * Maximum number of wake-ups per round in a large fleet, where a round takes most of a second.
   * Known loads are an eighth of a round older on average, and a node among 64 wakes up 6 instead
   * of 10 times a second.
   */
  private static final int WAKES_PER_ROUND = 4;

  /** Minimum wake-up interval of a node whose group has no requests. */
  private static final Duration IDLE_WAKE_INTERVAL = Duration.ofMillis(500);

  /** Budget for load reports in bytes per second, of the 5,000 allowed for all control traffic. */
  private static final double BYTES_PER_SECOND = 4500;

  /** Size of a datagram's IP and UDP headers. */
  private static final int DATAGRAM_HEADER_BYTES = 28;

  /** Mean age of the known load of a peer, in rounds of reports. */
  private static final double MEAN_AGE_ROUNDS = 0.5;

  /**
   * Number of rounds without a report after which a node or group is considered dead or unable to
   * reach this node.
   */
  private static final int ROUNDS_TO_EXPIRY = 4;

  /**
   * Minimum time until a report expires; a burst of packet loss may drop several reports in a row.
   */
  private static final Duration MIN_EXPIRY = Duration.ofMillis(1500);

  private final Executor clock;
  private final Fleet fleet;
  private final String box;
  private final String dataCentre;
  private final Supplier<ImmutableList<Peer>> peers;
  private final IntSupplier liveNodes;
  private final LongSupplier configurationVersion;
  private final LoadSender sender;
  private final PeerLoads peerLoads = new PeerLoads();
  private ImmutableList<Peer> groupedPeers = ImmutableList.of();
  private PeerGroups peerGroups;
  private int turn;
  private int nextNonMember;

  /**
   * The pause after the last report, ignoring the longer pause of an idle group. Peers with
   * requests are assumed to pause about as long.
   */
  private long pauseNanos = MIN_PAUSE.toNanos();

  /** Number of consecutive empty reports. */
  private int emptyReports;

  /** Number of reports sent since the loads were last copied to the endpoints. */
  private int reportsSinceCopy;

  private boolean outdated = true;
  private long copiedAt;
  private boolean stopped;

  private LoadExchange(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LongSupplier configurationVersion,
      LoadSender sender) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.box = checkNotNull(box);
    this.dataCentre = checkNotNull(dataCentre);
    this.peers = checkNotNull(peers);
    this.liveNodes = checkNotNull(liveNodes);
    this.configurationVersion = checkNotNull(configurationVersion);
    this.sender = checkNotNull(sender);
    peerGroups = PeerGroups.of(box, dataCentre, groupedPeers);
    fleet.beforeSelection(this::copyToEndpoints);
    // Nodes start at different positions, so that the members of a group do not report to the same
    // node simultaneously.
    nextNonMember = box.hashCode();
    turn = box.hashCode();
  }

  /**
   * Creates an exchange that sends nothing until {@link #start} is called.
   *
   * @param box this node's box
   * @param dataCentre the data centre of this node's box
   * @param peers the other live nodes, in the same order on each call unless they change
   * @param liveNodes the number of live nodes, including this one
   * @param configurationVersion the newest configuration version that this node has seen; 0 if none
   */
  public static LoadExchange create(
      Executor clock,
      Fleet fleet,
      String box,
      String dataCentre,
      Supplier<ImmutableList<Peer>> peers,
      IntSupplier liveNodes,
      LongSupplier configurationVersion,
      LoadSender sender) {
    return new LoadExchange(
        clock, fleet, box, dataCentre, peers, liveNodes, configurationVersion, sender);
  }

  /** Starts sending reports. */
  public void start() {
    scheduleReports(MIN_PAUSE.toNanos());
  }

  /** Stops sending reports. Peers discard this node's load when its last report expires. */
  public void stop() {
    stopped = true;
  }

  private void scheduleReports(long nanos) {
    clock.schedule(this::sendReports, nanos, NANOSECONDS);
  }

  private void sendReports() {
    if (stopped) {
      return;
    }
    sender.collect();
    updateGroups();
    scheduleReports(sendDueReports());
  }

  /**
   * Sends reports until their pauses add up to the next wake-up; returns the time until then in
   * nanoseconds.
   */
  private long sendDueReports() {
    long budgetedNanos = 0;
    int sent = 0;
    while (sent < peerGroups.reportsPerRound() && budgetedNanos < wakeIntervalNanos()) {
      budgetedNanos += pauseAfter(sendNext());
      sent++;
    }
    reportsSinceCopy += sent;
    return Math.max(budgetedNanos, MIN_PAUSE.toNanos());
  }

  private long wakeIntervalNanos() {
    if (isIdle()) {
      return IDLE_WAKE_INTERVAL.toNanos();
    }
    return Math.max(
        MIN_WAKE_INTERVAL.toNanos(), peerGroups.reportsPerRound() * pauseNanos / WAKES_PER_ROUND);
  }

  /** Returns whether all peers have been informed that this group has no requests. */
  private boolean isIdle() {
    return emptyReports > peerGroups.reportsPerRound();
  }

  private void updateGroups() {
    ImmutableList<Peer> currentPeers = peers.get();
    if (!currentPeers.equals(groupedPeers)) {
      groupedPeers = currentPeers;
      peerGroups = PeerGroups.of(box, dataCentre, currentPeers);
    }
  }

  /** Sends a report to the next peer in turn; returns its size in bytes. */
  private int sendNext() {
    turn = Math.floorMod(turn + 1, peerGroups.reportsPerRound());
    if (turn == 0) {
      fleet.signals().rateLimits().startReportRound();
    }
    if (turn < peerGroups.members().size()) {
      return send(peerGroups.members().get(turn), ownReport());
    }
    ImmutableList<HostPort> nonMembers = peerGroups.nonMembers();
    nextNonMember = Math.floorMod(nextNonMember + 1, nonMembers.size());
    return send(nonMembers.get(nextNonMember), groupReport());
  }

  private int send(HostPort peer, LoadReport report) {
    emptyReports = report.isEmpty() ? emptyReports + 1 : 0;
    return sender.send(peer, report.withConfigurationVersion(configurationVersion.getAsLong()));
  }

  private long pauseAfter(int bytes) {
    double seconds = (bytes + DATAGRAM_HEADER_BYTES) / BYTES_PER_SECOND;
    pauseNanos = Math.max((long) (seconds * 1e9), MIN_PAUSE.toNanos());
    return isIdle() ? Math.max(pauseNanos, IDLE_PAUSE.toNanos()) : pauseNanos;
  }

  private LoadReport ownReport() {
    return LoadReport.ofNode(
            box, ownLoads(), ownSlowEngines(), ownLimits(), fleet.links().ownLoads())
        .withSuspectedEngines(ownSuspectedEngines());
  }

  private ImmutableList<EnginePace> ownSlowEngines() {
    long now = now();
    return fleet.all().stream()
        .filter(endpoint -> endpoint.paceToReport(now) > 1)
        .map(endpoint -> new EnginePace(keyOf(endpoint), endpoint.paceToReport(now)))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the limits that endpoints announced to this node directly, and those that they
   * withdrew.
   */
  private ImmutableList<ReportedRateLimit> ownLimits() {
    return limits(fleet.signals().rateLimits().recentOwnChanges());
  }

  private ImmutableList<ReportedRateLimit> limits(ImmutableList<TrackedEndpoint> endpoints) {
    long now = now();
    return endpoints.stream()
        .map(
            endpoint ->
                new ReportedRateLimit(
                    keyOf(endpoint),
                    endpoint.rateLimit().limit(),
                    Duration.ofNanos(Math.max(0, now - endpoint.rateLimit().receivedAt()))))
        .collect(ImmutableList.toImmutableList());
  }

  /** Applies the limits of one report, of which there may be thousands. */
  private void applyLimits(ImmutableList<ReportedRateLimit> limits) {
    if (limits.isEmpty()) {
      return;
    }
    ImmutableListMultimap<Integer, TrackedEndpoint> endpoints =
        Multimaps.index(fleet.all(), LoadExchange::keyOf);
    long now = now();
    for (ReportedRateLimit limit : limits) {
      long receivedAt = now - limit.age().toNanos();
      for (TrackedEndpoint endpoint : endpoints.get(limit.endpointKey())) {
        fleet.signals().rateLimits().recordFromPeer(endpoint, limit.limit(), receivedAt);
      }
    }
  }

  /**
   * Returns the engines that reported to this node or to members of its group that they are slow.
   */
  private ImmutableList<EnginePace> groupSlowEngines() {
    Map<Integer, Double> paces = peerLoads.slowEnginesOfMembers();
    ownSlowEngines().forEach(engine -> paces.merge(engine.endpointKey(), engine.pace(), Math::max));
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
    expireReports();
    ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
    for (TrackedEndpoint endpoint : fleet.all()) {
      int key = keyOf(endpoint);
      LoadSums.Sum memberLoad = peerLoads.memberTotal(key);
      int requests = endpoint.inFlight() + memberLoad.requests();
      if (requests > 0) {
        long tokenLayers = ownTokenLayers(endpoint) + memberLoad.tokenLayers();
        loads.add(new EndpointLoad(key, requests, tokenLayers));
      }
    }
    int nodes = 1 + peerLoads.members();
    return new LoadReport(
        box,
        peerGroups.ownGroup(),
        nodes,
        loads.build(),
        groupSlowEngines(),
        limits(fleet.signals().rateLimits().recentChanges()),
        groupLinks(),
        groupSuspectedEngines(),
        0);
  }

  private ImmutableList<Integer> ownSuspectedEngines() {
    return fleet.all().stream()
        .filter(TrackedEndpoint::suspected)
        .map(LoadExchange::keyOf)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the engines that this node or members of its group suspect. */
  private ImmutableList<Integer> groupSuspectedEngines() {
    return ImmutableSet.<Integer>builder()
        .addAll(ownSuspectedEngines())
        .addAll(peerLoads.enginesSuspectedByMembers())
        .build()
        .asList();
  }

  /**
   * Has engines checked that a peer suspects and no other peer did before. A node may have no
   * requests at an engine that has ended, and the controller must know it to replace the engine's
   * layers.
   */
  private void checkSuspectedEngines(LoadReport report) {
    if (report.suspectedEngines().isEmpty()) {
      return;
    }
    Set<Integer> added = new HashSet<>(report.suspectedEngines());
    added.removeAll(peerLoads.enginesSuspectedByAny());
    if (!added.isEmpty()) {
      fleet.all().stream()
          .filter(engine -> !engine.suspected() && added.contains(keyOf(engine)))
          .forEach(fleet::recordSuspectedByPeer);
    }
  }

  /** Returns the load of this node and the members of its group on links. */
  private ImmutableList<LinkLoad> groupLinks() {
    Map<Integer, Double> megabits = peerLoads.linkMegabitsOfMembers();
    for (LinkLoad link : fleet.links().ownLoads()) {
      megabits.merge(link.linkKey(), link.megabits(), Double::sum);
    }
    return megabits.entrySet().stream()
        .map(entry -> new LinkLoad(entry.getKey(), entry.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Processes a peer's report. */
  public void receive(LoadReport report) {
    if (report.sender().equals(box)) {
      return;
    }
    applyLimits(report.limits());
    boolean ownTotal = report.isGroupTotal() && report.group().equals(peerGroups.ownGroup());
    if (!ownTotal) {
      checkSuspectedEngines(report);
      peerLoads.put(report, now());
      outdated = true;
    }
  }

  private void expireReports() {
    long now = now();
    peerLoads.expire(now - expiryNanos(pauseNanos), now - expiryNanos(idlePauseNanos()));
  }

  private long idlePauseNanos() {
    return Math.max(pauseNanos, IDLE_PAUSE.toNanos());
  }

  private long expiryNanos(long peerPauseNanos) {
    long rounds = peerPauseNanos * ROUNDS_TO_EXPIRY * Math.max(1, peerGroups.reportsPerRound());
    return Math.max(rounds, MIN_EXPIRY.toNanos());
  }

  /** Copies the known loads to the endpoints, before a selection among them. */
  private void copyToEndpoints() {
    long now = now();
    if (!outdated && now - copiedAt < MIN_WAKE_INTERVAL.toNanos()) {
      return;
    }
    outdated = false;
    copiedAt = now;
    expireReports();
    int knownNodes = 1 + peerLoads.nodes();
    int liveCount = Math.max(knownNodes, liveNodes.getAsInt());
    // Nodes whose load is unknown are assumed to resemble the others.
    double extrapolationFactor = (double) liveCount / knownNodes;
    // The factor above already includes the unknown nodes' share of similar requests.
    double similarPeers =
        liveCount == 1 ? 0 : peerGroups.dataCentrePeers() * (knownNodes - 1.0) / (liveCount - 1.0);
    double unreportedFraction =
        Math.exp(-reportsSinceCopy / Math.max(1, MEAN_AGE_ROUNDS * peerGroups.reportsPerRound()));
    reportsSinceCopy = 0;
    fleet
        .links()
        .setPeerLoads(
            peerLoads.linkMegabitsOfAll(), extrapolationFactor, similarPeers, unreportedFraction);
    Map<Integer, Double> slowEngines = peerLoads.slowEnginesOfAll();
    for (TrackedEndpoint endpoint : fleet.all()) {
      int key = keyOf(endpoint);
      endpoint.setPaceReportedByPeers(slowEngines.getOrDefault(key, 1.0));
      LoadSums.Sum peerLoad = peerLoads.total(key);
      endpoint.setPeerLoad(peerLoad.requests(), peerLoad.tokenLayers(), extrapolationFactor);
      endpoint.setSimilarPeers(similarPeers, unreportedFraction);
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
