package org.vaneworks.daemon.entry;

import java.time.Duration;

/**
 * The timing of the watch calls to the store.
 *
 * <p>The platform counts each call, and a watch without changes costs one call per wait. The wait
 * is therefore as long as the maximum age of the store snapshot allows. A response confirms the
 * state at the time of the call, so just before the next response the snapshot is as old as two
 * waits and the pause between them.
 *
 * @param watchWait how long a watch waits for a change
 * @param pause the time between a response and the next call, which batches successive changes
 */
record WatchTiming(Duration watchWait, Duration pause) {
  /**
   * Fractions of the revocation time for a fleet of up to a few dozen nodes.
   *
   * <p>Two waits and a pause take 0.6 of the revocation time, so a node continues to serve for at
   * least 0.35 of it when the store becomes unavailable. A wait of 0.36 would reduce that to 0.13,
   * for a quarter fewer calls when there are no changes. With a revocation time of five seconds the
   * pause is half a second. That is short compared with the two seconds within which a change must
   * take effect, and limits a node to two calls per second under continuous changes.
   */
  private static final Fractions SMALL_FLEET = new Fractions(0.25, 0.1);

  /**
   * Fractions for a large fleet, where changes are continuous, including those of its own boxes,
   * and each change wakes every node. They limit a node to 0.57 calls per second at a revocation
   * time of five seconds, and let it serve for as long when the store is unavailable.
   */
  private static final Fractions LARGE_FLEET = new Fractions(0.15, 0.35);

  /**
   * Largest fleet that uses {@link #SMALL_FLEET}; twice as many nodes use {@link #LARGE_FLEET}, and
   * the fractions are interpolated in between.
   */
  private static final int SMALL_FLEET_NODES = 32;

  /**
   * Bounds the time to detect a watch that gets no response because of a network partition: the
   * call times out a second after its wait. A node counts as connected three seconds after a
   * partition ends.
   */
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);

  /** The wait and the pause as fractions of the revocation time. */
  private record Fractions(double watchWait, double pause) {
    /** Interpolates linearly between these fractions (weight 0) and others (weight 1). */
    Fractions interpolate(Fractions other, double weight) {
      return new Fractions(
          watchWait + (other.watchWait - watchWait) * weight,
          pause + (other.pause - pause) * weight);
    }
  }

  /**
   * Returns the timing for a deployment.
   *
   * @param keyRevocation the time within which a revoked key must stop working
   * @param nodes the number of live nodes, all of which watch the same keys
   */
  static WatchTiming within(Duration keyRevocation, int nodes) {
    double weight =
        Math.max(0, Math.min(1, (nodes - SMALL_FLEET_NODES) / (double) SMALL_FLEET_NODES));
    Fractions fractions = SMALL_FLEET.interpolate(LARGE_FLEET, weight);
    Duration wait = fractionOf(keyRevocation, fractions.watchWait());
    boolean exceedsMax = wait.compareTo(MAX_WAIT) > 0;
    Duration boundedWait = exceedsMax ? MAX_WAIT : wait;
    return new WatchTiming(
        boundedWait, fractionOf(boundedWait, fractions.pause() / fractions.watchWait()));
  }

  private static Duration fractionOf(Duration duration, double fraction) {
    return Duration.ofNanos(Math.round(duration.toNanos() * fraction));
  }
}
