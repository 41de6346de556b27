package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.function.IntSupplier;

/**
 * This node's share of the fleet's retry budget.
 *
 * <p>Each request deposits a fraction of a retry. A reserve, divided by the number of live nodes,
 * covers the first failures. In any time window, a node sends again at most the configured share of
 * the requests of that window plus its reserve. Confined to the node's event loop.
 */
public final class ResendBudget {
  /**
   * Fraction of the fleet's reserve that is used, because a restarted process has spent nothing.
   */
  private static final double USABLE_RESERVE_FRACTION = 0.6;

  /**
   * Fraction of the deposited share that is used, because a window's requests may come at its end.
   */
  private static final double USABLE_SHARE_FRACTION = 0.8;

  private final IntSupplier liveNodes;
  private double share;
  private double fleetReserve;
  private double spentBeyondShare;

  private ResendBudget(IntSupplier liveNodes) {
    this.liveNodes = liveNodes;
  }

  /** Returns a budget from which nothing has been spent. */
  public static ResendBudget of(ForwardingLimits limits, IntSupplier liveNodes) {
    ResendBudget budget = new ResendBudget(liveNodes);
    budget.updateLimits(limits);
    return budget;
  }

  /** Updates the limits; retries spent before remain spent. */
  void updateLimits(ForwardingLimits limits) {
    checkArgument(limits.retryShare() >= 0, "retryShare is negative: %s", limits.retryShare());
    share = limits.retryShare() * USABLE_SHARE_FRACTION;
    fleetReserve = limits.retryReserve() * USABLE_RESERVE_FRACTION;
  }

  /** Deposits the share of a new request. */
  void deposit() {
    spentBeyondShare = Math.max(0, spentBeyondShare - share);
  }

  /** Returns whether the budget allows another retry. */
  boolean canWithdraw() {
    return spentBeyondShare + 1 <= fleetReserve / liveNodes.getAsInt();
  }

  /** Withdraws one retry; returns false, and withdraws nothing, if the budget is exhausted. */
  boolean tryWithdraw() {
    if (!canWithdraw()) {
      return false;
    }
    spentBeyondShare += 1;
    return true;
  }
}
