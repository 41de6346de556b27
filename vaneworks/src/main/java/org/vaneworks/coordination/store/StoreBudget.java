package org.vaneworks.coordination.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Rate limit of one node's calls to the platform's store.
 *
 * @param callsPerSecond sustained rate
 * @param burst maximum number of calls in a burst; a node that starts needs it to read all pages
 */
public record StoreBudget(double callsPerSecond, int burst) {
  /** Checks that both limits are positive. */
  public StoreBudget {
    checkArgument(callsPerSecond > 0, "callsPerSecond must be positive: %s", callsPerSecond);
    checkArgument(burst > 0, "burst must be positive: %s", burst);
  }

  /** Returns the default budget. */
  public static StoreBudget defaults() {
    return new StoreBudget(20, 400);
  }
}
