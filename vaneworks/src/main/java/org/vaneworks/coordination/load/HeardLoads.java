package org.vaneworks.coordination.load;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What peers told last: members of this node's group each their own load, other groups their sums.
 *
 * <p>Confined to the node's event loop.
 */
final class HeardLoads {
  /** What was told last of a node or a group. */
  private record Heard(LoadReport report, long at) {}

  private final Map<String, Heard> members = new HashMap<>();
  private final Map<String, Heard> groups = new HashMap<>();

  /** Of all that is kept, and of the members' part: what the group's sum is made of. */
  private final LoadSums allSums = new LoadSums();

  private final LoadSums memberSums = new LoadSums();

  /** Takes a report in place of the one before of the same node or group. */
  void keep(LoadReport report, long now) {
    Heard heard = new Heard(report, now);
    Heard before =
        report.ofGroup() ? groups.put(report.group(), heard) : members.put(report.sender(), heard);
    if (before != null) {
      subtract(before.report());
    }
    add(report);
  }

  private void add(LoadReport report) {
    allSums.add(report.loads());
    if (!report.ofGroup()) {
      memberSums.add(report.loads());
    }
  }

  private void subtract(LoadReport report) {
    allSums.subtract(report.loads());
    if (!report.ofGroup()) {
      memberSums.subtract(report.loads());
    }
  }

  /**
   * Forgets what was heard too long ago.
   *
   * @param time reports that were heard before are forgotten
   * @param timeOfEmpty the same for reports that told of nothing, which come more rarely
   */
  void forgetBefore(long time, long timeOfEmpty) {
    forgetBefore(time, timeOfEmpty, members);
    forgetBefore(time, timeOfEmpty, groups);
  }

  private void forgetBefore(long time, long timeOfEmpty, Map<String, Heard> kept) {
    Iterator<Heard> each = kept.values().iterator();
    while (each.hasNext()) {
      Heard heard = each.next();
      if (heard.at() < (heard.report().isEmpty() ? timeOfEmpty : time)) {
        subtract(heard.report());
        each.remove();
      }
    }
  }

  /** Returns what all peers that were heard take of an endpoint. */
  LoadSums.Sum ofAll(int endpointKey) {
    return allSums.of(endpointKey);
  }

  /** Returns what the members of this node's group take of an endpoint. */
  LoadSums.Sum ofMembers(int endpointKey) {
    return memberSums.of(endpointKey);
  }

  /** Returns how many members were heard. */
  int members() {
    return members.size();
  }

  /** Returns the number of nodes whose load is in what was heard. */
  int nodes() {
    int nodes = members.size();
    for (Heard group : groups.values()) {
      nodes += group.report().nodes();
    }
    return nodes;
  }

  /** Returns the pace of the engines that members know to be slow, by the engines' keys. */
  Map<Integer, Double> slowOfMembers() {
    Map<Integer, Double> paces = new HashMap<>();
    addSlow(members, paces);
    return paces;
  }

  /** Returns the pace of the engines that anyone knows to be slow, by the engines' keys. */
  Map<Integer, Double> slowOfAll() {
    Map<Integer, Double> paces = slowOfMembers();
    addSlow(groups, paces);
    return paces;
  }

  private static void addSlow(Map<String, Heard> kept, Map<Integer, Double> paces) {
    for (Heard heard : kept.values()) {
      for (EnginePace engine : heard.report().slow()) {
        paces.merge(engine.endpointKey(), engine.pace(), Math::max);
      }
    }
  }
}
