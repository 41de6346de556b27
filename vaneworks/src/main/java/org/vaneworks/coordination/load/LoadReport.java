package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What the requests of one node, or of a group of nodes, take of the endpoints; endpoints without
 * any are left out.
 *
 * @param sender the box of the node that sends it
 * @param group the group whose loads are summed; empty for the sender's own load
 * @param nodes how many nodes' loads are summed
 * @param loads one entry an endpoint
 * @param slow the engines that these nodes know to be slow at first hand
 */
public record LoadReport(
    String sender,
    String group,
    int nodes,
    ImmutableList<EndpointLoad> loads,
    ImmutableList<EnginePace> slow) {
  /** Checks that all parts are given. */
  public LoadReport {
    checkNotNull(sender);
    checkNotNull(group);
    checkArgument(nodes > 0, "nodes must be positive: %s", nodes);
    checkNotNull(loads);
    checkNotNull(slow);
  }

  /** Returns whether it tells of no request and of no slow engine. */
  public boolean isEmpty() {
    return loads.isEmpty() && slow.isEmpty();
  }

  /** Returns the report of one node that knows of no slow engine. */
  public static LoadReport ofNode(String sender, ImmutableList<EndpointLoad> loads) {
    return ofNode(sender, loads, ImmutableList.of());
  }

  /** Returns the report of one node. */
  public static LoadReport ofNode(
      String sender, ImmutableList<EndpointLoad> loads, ImmutableList<EnginePace> slow) {
    return new LoadReport(sender, "", 1, loads, slow);
  }

  /** Returns whether it is the sum over a group. */
  public boolean ofGroup() {
    return !group.isEmpty();
  }
}
