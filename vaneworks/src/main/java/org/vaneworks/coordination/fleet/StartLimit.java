package org.vaneworks.coordination.fleet;

import org.vaneworks.state.AdvertisedRateLimit;

/**
 * How many requests a second one endpoint takes from all nodes together, as far as this node knows,
 * and this node's share of them.
 *
 * <p>Starts are spaced evenly, without a reserve for pauses: the endpoint is in need, and a reserve
 * of each node would reach it at once. Confined to the node's event loop.
 */
public final class StartLimit {
  private static final double NANOS_PER_SECOND = 1e9;

  private AdvertisedRateLimit stated = AdvertisedRateLimit.none();
  private long heardAt = Long.MIN_VALUE / 2;
  private long changedAt = Long.MIN_VALUE / 2;
  private long toldThisNodeAt = Long.MIN_VALUE / 2;
  private double share;
  private long lastStartAt;
  private int startsSinceChange;

  StartLimit() {}

  /** Returns what the endpoint said last, to this node or to a peer. */
  public AdvertisedRateLimit stated() {
    return stated;
  }

  /** Returns whether the endpoint takes only so many. */
  boolean inForce() {
    return stated.isLimited();
  }

  /** Returns when it said so, on the node's clock in nanoseconds. */
  public long heardAt() {
    return heardAt;
  }

  /** Returns when it began or ceased to name a limit. */
  long changedAt() {
    return changedAt;
  }

  /** Returns when it last said anything of it to this node itself. */
  public long toldThisNodeAt() {
    return toldThisNodeAt;
  }

  void take(AdvertisedRateLimit newest, long newestHeardAt) {
    if (newest.isLimited() != stated.isLimited()) {
      startsSinceChange = 0;
      share = 0;
      changedAt = newestHeardAt;
    }
    stated = newest;
    heardAt = newestHeardAt;
  }

  void toldThisNode(long nowNanos) {
    toldThisNodeAt = nowNanos;
  }

  /**
   * Sets how many requests a second this node may send there.
   *
   * @param startsPerSecond this node's part of the limit; 0 if it leaves the endpoint to others
   * @param phase 0 to 1: the part of the pause between two starts that passes before the first, if
   *     there was no share before; nodes differ in it, so that they don't begin together
   */
  public void share(double startsPerSecond, double phase, long nowNanos) {
    if (share == 0 && startsPerSecond > 0) {
      lastStartAt = nowNanos - (long) ((1 - phase) * NANOS_PER_SECOND / startsPerSecond);
    }
    share = startsPerSecond;
  }

  /** Returns how many requests a second this node may send there; infinite without a limit. */
  double startsPerSecond() {
    return inForce() ? share : Double.POSITIVE_INFINITY;
  }

  /** Returns when this node may send the next request there; the largest value is never. */
  long opensAt() {
    if (!inForce()) {
      return Long.MIN_VALUE;
    }
    return share == 0 ? Long.MAX_VALUE : lastStartAt + (long) (NANOS_PER_SECOND / share);
  }

  void noteStart(long nowNanos) {
    lastStartAt = nowNanos;
    startsSinceChange++;
  }

  /** Returns the requests that this node sent there since the endpoint began or ceased to limit. */
  int startsSinceChange() {
    return startsSinceChange;
  }
}
