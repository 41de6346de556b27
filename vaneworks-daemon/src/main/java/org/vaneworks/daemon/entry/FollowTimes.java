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
   * Two waits and a pause are 0.6 of the time, so a node serves on for 0.35 of it at worst when the
   * store goes away. With 0.36 it was 0.13, for a quarter fewer calls on a calm day.
   */
  private static final double WAIT_PART = 0.25;

  /**
   * Half a second of five: small against the two seconds in which a change has to be in force. On
   * days with trouble changes come without end, and this bounds a node's calls to two a second.
   */
  private static final double PAUSE_PART = 0.1;

  /**
   * The same in a large fleet: each change wakes every node, and more boxes bring more changes. A
   * node still serves on for a quarter of the time when the store goes away.
   */
  private static final double LONGEST_PAUSE_PART = 0.2;

  /** Nodes from which on the pause grows; with twice as many it is longest. */
  private static final int LARGE_FLEET = 32;

  /**
   * A watch that a cut has silenced is given up a second after its wait; nodes count as connected
   * again three seconds after a cut.
   */
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

  /**
   * Returns the times for a deployment.
   *
   * @param keyRevocation time in which a key that was taken away has to stop working
   * @param nodes live nodes, which all follow the same changes
   */
  static FollowTimes within(Duration keyRevocation, int nodes) {
    Duration wait = part(keyRevocation, WAIT_PART);
    boolean bounded = wait.compareTo(LONGEST_WAIT) > 0;
    Duration longest = bounded ? LONGEST_WAIT : wait;
    double grown = PAUSE_PART * nodes / LARGE_FLEET;
    double pausePart = Math.max(PAUSE_PART, Math.min(LONGEST_PAUSE_PART, grown));
    return new FollowTimes(longest, part(longest, pausePart / WAIT_PART));
  }

  private static Duration part(Duration of, double share) {
    return Duration.ofNanos((long) (of.toNanos() * share));
  }
}
