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
 * @param limits what endpoints said to these nodes about the requests that they take
 * @param configuration the newest version of the configuration that the sender has seen; 0 if none
 */
public record LoadReport(
    String sender,
    String group,
    int nodes,
    ImmutableList<EndpointLoad> loads,
    ImmutableList<EnginePace> slow,
    ImmutableList<EndpointLimit> limits,
    long configuration) {
  /** Checks that all parts are given. */
  public LoadReport {
    checkNotNull(sender);
    checkNotNull(group);
    checkArgument(nodes > 0, "nodes must be positive: %s", nodes);
    checkNotNull(loads);
    checkNotNull(slow);
    checkNotNull(limits);
    checkArgument(configuration >= 0, "configuration must not be negative: %s", configuration);
  }

  /** Returns whether it tells of no request, of no slow engine and of no limit. */
  public boolean isEmpty() {
    return loads.isEmpty() && slow.isEmpty() && limits.isEmpty();
  }

  /** Returns the report of one node that knows of no slow engine and of no limit. */
  public static LoadReport ofNode(String sender, ImmutableList<EndpointLoad> loads) {
    return ofNode(sender, loads, ImmutableList.of(), ImmutableList.of());
  }

  /** Returns the report of one node. */
  public static LoadReport ofNode(
      String sender,
      ImmutableList<EndpointLoad> loads,
      ImmutableList<EnginePace> slow,
      ImmutableList<EndpointLimit> limits) {
    return new LoadReport(sender, "", 1, loads, slow, limits, 0);
  }

  /** Returns this report with the newest version of the configuration that the sender has seen. */
  LoadReport ofConfiguration(long version) {
    return new LoadReport(sender, group, nodes, loads, slow, limits, version);
  }

  /** Returns whether it is the sum over a group. */
  public boolean ofGroup() {
    return !group.isEmpty();
  }
}
