package org.vaneworks.coordination.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.vaneworks.coordination.forwarding.CapacityQueue.Entry;

/**
 * Decides which waiting requests try to start in one poll of a {@link CapacityQueue}.
 *
 * <p>A request that found no capacity may be passed over by later requests, which need less. Of its
 * own workspace only {@link #MAX_PASSES} requests may do so; the next ones wait until it has
 * started or left, so that the capacity that they would take is left for it. Other workspaces do
 * not wait for it, as a request that never fits must not take their share; but after as many passes
 * by them it is no longer put behind requests that are on time. Neither applies to requests without
 * a workspace.
 */
final class PollAttempts {
  /** How often a request may be passed over, by later ones of its workspace and by others. */
  static final int MAX_PASSES = 8;

  /** Failed starts after which a poll ends; more than one, as another request may fit. */
  private static final int MAX_MISSES = 3;

  /**
   * Failed starts after which not even requests of workspaces try that are smaller than all that
   * failed. They may fit, but each attempt costs a path search.
   */
  private static final int MAX_MISSES_OF_SMALLER = 6;

  private final List<Entry> passable = new ArrayList<>();
  private int misses;
  private double smallestMiss = Double.POSITIVE_INFINITY;

  /** Returns whether a request may try to start; requests are passed in their order. */
  boolean mayTry(Entry entry) {
    return isWithinMisses(entry) && !isHeldBack(entry);
  }

  private boolean isWithinMisses(Entry entry) {
    boolean smaller =
        entry.charge().workspace().isPresent() && entry.charge().cost() < smallestMiss;
    return misses < (smaller ? MAX_MISSES_OF_SMALLER : MAX_MISSES);
  }

  private boolean isHeldBack(Entry entry) {
    return passable.stream()
        .anyMatch(
            earlier ->
                isSameWorkspace(earlier, entry) && earlier.passesInWorkspace() >= MAX_PASSES);
  }

  /** Records that a request started: it passed over the earlier ones that did not. */
  void started(Entry entry) {
    passable.forEach(earlier -> earlier.recordPass(isSameWorkspace(earlier, entry)));
  }

  /** Records that a request tried to start and found no capacity. */
  void missed(Entry entry) {
    misses++;
    smallestMiss = Math.min(smallestMiss, entry.charge().cost());
  }

  /** Records that a request keeps waiting. */
  void waits(Entry entry) {
    // A request with an attempt in progress can't use that attempt's endpoint, whatever its size.
    if (entry.charge().workspace().isPresent()
        && !entry.waiter().continues()
        && !entry.waiter().hasAttempt()) {
      passable.add(entry);
    }
  }

  private static boolean isSameWorkspace(Entry one, Entry other) {
    return one.charge().workspace().equals(other.charge().workspace());
  }
}
