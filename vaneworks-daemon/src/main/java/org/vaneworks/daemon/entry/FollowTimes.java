package org.vaneworks.daemon.entry;

import java.time.Duration;

/**
 * How often the store is asked for changes.
 *
 * <p>Each call is counted by the platform, and a watch without changes costs one each time that it
 * is over. So it waits as long as the age of the view allows. An answered watch confirms what the
 * node knew when it was asked, so just before the next answer the view is as old as two waits and
 * the pause between them.
 *
 * @param watchWait how long a watch waits for a change
 * @param pause between an answer and the next call, so that changes that come together cost one
 */
record FollowTimes(Duration watchWait, Duration pause) {
  /**
   * Parts of the revocation time in a fleet of some dozen nodes at most.
   *
   * <p>Two waits and a pause are 0.6 of the time, so a node serves on for 0.35 of it at worst when
   * the store goes away. With 0.36 as the wait it was 0.13, for a quarter fewer calls on a calm
   * day. A pause of half a second of five is small against the two seconds in which a change has to
   * be in force, and bounds a node's calls to two a second while changes come without end.
   */
  private static final Parts USUAL = new Parts(0.25, 0.1);

  /**
   * The same in a large fleet, where changes do come without end (its own boxes' among them) and
   * each wakes every node: 0.57 calls a node and second at most, and as long a service without the
   * store.
   */
  private static final Parts LARGE = new Parts(0.15, 0.35);

  /** Nodes from which on the parts change; with twice as many they are those of a large fleet. */
  private static final int LARGE_FROM = 32;

  /**
   * A watch that a cut has silenced is given up a second after its wait; nodes count as connected
   * again three seconds after a cut.
   */
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

  /** Parts of the revocation time. */
  private record Parts(double waitPart, double pausePart) {
    /** Returns parts between these and others: 0 gives these, 1 the others. */
    Parts towards(Parts other, double share) {
      return new Parts(
          waitPart + (other.waitPart - waitPart) * share,
          pausePart + (other.pausePart - pausePart) * share);
    }
  }

  /**
   * Returns the times for a deployment.
   *
   * @param keyRevocation time in which a key that was taken away has to stop working
   * @param nodes live nodes, which all follow the same changes
   */
  static FollowTimes within(Duration keyRevocation, int nodes) {
    double share = Math.max(0, Math.min(1, (nodes - LARGE_FROM) / (double) LARGE_FROM));
    Parts parts = USUAL.towards(LARGE, share);
    Duration wait = part(keyRevocation, parts.waitPart());
    boolean bounded = wait.compareTo(LONGEST_WAIT) > 0;
    Duration longest = bounded ? LONGEST_WAIT : wait;
    return new FollowTimes(longest, part(longest, parts.pausePart() / parts.waitPart()));
  }

  private static Duration part(Duration of, double share) {
    return Duration.ofNanos(Math.round(of.toNanos() * share));
  }
}
