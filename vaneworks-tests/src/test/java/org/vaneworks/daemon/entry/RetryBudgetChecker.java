package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.vaneworks.coordination.forwarding.ForwardingLimits;

/**
 * One node's repeated sends against the users' bounds: in whatever window, a share of its requests
 * and its part of a reserve.
 */
final class RetryBudgetChecker {
  /** A repeated send that was allowed may wait for room so long before it goes. */
  private static final long WAITS_MILLIS = 3000;

  private final int nodes;
  private final LongSupplier clock;
  private final List<Long> resends = new ArrayList<>();

  /** What all requests up to a time have earned. */
  private final TreeMap<Long, Double> earned = new TreeMap<>();

  /** The reserve from a time on. */
  private final TreeMap<Long, Double> reserves = new TreeMap<>();

  private double share;
  private double sum;

  RetryBudgetChecker(ForwardingLimits limits, int nodes, LongSupplier clock) {
    this.nodes = nodes;
    this.clock = clock;
    limits(limits);
  }

  void limits(ForwardingLimits next) {
    share = next.retryShare();
    reserves.put(clock.getAsLong(), next.retryReserve());
  }

  /** Notes a request that the node took. */
  void noteRequest() {
    sum += share;
    earned.put(clock.getAsLong(), sum);
  }

  /** Notes a repeated send; returns whether it is within the bounds. */
  boolean noteResend() {
    resends.add(clock.getAsLong());
    for (int first = 0; first < resends.size(); first++) {
      int count = resends.size() - first;
      if (count > reserve() / nodes + sum - earnedBefore(resends.get(first) - WAITS_MILLIS)) {
        return false;
      }
    }
    return true;
  }

  private double earnedBefore(long millis) {
    var before = earned.lowerEntry(millis);
    return before == null ? 0 : before.getValue();
  }

  /** Returns the greatest reserve under which a send that goes now may have been allowed. */
  private double reserve() {
    Long from = reserves.floorKey(clock.getAsLong() - WAITS_MILLIS);
    return reserves.tailMap(from == null ? reserves.firstKey() : from).values().stream()
        .reduce(0.0, Math::max);
  }
}
