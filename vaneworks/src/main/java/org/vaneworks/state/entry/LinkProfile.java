package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The capacity of the link between two data centres for a model's activations.
 *
 * @param megabitsPerToken megabits that one token of a request takes on the link
 * @param megabitsPerSecond capacity that all requests between the two data centres share
 */
public record LinkProfile(double megabitsPerToken, double megabitsPerSecond) {
  /** Checks that both figures are positive. */
  public LinkProfile {
    checkArgument(megabitsPerToken > 0, "megabitsPerToken must be positive: %s", megabitsPerToken);
    checkArgument(
        megabitsPerSecond > 0, "megabitsPerSecond must be positive: %s", megabitsPerSecond);
  }
}
