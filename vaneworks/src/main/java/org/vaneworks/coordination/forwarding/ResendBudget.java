package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * This node's share of the fleet's retry budget of one service.
 *
 * <p>Each request deposits a fraction of a retry. A reserve, divided by the number of live nodes,
 * covers the first failures. In any time window, a node sends again at most the configured share of
 * the requests of that window plus its reserve.
 *
 * <p>None of the reserve is used while other nodes may not count this one, as their parts and that
 * of this node could be more than the whole. The share needs no division. While its part of the
 * reserve allows no retry, a node saves some of the share for failures that follow; what it saved
 * expires with the window of its requests.
 *
 * <p>An earlier process on the box may have spent its reserve just before this one started.
 * Therefore less of it is used during the first window, and that little by little: however often
 * processes succeed each other on a box, they use no more than its part of the reserve in any
 * window.
 */
public final class ResendBudget {
  /** Fraction of the reserve that a process uses after its first window. */
  private static final double USABLE_RESERVE_FRACTION = 0.6;

  /** Fraction that processes use during their first windows, by the end of one at the earliest. */
  private static final double FIRST_WINDOW_FRACTION = 1 - USABLE_RESERVE_FRACTION;

  /**
   * Fraction of the deposited share that is used, because a window's requests may come at its end.
   */
  private static final double USABLE_SHARE_FRACTION = 0.8;

  /**
   * Fraction of the share that can be saved. Retries of a window that are paid by requests of the
   * preceding one, and those paid by its own, are together at most the share of either.
   */
  private static final double SAVED_SHARE_FRACTION = 1 - USABLE_SHARE_FRACTION;

  private final LongSupplier clock;
  private final SharingNodes sharing;

  private double share;
  private double savedShare;
  private double fleetReserve;
  private long windowNanos;
  private RecentRequests recentRequests;

  /** Negative by as much of the share as is saved. */
  private double spentBeyondShare;

  private int reserved;
  private int awaited;

  private ResendBudget(LongSupplier clock, SharingNodes sharing) {
    this.clock = checkNotNull(clock);
    this.sharing = checkNotNull(sharing);
    recentRequests = RecentRequests.startingAt(windowNanos, clock.getAsLong());
  }

  /**
   * Returns a budget from which this process has spent nothing.
   *
   * @param clock returns the present time in nanoseconds
   * @param sharing the nodes that divide the reserve
   */
  public static ResendBudget of(LongSupplier clock, ForwardingLimits limits, SharingNodes sharing) {
    ResendBudget budget = new ResendBudget(clock, sharing);
    budget.updateLimits(limits);
    return budget;
  }

  /** Updates the limits; retries spent before remain spent. */
  void updateLimits(ForwardingLimits limits) {
    checkArgument(limits.retryShare() >= 0, "retryShare is negative: %s", limits.retryShare());
    share = limits.retryShare() * USABLE_SHARE_FRACTION;
    savedShare = limits.retryShare() * SAVED_SHARE_FRACTION;
    fleetReserve = limits.retryReserve();
    if (windowNanos != limits.retryWindow().toNanos()) {
      windowNanos = limits.retryWindow().toNanos();
      recentRequests = RecentRequests.startingAt(windowNanos, clock.getAsLong());
    }
  }

  /** Deposits the share of a new request. */
  void deposit() {
    recentRequests.record(clock.getAsLong());
    spentBeyondShare = Math.max(-savable(), spent() - share);
  }

  /** Returns whether the budget allows another retry besides those reserved or awaited. */
  boolean canWithdraw() {
    return allows(reserved + awaited + 1);
  }

  /** Withdraws one retry; returns false, and withdraws nothing, if the budget is exhausted. */
  boolean tryWithdraw() {
    if (!canWithdraw()) {
      return false;
    }
    spend();
    return true;
  }

  /** Reserves one retry; returns false, and reserves nothing, if the budget is exhausted. */
  boolean tryReserve() {
    if (!canWithdraw()) {
      return false;
    }
    reserved++;
    return true;
  }

  /** Records that an interrupted stream awaits a retry, which nobody else can withdraw. */
  void startAwaiting() {
    awaited++;
  }

  /** Records that an interrupted stream awaits a retry no longer. */
  void stopAwaiting() {
    checkState(awaited > 0, "nothing is awaited");
    awaited--;
  }

  /** Reserves a retry that is awaited; returns false if the budget does not allow it yet. */
  boolean tryReserveAwaited() {
    if (!allows(reserved + 1)) {
      return false;
    }
    stopAwaiting();
    reserved++;
    return true;
  }

  /**
   * Returns whether a reserved retry can be withdrawn; not if limits or live nodes have changed
   * since.
   */
  boolean canWithdrawReserved() {
    return allows(1);
  }

  /** Withdraws a retry that was reserved; {@link #canWithdrawReserved} must hold. */
  void withdrawReserved() {
    checkState(canWithdrawReserved(), "withdrawal beyond the budget: %s spent", spentBeyondShare);
    releaseReserved();
    spend();
  }

  /** Releases a retry that was reserved. */
  void releaseReserved() {
    checkState(reserved > 0, "nothing is reserved");
    reserved--;
  }

  /**
   * Returns whether an exhausted budget can allow a retry again: through deposits, because reserved
   * retries are released, or because the reserve grows.
   */
  boolean canRecover() {
    return canReserveAllow() && (share > 0 || allows(1) || reserveGrows()) || savable() >= 1;
  }

  /** Returns whether this process does not use its whole part of the reserve yet. */
  boolean reserveGrows() {
    return canReserveAllow() && usableFraction() < USABLE_RESERVE_FRACTION;
  }

  private boolean canReserveAllow() {
    return reservePerNode() * USABLE_RESERVE_FRACTION >= 1;
  }

  private boolean allows(int retries) {
    return spent() + retries <= usableReserve();
  }

  private void spend() {
    spentBeyondShare = spent() + 1;
  }

  private double spent() {
    return Math.max(-savable(), spentBeyondShare);
  }

  /** Returns how much of the share may be saved. */
  private double savable() {
    return usableReserve() < 1 ? savedShare * recentRequests.count(clock.getAsLong()) : 0;
  }

  private double usableReserve() {
    return reservePerNode() * usableFraction();
  }

  private double usableFraction() {
    OptionalLong countedSince = sharing.countedSince().get();
    if (countedSince.isEmpty()) {
      return 0;
    }
    double countedNanos = clock.getAsLong() - countedSince.getAsLong();
    return countedNanos < windowNanos
        ? FIRST_WINDOW_FRACTION * countedNanos / windowNanos
        : USABLE_RESERVE_FRACTION;
  }

  private double reservePerNode() {
    return fleetReserve / sharing.count().getAsInt();
  }
}
