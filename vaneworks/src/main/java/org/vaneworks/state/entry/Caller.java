package org.vaneworks.state.entry;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalInt;

/**
 * The caller that an API key identifies.
 *
 * @param workspace name of the caller's workspace
 * @param priority overrides the route's priority if present
 * @param weight the workspace's share of scarce capacity in relation to other workspaces; positive
 *     and finite
 */
public record Caller(String workspace, OptionalInt priority, double weight) {
  /** Checks the weight. */
  public Caller {
    checkArgument(
        weight > 0 && Double.isFinite(weight), "weight must be positive and finite: %s", weight);
  }

  /** Creates a caller whose workspace has weight 1. */
  public Caller(String workspace, OptionalInt priority) {
    this(workspace, priority, 1);
  }
}
