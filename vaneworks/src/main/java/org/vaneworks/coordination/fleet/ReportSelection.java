package org.vaneworks.coordination.fleet;

import com.google.common.collect.ImmutableList;

/**
 * Selects a part of a list for the reports to all peers in one round, and the next part in the next
 * round, if the whole does not fit into one report. Confined to the node's event loop.
 */
final class ReportSelection {
  private final int maxSize;
  private int round;

  ReportSelection(int maxSize) {
    this.maxSize = maxSize;
  }

  /** Starts a round of reports. */
  void startRound() {
    round++;
  }

  /** Returns the elements for a report of this round, at most the maximum size. */
  <T> ImmutableList<T> select(ImmutableList<T> all) {
    if (all.size() <= maxSize) {
      return all;
    }
    int parts = (all.size() + maxSize - 1) / maxSize;
    int start = Math.floorMod(round, parts) * maxSize;
    return all.subList(start, Math.min(start + maxSize, all.size()));
  }
}
