package org.vaneworks.coordination.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often one node may call the platform's store.
 *
 * @param callsPerSecond in the long run
 * @param burst calls saved up at most; a fresh node reads all pages with them
 */
public record StoreBudget(double callsPerSecond, int burst) {
  /** Checks the bounds. */
  public StoreBudget {
    checkArgument(callsPerSecond > 0, "callsPerSecond must be positive: %s", callsPerSecond);
    checkArgument(burst > 0, "burst must be positive: %s", burst);
  }

  /** Returns the budget that holds unless settings say otherwise. */
  public static StoreBudget defaults() {
    return new StoreBudget(20, 400);
  }
}
