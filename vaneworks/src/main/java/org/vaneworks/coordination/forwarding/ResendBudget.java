package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.function.IntSupplier;

/**
 * This node's part of the fleet's budget of repeated sends.
 *
 * <p>Each first send earns its share; a reserve, divided by the number of live nodes, covers the
 * first failures. Whatever the window, a node sends again at most its share of the requests in it
 * plus its reserve. Confined to the node's event loop.
 */
public final class ResendBudget {
  /** Part of the fleet's reserve that is given out: processes that restart begin anew. */
  private static final double USABLE_RESERVE_FRACTION = 0.6;

  /** Part of the earned share that is given out; requests of a window may come at its end. */
  private static final double USABLE_SHARE_FRACTION = 0.8;

  private final IntSupplier liveNodes;
  private double share;
  private double fleetReserve;
  private double spentBeyondShare;

  private ResendBudget(IntSupplier liveNodes) {
    this.liveNodes = liveNodes;
  }

  /** Returns an unspent budget. */
  public static ResendBudget of(ForwardingLimits limits, IntSupplier liveNodes) {
    ResendBudget budget = new ResendBudget(liveNodes);
    budget.limits(limits);
    return budget;
  }

  /** Sets the bounds; what was spent before stays spent. */
  void limits(ForwardingLimits limits) {
    checkArgument(limits.retryShare() >= 0, "retryShare is negative: %s", limits.retryShare());
    share = limits.retryShare() * USABLE_SHARE_FRACTION;
    fleetReserve = limits.retryReserve() * USABLE_RESERVE_FRACTION;
  }

  /** Notes a first send. */
  void earn() {
    spentBeyondShare = Math.max(0, spentBeyondShare - share);
  }

  /** Returns whether there is a repeated send to take out. */
  boolean canSpend() {
    return spentBeyondShare + 1 <= fleetReserve / liveNodes.getAsInt();
  }

  /** Takes one repeated send out; returns false if the budget is spent. */
  boolean spend() {
    if (!canSpend()) {
      return false;
    }
    spentBeyondShare += 1;
    return true;
  }
}
