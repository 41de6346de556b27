package org.vaneworks.coordination.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.fleet.LinkLoad;

/**
 * The load that the requests of one node, or of a group of nodes, put on endpoints. Endpoints
 * without load are omitted.
 *
 * @param sender the box of the sending node
 * @param group the group whose loads are summed; empty for the sender's own load
 * @param nodes number of nodes whose loads are summed
 * @param loads the load of each endpoint
 * @param slowEngines the engines that reported to these nodes that they are slow
 * @param limits the rate limits that endpoints announced to these nodes
 * @param links the load of these nodes on links between data centres
 * @param suspectedEngines short keys of the engines that these nodes suspect
 * @param configurationVersion the newest configuration version that the sender has seen; 0 if none
 */
public record LoadReport(
    String sender,
    String group,
    int nodes,
    ImmutableList<EndpointLoad> loads,
    ImmutableList<EnginePace> slowEngines,
    ImmutableList<ReportedRateLimit> limits,
    ImmutableList<LinkLoad> links,
    ImmutableList<Integer> suspectedEngines,
    long configurationVersion) {
  /** Checks that the components are given and in range. */
  public LoadReport {
    checkNotNull(sender);
    checkNotNull(group);
    checkArgument(nodes > 0, "nodes must be positive: %s", nodes);
    checkNotNull(loads);
    checkNotNull(slowEngines);
    checkNotNull(limits);
    checkNotNull(links);
    checkNotNull(suspectedEngines);
    checkArgument(
        configurationVersion >= 0,
        "configurationVersion must not be negative: %s",
        configurationVersion);
  }

  /** Returns whether the report contains nothing but the configuration version. */
  public boolean isEmpty() {
    return loads.isEmpty()
        && slowEngines.isEmpty()
        && limits.isEmpty()
        && links.isEmpty()
        && suspectedEngines.isEmpty();
  }

  /** Returns the report of one node without slow engines, limits and load on links. */
  public static LoadReport ofNode(String sender, ImmutableList<EndpointLoad> loads) {
    return ofNode(sender, loads, ImmutableList.of(), ImmutableList.of(), ImmutableList.of());
  }

  /** Returns the report of one node. */
  public static LoadReport ofNode(
      String sender,
      ImmutableList<EndpointLoad> loads,
      ImmutableList<EnginePace> slowEngines,
      ImmutableList<ReportedRateLimit> limits,
      ImmutableList<LinkLoad> links) {
    return new LoadReport(sender, "", 1, loads, slowEngines, limits, links, ImmutableList.of(), 0);
  }

  /** Returns a copy with the short keys of the engines that the nodes suspect. */
  public LoadReport withSuspectedEngines(ImmutableList<Integer> keys) {
    return new LoadReport(
        sender, group, nodes, loads, slowEngines, limits, links, keys, configurationVersion);
  }

  /** Returns a copy with the newest configuration version that the sender has seen. */
  LoadReport withConfigurationVersion(long version) {
    return new LoadReport(
        sender, group, nodes, loads, slowEngines, limits, links, suspectedEngines, version);
  }

  /** Returns whether the report is the total of a group. */
  public boolean isGroupTotal() {
    return !group.isEmpty();
  }
}
