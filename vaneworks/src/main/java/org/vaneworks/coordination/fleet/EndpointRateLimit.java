package org.vaneworks.coordination.fleet;

import org.vaneworks.state.AdvertisedRateLimit;

/**
 * The rate limit of one endpoint, which applies to the requests of all nodes together, and this
 * node's share of it.
 *
 * <p>Requests are spaced evenly, without a burst allowance after idle periods: the endpoint is
 * overloaded, and the bursts of all nodes could reach it at once. Confined to the node's event
 * loop.
 */
public final class EndpointRateLimit {
  private static final double NANOS_PER_SECOND = 1e9;

  private AdvertisedRateLimit limit = AdvertisedRateLimit.none();
  private long receivedAt = Long.MIN_VALUE / 2;
  private long changedAt = Long.MIN_VALUE / 2;
  private long receivedFirstHandAt = Long.MIN_VALUE / 2;
  private double share;
  private long lastRequestAt;
  private int requestsSinceChange;

  EndpointRateLimit() {}

  /** Returns the limit that the endpoint last announced, to this node or to a peer. */
  public AdvertisedRateLimit limit() {
    return limit;
  }

  /** Returns whether the endpoint limits the request rate. */
  boolean inForce() {
    return limit.isLimited();
  }

  /** Returns when the limit was received, in nanoseconds on the node's clock. */
  public long receivedAt() {
    return receivedAt;
  }

  /**
   * Returns when the endpoint began or ceased to limit the rate, in nanoseconds on the node's
   * clock.
   */
  long changedAt() {
    return changedAt;
  }

  /** Returns when the endpoint last announced a limit, or the end of one, to this node directly. */
  public long receivedFirstHandAt() {
    return receivedFirstHandAt;
  }

  void update(AdvertisedRateLimit newest, long newestReceivedAt) {
    if (newest.isLimited() != limit.isLimited()) {
      requestsSinceChange = 0;
      share = 0;
      changedAt = newestReceivedAt;
    }
    limit = newest;
    receivedAt = newestReceivedAt;
  }

  void recordFirstHand(long nowNanos) {
    receivedFirstHandAt = nowNanos;
  }

  /**
   * Sets the rate at which this node may send requests to the endpoint.
   *
   * @param requestsPerSecond this node's share of the limit; 0 if the endpoint is left to other
   *     nodes
   * @param phase from 0 to 1: the part of the interval between two requests that elapses before the
   *     first one if there was no share before; it differs between nodes so that they do not start
   *     simultaneously
   */
  public void setShare(double requestsPerSecond, double phase, long nowNanos) {
    if (share == 0 && requestsPerSecond > 0) {
      lastRequestAt = nowNanos - (long) ((1 - phase) * NANOS_PER_SECOND / requestsPerSecond);
    }
    share = requestsPerSecond;
  }

  /**
   * Returns the rate at which this node may send requests to the endpoint, per second; infinite
   * without a limit.
   */
  double requestsPerSecond() {
    return inForce() ? share : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns when this node may send the next request, in nanoseconds on the node's clock; {@link
   * Long#MAX_VALUE} for never.
   */
  long nextRequestAt() {
    if (!inForce()) {
      return Long.MIN_VALUE;
    }
    return share == 0 ? Long.MAX_VALUE : lastRequestAt + (long) (NANOS_PER_SECOND / share);
  }

  void recordRequest(long nowNanos) {
    lastRequestAt = nowNanos;
    requestsSinceChange++;
  }

  /**
   * Returns the number of requests that this node sent since the endpoint began or ceased to limit
   * the rate.
   */
  int requestsSinceChange() {
    return requestsSinceChange;
  }
}
