package org.vaneworks.coordination.load;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.HostPort;

/**
 * The partition of the live nodes into groups. The nodes of a data centre form one group, or
 * several if there are many.
 *
 * <p>A box's group depends only on its name and the number of boxes in its data centre. Nodes that
 * join or leave therefore do not change the group of any other node, unless the number of groups
 * doubles or halves. Immutable.
 */
final class PeerGroups {
  /**
   * Maximum average number of boxes per group. A node sends its own load to each member, and its
   * group's total to one node of each other group. Both rounds are short when there are about as
   * many groups as members per group, which is 19 in a fleet of 350.
   */
  private static final int MAX_MEAN_MEMBERS = 20;

  private final String ownGroup;
  private final ImmutableList<HostPort> members;
  private final ImmutableList<HostPort> nonMembers;
  private final int otherGroups;
  private final int dataCentrePeers;

  private PeerGroups(
      String ownGroup,
      ImmutableList<HostPort> members,
      ImmutableList<HostPort> nonMembers,
      int otherGroups,
      int dataCentrePeers) {
    this.ownGroup = ownGroup;
    this.members = members;
    this.nonMembers = nonMembers;
    this.otherGroups = otherGroups;
    this.dataCentrePeers = dataCentrePeers;
  }

  /** Returns the groups as seen by the node on the given box. */
  static PeerGroups of(String box, String dataCentre, ImmutableList<Peer> peers) {
    Map<String, Integer> boxes = new HashMap<>();
    boxes.put(dataCentre, 1);
    peers.forEach(peer -> boxes.merge(peer.dataCentre(), 1, Integer::sum));
    String ownGroup = groupOf(box, dataCentre, boxes.get(dataCentre));
    ImmutableList.Builder<HostPort> members = ImmutableList.builder();
    ImmutableList.Builder<HostPort> nonMembers = ImmutableList.builder();
    Set<String> otherGroupNames = new HashSet<>();
    for (Peer peer : peers) {
      String group = groupOf(peer.box(), peer.dataCentre(), boxes.get(peer.dataCentre()));
      if (group.equals(ownGroup)) {
        members.add(peer.address());
      } else {
        nonMembers.add(peer.address());
        otherGroupNames.add(group);
      }
    }
    int dataCentrePeers = boxes.get(dataCentre) - 1;
    return new PeerGroups(
        ownGroup, members.build(), nonMembers.build(), otherGroupNames.size(), dataCentrePeers);
  }

  private static String groupOf(String box, String dataCentre, int boxes) {
    int groups = 1;
    while (boxes > groups * MAX_MEAN_MEMBERS) {
      groups *= 2;
    }
    int hash = box.hashCode();
    int index = Math.floorMod(hash ^ (hash >>> 16), groups);
    return dataCentre + "/" + groups + "/" + index;
  }

  /** Returns the name of this node's group. */
  String ownGroup() {
    return ownGroup;
  }

  /** Returns the addresses of the other nodes in this node's group. */
  ImmutableList<HostPort> members() {
    return members;
  }

  /** Returns the addresses of the nodes in all other groups. */
  ImmutableList<HostPort> nonMembers() {
    return nonMembers;
  }

  /** Returns the number of other nodes in this node's data centre, in any group. */
  int dataCentrePeers() {
    return dataCentrePeers;
  }

  /** Returns the number of reports that a node sends per round. */
  int reportsPerRound() {
    return members.size() + otherGroups;
  }
}
