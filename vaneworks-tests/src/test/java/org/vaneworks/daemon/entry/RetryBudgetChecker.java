package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.vaneworks.coordination.forwarding.ForwardingLimits;

/**
 * Checks one node's retries against its retry budget: in any time window, they may not exceed the
 * configured share of the node's requests plus the node's part of the reserve.
 */
final class RetryBudgetChecker {
  /** A retry that was granted may wait this long for capacity before it is sent. */
  private static final long MAX_WAIT_MILLIS = 3000;

  private final int nodes;
  private final LongSupplier clock;
  private final List<Long> retries = new ArrayList<>();

  /** The budget that all requests up to a time have deposited. */
  private final TreeMap<Long, Double> deposits = new TreeMap<>();

  /** The configured reserve by the time from which it applies. */
  private final TreeMap<Long, Double> reserves = new TreeMap<>();

  private double share;
  private double deposited;

  RetryBudgetChecker(ForwardingLimits limits, int nodes, LongSupplier clock) {
    this.nodes = nodes;
    this.clock = clock;
    updateLimits(limits);
  }

  void updateLimits(ForwardingLimits next) {
    share = next.retryShare();
    reserves.put(clock.getAsLong(), next.retryReserve());
  }

  /** Records a request that the node accepted. */
  void recordRequest() {
    deposited += share;
    deposits.put(clock.getAsLong(), deposited);
  }

  /** Records a retry; returns whether it is within the budget. */
  boolean recordRetry() {
    retries.add(clock.getAsLong());
    for (int first = 0; first < retries.size(); first++) {
      int count = retries.size() - first;
      if (count
          > maxReserve() / nodes
              + deposited
              - depositedBefore(retries.get(first) - MAX_WAIT_MILLIS)) {
        return false;
      }
    }
    return true;
  }

  private double depositedBefore(long millis) {
    var before = deposits.lowerEntry(millis);
    return before == null ? 0 : before.getValue();
  }

  /** Returns the largest reserve under which a retry that is sent now may have been granted. */
  private double maxReserve() {
    Long from = reserves.floorKey(clock.getAsLong() - MAX_WAIT_MILLIS);
    return reserves.tailMap(from == null ? reserves.firstKey() : from).values().stream()
        .reduce(0.0, Math::max);
  }
}
