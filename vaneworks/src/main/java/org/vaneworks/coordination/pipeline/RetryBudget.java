package org.vaneworks.coordination.pipeline;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Bounds a node's retries to a share of its first attempts.
 *
 * <p>When everything fails, each attempt earns only its share of a retry, so the load that retries
 * add stays at that share. A small reserve lets a quiet node retry. Thread-safe.
 */
public final class RetryBudget {
  private final double share;
  private final double reserve;

  @GuardedBy("this")
  private double balance;

  private RetryBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.balance = reserve;
  }

  /**
   * Returns a full budget.
   *
   * @param share retries earned by one first attempt, 0 to 1
   * @param reserve most retries saved up
   */
  public static RetryBudget of(double share, double reserve) {
    checkArgument(share >= 0 && share <= 1, "share must be 0 to 1: %s", share);
    checkArgument(reserve >= 0, "reserve must not be negative: %s", reserve);
    return new RetryBudget(share, reserve);
  }

  /** Takes note of a first attempt. */
  public synchronized void earn() {
    balance = Math.min(reserve, balance + share);
  }

  /** Takes one retry out of the budget; returns false if it is spent. */
  public synchronized boolean spend() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
