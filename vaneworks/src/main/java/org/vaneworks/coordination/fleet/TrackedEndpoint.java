package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * An endpoint with the state that this node keeps about it: requests in flight, load reported by
 * peers, health and rate limits.
 *
 * <p>Confined to the node's event loop.
 */
public final class TrackedEndpoint {
  /** Time for which an endpoint is avoided after its second malformed response in a row. */
  private static final Duration FIRST_MALFORMED_BACKOFF = Duration.ofMillis(500);

  private static final Duration MAX_MALFORMED_BACKOFF = Duration.ofSeconds(8);

  /**
   * The pace, as a multiple of the step time of the engine's kind, from which an engine counts as
   * slow: it is probed until it recovers, and reported to peers.
   */
  static final double SLOW_PACE = 1.3;

  /** Factor by which each refusal raises the estimated use of an engine. */
  private static final double SHORTAGE_STEP = 1.3;

  private static final double MAX_SHORTAGE = 3;

  /**
   * Age of a measurement from which a slow replica is no longer reported, so that peers notice its
   * recovery although this node sends it no requests.
   */
  private static final Duration MAX_REPORTED_AGE = Duration.ofSeconds(5);

  /** Requests last a few seconds, so a shortage has mostly passed after two half-lives. */
  private static final double SHORTAGE_HALF_LIFE_NANOS = 1e9;

  private final boolean peer;
  private FleetEndpoint endpoint;
  private int inFlight;
  private double reservedTokenLayers;
  private int peerRequests;
  private double peerTokenLayers;
  private double extrapolationFactor = 1;
  private double recentRequests;
  private double recentTokenLayers;
  private double similarPeers;
  private long avoidedUntil = Long.MIN_VALUE;
  private int consecutiveMalformedResponses;
  private boolean suspected;
  private boolean ended;
  private boolean refusesConnections;
  private long refusedAt = Long.MIN_VALUE;
  private ListingState listing = ListingState.LISTED;
  private int consecutiveFailures;
  private long lastProgress = Long.MIN_VALUE / 2;
  private long lastFastProgress = Long.MIN_VALUE / 2;
  private double pace = 1;
  private double paceReportedByPeers = 1;
  private double shortage = 1;
  private long shortageAt;
  private final ReplicaPace replicaPace = new ReplicaPace();
  private double replicaSlowness = 1;
  private final RefusalBackoff refusals = new RefusalBackoff();
  private final RefusalBackoff malformedResponses =
      new RefusalBackoff(FIRST_MALFORMED_BACKOFF, MAX_MALFORMED_BACKOFF);
  private final IncarnationSignals signals;

  TrackedEndpoint(FleetEndpoint endpoint, IncarnationSignals signals) {
    this(endpoint, signals, false);
  }

  private TrackedEndpoint(FleetEndpoint endpoint, IncarnationSignals signals, boolean peer) {
    this.endpoint = checkNotNull(endpoint);
    this.signals = checkNotNull(signals);
    this.peer = peer;
  }

  /** Returns a peer node, which forwards requests to endpoints of all services. */
  public static TrackedEndpoint ofPeer(FleetEndpoint description) {
    return new TrackedEndpoint(
        description, new IncarnationSignals(description.incarnation()), true);
  }

  /** Returns whether this is a peer node; it is not part of the {@link Fleet}. */
  public boolean isPeer() {
    return peer;
  }

  /** Returns the endpoint's latest description. */
  public FleetEndpoint endpoint() {
    return endpoint;
  }

  /** Returns the address that the endpoint listens on. */
  public HostPort address() {
    return endpoint.address();
  }

  void update(FleetEndpoint listed) {
    endpoint = listed;
    listing = ListingState.LISTED;
  }

  void markLeaving() {
    endpoint = endpoint.asLeaving();
  }

  ListingState listing() {
    return listing;
  }

  void setListing(ListingState value) {
    listing = value;
  }

  /** Returns whether the endpoint was removed from the table. */
  public boolean delisted() {
    return listing == ListingState.REMOVED;
  }

  /**
   * Returns whether this incarnation is known to have ended, so that nothing more can arrive from
   * it.
   */
  public boolean hasEnded() {
    return ended;
  }

  /**
   * Returns whether the endpoint's process is known to be down: its box refuses connections, or the
   * incarnation has ended.
   */
  public boolean processDown() {
    return ended || refusesConnections;
  }

  /**
   * Returns whether the endpoint's box has refused a connection since a time, which proves that a
   * process that ran there before has ended.
   */
  public boolean refusedConnectionSince(long nanos) {
    return refusedAt >= nanos;
  }

  void recordConnectionRefused(long nowNanos) {
    refusesConnections = true;
    refusedAt = nowNanos;
  }

  void clearConnectionRefused() {
    refusesConnections = false;
  }

  void markEnded() {
    ended = true;
    listing = ListingState.REMOVED;
  }

  /** Returns whether the endpoint may get new work at the given time. */
  public boolean usable(long nowNanos) {
    return serving() && nowNanos >= avoidedUntil && nowNanos >= nextRequestAt();
  }

  /**
   * Returns when the endpoint's rate limit and backoff permit the next request of this node, in
   * nanoseconds on the node's clock; {@link Long#MAX_VALUE} for never.
   */
  long nextRequestAt() {
    return Math.max(rateLimit().nextRequestAt(), backoff().endsAt());
  }

  /** Returns whether the endpoint gets new work, now or as soon as it has capacity. */
  public boolean serving() {
    return !suspected && !delisted() && !endpoint.leaving();
  }

  /** Returns whether the endpoint is suspected, that is considered down or unreachable. */
  public boolean suspected() {
    return suspected;
  }

  void setSuspected(boolean value) {
    suspected = value;
  }

  /**
   * Gives the endpoint no new work until the given time, for example because it reported that it is
   * full.
   */
  public void avoidUntil(long nanos) {
    avoidedUntil = Math.max(avoidedUntil, nanos);
  }

  /**
   * Records that a request through the endpoint made progress.
   *
   * @param fast whether there was no long pause before the progress
   */
  public void recordProgress(long nowNanos, boolean fast) {
    lastProgress = nowNanos;
    if (fast) {
      lastFastProgress = nowNanos;
    }
  }

  /**
   * Returns when a request through the endpoint last made progress, in nanoseconds on the node's
   * clock.
   */
  public long lastProgress() {
    return lastProgress;
  }

  /**
   * Returns when a request through the endpoint last made progress without a long pause, in
   * nanoseconds on the node's clock.
   */
  public long lastFastProgress() {
    return lastFastProgress;
  }

  /**
   * Returns the engine's pace: its step time as a multiple of that of its kind, as reported to this
   * node or to peers, whichever is higher.
   */
  public double pace() {
    return Math.max(pace, paceReportedByPeers);
  }

  /** Returns whether the engine reported to this node that it is slow. */
  public boolean reportsSlow() {
    return pace >= SLOW_PACE;
  }

  /** Returns the pace that the engine reported to this node. */
  public double reportedPace() {
    return pace;
  }

  /**
   * Sets the pace that the engine reported to peers; 1 if it reported to no peer that it is slow.
   */
  public void setPaceReportedByPeers(double value) {
    paceReportedByPeers = value;
  }

  void setPace(double value) {
    pace = Math.max(1, value);
  }

  /**
   * Records that the endpoint refused work for lack of memory or slots, so other nodes use it more
   * than this node knew.
   */
  public void recordShortage(long nowNanos) {
    shortage = Math.min(MAX_SHORTAGE, shortage(nowNanos) * SHORTAGE_STEP);
    shortageAt = nowNanos;
  }

  /**
   * Returns the factor, at least 1, by which the endpoint's use exceeds the use that this node's
   * requests suggest.
   */
  public double shortage(long nowNanos) {
    double age = (nowNanos - shortageAt) / SHORTAGE_HALF_LIFE_NANOS;
    return 1 + (shortage - 1) * Math.pow(0.5, age);
  }

  /** Returns the service time that this node measured at a replica of a plain service. */
  public ReplicaPace replicaPace() {
    return replicaPace;
  }

  /** Records the service time of a request that a replica of a plain service answered. */
  public void recordServed(double serviceNanos, long nowNanos) {
    replicaPace.record(serviceNanos, replicaSlowness > 1, nowNanos);
  }

  /**
   * Records a request that ended without an answer of the replica. Its service time would have been
   * longer than the given one.
   */
  public void recordUnfinished(double serviceNanos, long nowNanos) {
    replicaPace.recordUnfinished(serviceNanos, nowNanos);
  }

  /**
   * Sets how many times slower than other replicas of its service this node has measured the
   * replica to be; 1 if it is not slow.
   */
  public void setReplicaSlowness(double value) {
    replicaSlowness = value;
  }

  /**
   * Returns the pace to report to peers: that which an engine reported to this node, or the
   * slowness of a replica that was measured recently; 1 if the endpoint is not slow.
   */
  public double paceToReport(long nowNanos) {
    boolean known =
        replicaPace.age(nowNanos).compareTo(MAX_REPORTED_AGE) <= 0
            && !replicaPace.mayHaveRecovered();
    double slowness = known ? Math.max(pace, replicaSlowness) : pace;
    return slowness >= SLOW_PACE ? slowness : 1;
  }

  /** Returns the pace that peers reported; 1 if no peer reported that the endpoint is slow. */
  public double paceReportedByPeers() {
    return paceReportedByPeers;
  }

  /** Records that a replica of a plain service refused a request without running it. */
  public void recordRefusal(long sentAt, long nowNanos) {
    refusals.recordRefusal(sentAt, nowNanos);
  }

  /** Returns whether a replica refused several requests and has accepted none for a while. */
  public boolean refusesRepeatedly(long nowNanos) {
    return refusals.isRepeated(nowNanos);
  }

  /**
   * Records that an engine prevented a path change, for lack of capacity or as it was absent. All
   * requests avoid it for 200 ms, and for longer each time it does so again.
   *
   * @param orderedAt when the path change was ordered
   */
  public void recordPathObstacle(long orderedAt, long nowNanos) {
    refusals.recordRefusal(orderedAt, nowNanos);
    avoidUntil(refusals.endsAt());
    recordShortage(nowNanos);
  }

  /** Records that the endpoint accepted a request. */
  public void recordAcceptance(long sentAt, long nowNanos) {
    refusals.recordAcceptance(sentAt, nowNanos);
  }

  /**
   * Returns until when a replica is avoided because it refused requests; {@link Long#MIN_VALUE} if
   * it is not. It is used nevertheless if all replicas are avoided.
   */
  public long refusalBackoffEndsAt() {
    return refusals.endsAt();
  }

  /** Records a failed request and returns the number of consecutive failures. */
  public int recordFailure() {
    return ++consecutiveFailures;
  }

  /**
   * Records that the endpoint's response to a request was malformed. If this was so before, and no
   * request was answered since, the endpoint is avoided, longer each time.
   *
   * @param sentAt when the request was sent
   */
  public void recordMalformedResponse(long sentAt, long nowNanos) {
    consecutiveMalformedResponses++;
    if (consecutiveMalformedResponses > 1) {
      malformedResponses.recordRefusal(sentAt, nowNanos);
      avoidUntil(malformedResponses.endsAt());
    }
  }

  /** Records a request that was answered. */
  public void recordSuccess(long sentAt, long nowNanos) {
    consecutiveFailures = 0;
    consecutiveMalformedResponses = 0;
    malformedResponses.recordAcceptance(sentAt, nowNanos);
  }

  /** Returns the endpoint's rate limit and this node's share of it. */
  public EndpointRateLimit rateLimit() {
    return signals.rateLimit();
  }

  /** Returns the signals that the endpoint sent. */
  IncarnationSignals signals() {
    return signals;
  }

  /** Returns the backoff that the endpoint asked this node for. */
  Backoff backoff() {
    return signals.backoff();
  }

  /** Returns the number of this node's requests in flight at the endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the memory that this node's requests need at the endpoint, in tokens times layers. */
  public double reservedTokenLayers() {
    return reservedTokenLayers;
  }

  /**
   * Sets the load of other nodes.
   *
   * @param requests number of requests of the nodes that reported their load
   * @param tokenLayers memory that those requests need, in tokens times layers
   * @param factor number of live nodes divided by the number of nodes whose load is known,
   *     including this node; at least 1
   */
  public void setPeerLoad(int requests, double tokenLayers, double factor) {
    peerRequests = requests;
    peerTokenLayers = tokenLayers;
    extrapolationFactor = factor;
  }

  /**
   * Sets how many peers select engines from the same view as this node. Each is assumed to have
   * started as many requests here as this node since its last report.
   *
   * <p>Without this assumption, nodes that learn that an engine has capacity fill it together
   * before they learn of each other's requests. The fewer streams a node has, the less they
   * indicate about its peers' streams.
   *
   * @param peers number of nodes that prefer the same engines and report their load
   * @param unreportedFraction fraction, from 0 to 1, of the requests this node started earlier
   *     whose counterparts the peers have not reported yet
   */
  public void setSimilarPeers(double peers, double unreportedFraction) {
    similarPeers = peers;
    recentRequests *= unreportedFraction;
    recentTokenLayers *= unreportedFraction;
  }

  /** Returns the estimated number of requests of all nodes at the endpoint. */
  public double totalRequests() {
    return (inFlight + peerRequests) * extrapolationFactor + recentRequests * similarPeers;
  }

  /**
   * Returns in how many rounds of its slots the endpoint serves the requests that it is known to
   * have, at least 1. Requests that peers are merely assumed to have started are not included.
   */
  public double rounds() {
    double requests = (inFlight + peerRequests) * extrapolationFactor;
    return Math.max(1, requests / Math.max(1, endpoint.slots()));
  }

  /** Returns the number of peers that select endpoints from the same view as this node. */
  public double similarPeers() {
    return similarPeers;
  }

  /**
   * Returns the estimated memory that the requests of all nodes need at the endpoint, in tokens
   * times layers.
   */
  public double totalTokenLayers() {
    return (reservedTokenLayers + peerTokenLayers) * extrapolationFactor
        + recentTokenLayers * similarPeers;
  }

  /**
   * Reserves capacity for a request of this node. Every call must be matched by a call to {@link
   * #release}.
   */
  public void reserve(double tokenLayers) {
    inFlight++;
    reservedTokenLayers += tokenLayers;
    recentRequests++;
    recentTokenLayers += tokenLayers;
  }

  /** Releases the capacity that was reserved for a request of this node. */
  public void release(double tokenLayers) {
    inFlight--;
    reservedTokenLayers -= tokenLayers;
  }

  /**
   * Releases capacity that was reserved for a request that this node has not started here, so that
   * it says nothing about requests that peers start.
   */
  public void withdraw(double tokenLayers) {
    release(tokenLayers);
    recentRequests = Math.max(0, recentRequests - 1);
    recentTokenLayers = Math.max(0, recentTokenLayers - tokenLayers);
  }

  /** Returns whether the endpoint holds all layers of the range. */
  public boolean holds(LayerRange range) {
    return endpoint.layers().filter(held -> held.encloses(range)).isPresent();
  }

  @Override
  public String toString() {
    return endpoint.id() + "@" + endpoint.address();
  }
}
