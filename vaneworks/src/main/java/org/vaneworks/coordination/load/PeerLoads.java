package org.vaneworks.coordination.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.vaneworks.coordination.fleet.LinkLoad;

/**
 * The latest load reports of peers: one per member of this node's group, and one total per other
 * group.
 *
 * <p>Confined to the node's event loop.
 */
final class PeerLoads {
  /** The latest report about a node or a group, and when it was received. */
  private record ReceivedReport(LoadReport report, long receivedAt) {}

  private final Map<String, ReceivedReport> members = new HashMap<>();
  private final Map<String, ReceivedReport> groups = new HashMap<>();

  /**
   * The sums over all reports, and over the reports of members, which make up the group's total.
   */
  private final LoadSums allSums = new LoadSums();

  private final LoadSums memberSums = new LoadSums();

  /** Adds a report, replacing the previous one of the same node or group. */
  void put(LoadReport report, long now) {
    ReceivedReport received = new ReceivedReport(report, now);
    ReceivedReport previous =
        report.isGroupTotal()
            ? groups.put(report.group(), received)
            : members.put(report.sender(), received);
    if (previous != null) {
      subtract(previous.report());
    }
    add(report);
  }

  private void add(LoadReport report) {
    allSums.add(report.loads());
    if (!report.isGroupTotal()) {
      memberSums.add(report.loads());
    }
  }

  private void subtract(LoadReport report) {
    allSums.subtract(report.loads());
    if (!report.isGroupTotal()) {
      memberSums.subtract(report.loads());
    }
  }

  /**
   * Removes reports that have expired.
   *
   * @param time reports received before this time are removed
   * @param timeOfEmpty the same for empty reports, which are sent less often
   */
  void expire(long time, long timeOfEmpty) {
    expire(time, timeOfEmpty, members);
    expire(time, timeOfEmpty, groups);
  }

  private void expire(long time, long timeOfEmpty, Map<String, ReceivedReport> reports) {
    Iterator<ReceivedReport> each = reports.values().iterator();
    while (each.hasNext()) {
      ReceivedReport received = each.next();
      if (received.receivedAt() < (received.report().isEmpty() ? timeOfEmpty : time)) {
        subtract(received.report());
        each.remove();
      }
    }
  }

  /** Returns the load of all known peers on an endpoint. */
  LoadSums.Sum total(int endpointKey) {
    return allSums.of(endpointKey);
  }

  /** Returns the load of the members of this node's group on an endpoint. */
  LoadSums.Sum memberTotal(int endpointKey) {
    return memberSums.of(endpointKey);
  }

  /** Returns the number of group members whose load is known. */
  int members() {
    return members.size();
  }

  /** Returns the number of nodes whose load is included in the reports. */
  int nodes() {
    int nodes = members.size();
    for (ReceivedReport group : groups.values()) {
      nodes += group.report().nodes();
    }
    return nodes;
  }

  /** Returns the pace of the engines that members report as slow, by engine key. */
  Map<Integer, Double> slowEnginesOfMembers() {
    Map<Integer, Double> paces = new HashMap<>();
    mergePaces(members, paces);
    return paces;
  }

  /** Returns the pace of the engines that any peer reports as slow, by engine key. */
  Map<Integer, Double> slowEnginesOfAll() {
    Map<Integer, Double> paces = slowEnginesOfMembers();
    mergePaces(groups, paces);
    return paces;
  }

  /** Returns the load of the members of this node's group on links, by the link's key. */
  Map<Integer, Double> linkMegabitsOfMembers() {
    Map<Integer, Double> megabits = new HashMap<>();
    addLinks(members, megabits);
    return megabits;
  }

  /** Returns the load of all known peers on links, by the link's key. */
  Map<Integer, Double> linkMegabitsOfAll() {
    Map<Integer, Double> megabits = linkMegabitsOfMembers();
    addLinks(groups, megabits);
    return megabits;
  }

  /** Returns the short keys of the engines that members suspect. */
  Set<Integer> enginesSuspectedByMembers() {
    Set<Integer> keys = new HashSet<>();
    members.values().forEach(received -> keys.addAll(received.report().suspectedEngines()));
    return keys;
  }

  /** Returns the short keys of the engines that any peer suspects. */
  Set<Integer> enginesSuspectedByAny() {
    Set<Integer> keys = enginesSuspectedByMembers();
    groups.values().forEach(received -> keys.addAll(received.report().suspectedEngines()));
    return keys;
  }

  private static void addLinks(Map<String, ReceivedReport> reports, Map<Integer, Double> megabits) {
    for (ReceivedReport received : reports.values()) {
      for (LinkLoad link : received.report().links()) {
        megabits.merge(link.linkKey(), link.megabits(), Double::sum);
      }
    }
  }

  private static void mergePaces(Map<String, ReceivedReport> reports, Map<Integer, Double> paces) {
    for (ReceivedReport received : reports.values()) {
      for (EnginePace engine : received.report().slowEngines()) {
        paces.merge(engine.endpointKey(), engine.pace(), Math::max);
      }
    }
  }
}
