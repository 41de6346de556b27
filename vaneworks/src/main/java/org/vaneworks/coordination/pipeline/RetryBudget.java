package org.vaneworks.coordination.pipeline;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Limits a node's retries to a fraction of its first attempts.
 *
 * <p>Each first attempt deposits a fraction of a retry. Even if every attempt fails, retries
 * increase the load by no more than that fraction. A small reserve lets a node with little traffic
 * retry. Thread-safe.
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
   * Creates a budget whose reserve is full.
   *
   * @param share retries deposited by one first attempt, 0 to 1
   * @param reserve maximum number of retries held in the budget
   */
  public static RetryBudget of(double share, double reserve) {
    checkArgument(share >= 0 && share <= 1, "share must be 0 to 1: %s", share);
    checkArgument(reserve >= 0, "reserve must not be negative: %s", reserve);
    return new RetryBudget(share, reserve);
  }

  /** Deposits the share of a first attempt. */
  public synchronized void deposit() {
    balance = Math.min(reserve, balance + share);
  }

  /** Withdraws one retry; returns false, and withdraws nothing, if the budget is exhausted. */
  public synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
