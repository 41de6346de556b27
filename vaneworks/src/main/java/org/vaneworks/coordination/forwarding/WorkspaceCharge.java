package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.entry.Caller;

/**
 * What the start of a request takes of its workspace's share.
 *
 * @param workspace the workspace; empty for a request without an API key
 * @param weight weight of the workspace
 * @param cost expected number of tokens; 1 for a plain service
 */
record WorkspaceCharge(Optional<String> workspace, double weight, double cost) {
  /** Checks the components. */
  WorkspaceCharge {
    checkNotNull(workspace);
    checkArgument(weight > 0, "weight must be positive: %s", weight);
    checkArgument(cost > 0, "cost must be positive: %s", cost);
  }

  /**
   * Returns the charge for a request.
   *
   * @param tokens expected number of tokens; 0 for a plain service
   */
  static WorkspaceCharge of(Optional<Caller> caller, int tokens) {
    return new WorkspaceCharge(
        caller.map(Caller::workspace), caller.map(Caller::weight).orElse(1.0), Math.max(1, tokens));
  }
}
