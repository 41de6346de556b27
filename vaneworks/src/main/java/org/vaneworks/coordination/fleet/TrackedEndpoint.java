package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;

/**
 * An endpoint with what this node knows of it beyond the list: own work in flight, suspicion.
 *
 * <p>Confined to the node's event loop.
 */
public final class TrackedEndpoint {
  /**
   * A pace, in multiples of its kind's time, from which an engine counts as slow: it is asked again
   * until that is over, and peers are told.
   */
  static final double SLOW_PACE = 1.3;

  /** Each refusal raises the estimate of an engine's use by this factor. */
  private static final double SHORTAGE_STEP = 1.3;

  private static final double MAX_SHORTAGE = 3;

  /** Requests last a few seconds, so a shortage is mostly over after two of these. */
  private static final double SHORTAGE_HALF_LIFE_NANOS = 1e9;

  private FleetEndpoint endpoint;
  private int inFlight;
  private double reservedTokenLayers;
  private int peersRequests;
  private double peersTokenLayers;
  private double unheardFactor = 1;
  private double recentRequests;
  private double recentTokenLayers;
  private double peersAlike;
  private long avoidedUntil = Long.MIN_VALUE;
  private boolean suspected;
  private boolean ended;
  private boolean refusesConnections;
  private Listing listing = Listing.LISTED;
  private int failuresInARow;
  private long lastProgress = Long.MIN_VALUE / 2;
  private long lastFastProgress = Long.MIN_VALUE / 2;
  private double pace = 1;
  private double peersPace = 1;
  private double shortage = 1;
  private long shortageAt;
  private final RunStatements said;

  TrackedEndpoint(FleetEndpoint endpoint, RunStatements said) {
    this.endpoint = checkNotNull(endpoint);
    this.said = checkNotNull(said);
  }

  /** Returns the endpoint as it was last listed. */
  public FleetEndpoint endpoint() {
    return endpoint;
  }

  /** Returns where it listens. */
  public HostPort address() {
    return endpoint.address();
  }

  void update(FleetEndpoint listed) {
    endpoint = listed;
    listing = Listing.LISTED;
  }

  void announcesItsEnd() {
    endpoint = endpoint.thatLeaves();
  }

  Listing listing() {
    return listing;
  }

  void listing(Listing value) {
    listing = value;
  }

  /** Returns whether it has left the list. */
  public boolean delisted() {
    return listing == Listing.GONE;
  }

  /** Returns whether its process is known to have ended: nothing comes from it any more. */
  public boolean hasEnded() {
    return ended;
  }

  /** Returns whether no process of it is there: its box refuses connections, or it has ended. */
  public boolean processGone() {
    return ended || refusesConnections;
  }

  void refusesConnections(boolean value) {
    refusesConnections = value;
  }

  void end() {
    ended = true;
    listing = Listing.GONE;
  }

  /** Returns whether it may get new work at that time. */
  public boolean usable(long nowNanos) {
    return serving() && nowNanos >= avoidedUntil && nowNanos >= opensAt();
  }

  /**
   * Returns when it takes the next request of this node by what it said of itself, on the node's
   * clock in nanoseconds; the largest value is never.
   */
  long opensAt() {
    return Math.max(startLimit().opensAt(), backoff().endsAt());
  }

  /** Returns whether it gets new work, now or once it has room again. */
  public boolean serving() {
    return !suspected && !delisted() && !endpoint.leaving();
  }

  /** Returns whether it is believed dead or unreachable. */
  public boolean suspected() {
    return suspected;
  }

  void suspected(boolean value) {
    suspected = value;
  }

  /** Gives it no new work until then, for example because it said that it is full. */
  public void avoidUntil(long nanos) {
    avoidedUntil = Math.max(avoidedUntil, nanos);
  }

  /**
   * Notes that a request through it made progress.
   *
   * @param fast whether it did so without a long pause before
   */
  public void noteProgress(long nowNanos, boolean fast) {
    lastProgress = nowNanos;
    if (fast) {
      lastFastProgress = nowNanos;
    }
  }

  /** Returns when a request through it last made progress. */
  public long lastProgress() {
    return lastProgress;
  }

  /** Returns when a request through it last made progress without a long pause. */
  public long lastFastProgress() {
    return lastFastProgress;
  }

  /** Returns how many times slower than its kind it says that it is, to this node or to peers. */
  public double pace() {
    return Math.max(pace, peersPace);
  }

  /** Returns whether it told this node itself that it is slow. */
  public boolean slowAtFirstHand() {
    return pace >= SLOW_PACE;
  }

  /** Returns the pace that it told this node itself. */
  public double firstHandPace() {
    return pace;
  }

  /** Takes the pace that peers know at first hand; 1 if none knows it to be slow. */
  public void peersPace(double value) {
    peersPace = value;
  }

  void pace(double value) {
    pace = Math.max(1, value);
  }

  /** Notes that it refused work for want of memory or places: others use it more than this node. */
  public void noteShortage(long nowNanos) {
    shortage = Math.min(MAX_SHORTAGE, shortage(nowNanos) * SHORTAGE_STEP);
    shortageAt = nowNanos;
  }

  /** Returns by how much its use is higher than this node's own requests suggest; at least 1. */
  public double shortage(long nowNanos) {
    double age = (nowNanos - shortageAt) / SHORTAGE_HALF_LIFE_NANOS;
    return 1 + (shortage - 1) * Math.pow(0.5, age);
  }

  /** Notes a failed request; returns how many failed in a row. */
  public int noteFailure() {
    return ++failuresInARow;
  }

  /** Notes a request that was answered. */
  public void noteSuccess() {
    failuresInARow = 0;
  }

  /** Returns how many requests a second it takes, and this node's share of them. */
  public StartLimit startLimit() {
    return said.startLimit();
  }

  /** Returns what it said of itself. */
  RunStatements statements() {
    return said;
  }

  /** Returns for how long it wants no calls from this node. */
  Backoff backoff() {
    return said.backoff();
  }

  /** Returns this node's requests in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the tokens times layers that this node's requests need there. */
  public double reservedTokenLayers() {
    return reservedTokenLayers;
  }

  /**
   * Notes what the requests of other nodes take.
   *
   * @param requests of the nodes that told of theirs
   * @param tokenLayers memory that those requests need, in tokens times layers
   * @param factor live nodes by nodes whose load is known, this one included; at least 1
   */
  public void peersLoad(int requests, double tokenLayers, double factor) {
    peersRequests = requests;
    peersTokenLayers = tokenLayers;
    unheardFactor = factor;
  }

  /**
   * Notes how many peers choose by the same view as this node: each is taken to have begun as much
   * here as this node since its last report.
   *
   * <p>Without this, nodes that hear that an engine has room fill it together before they hear of
   * each other. The fewer streams a node has, the less its own tell of its peers'.
   *
   * @param peers nodes that prefer the same engines and are heard
   * @param kept part of what this node began before that peers have still not told of their like; 0
   *     to 1
   */
  public void peersAlike(double peers, double kept) {
    peersAlike = peers;
    recentRequests *= kept;
    recentTokenLayers *= kept;
  }

  /** Returns the requests of all nodes there, as far as it is known. */
  public double requestsOfAll() {
    return (inFlight + peersRequests) * unheardFactor + recentRequests * peersAlike;
  }

  /** Returns the tokens times layers that the requests of all nodes need there. */
  public double tokenLayersOfAll() {
    return (reservedTokenLayers + peersTokenLayers) * unheardFactor
        + recentTokenLayers * peersAlike;
  }

  /** Counts a request of this node in; every call is matched by one of {@link #release}. */
  public void reserve(double tokenLayers) {
    inFlight++;
    reservedTokenLayers += tokenLayers;
    recentRequests++;
    recentTokenLayers += tokenLayers;
  }

  /** Counts a request of this node out. */
  public void release(double tokenLayers) {
    inFlight--;
    reservedTokenLayers -= tokenLayers;
  }

  /** Returns whether it holds all layers of the range. */
  public boolean holds(LayerRange range) {
    return endpoint.layers().filter(held -> held.encloses(range)).isPresent();
  }

  @Override
  public String toString() {
    return endpoint.id() + "@" + endpoint.address();
  }
}
