package org.vaneworks.coordination.load;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.HostPort;

/**
 * How the live nodes are grouped: those of a data centre are one group, or several where they are
 * many.
 *
 * <p>A box's group follows from its name and the number of boxes in its data centre, so nodes that
 * come or go move no other node, unless the number of groups doubles or halves. Immutable.
 */
final class PeerGroups {
  /**
   * Most boxes of a group on average. A node tells its own load to each member and the sum of its
   * group once to each other group; both rounds are short while groups are about as many as their
   * members, which in a fleet of 350 are 19.
   */
  private static final int MOST_MEMBERS = 20;

  private final String own;
  private final ImmutableList<HostPort> members;
  private final ImmutableList<HostPort> outside;
  private final int otherGroups;
  private final int neighbours;

  private PeerGroups(
      String own,
      ImmutableList<HostPort> members,
      ImmutableList<HostPort> outside,
      int otherGroups,
      int neighbours) {
    this.own = own;
    this.members = members;
    this.outside = outside;
    this.otherGroups = otherGroups;
    this.neighbours = neighbours;
  }

  /** Returns the groups as the node on that box sees them. */
  static PeerGroups of(String box, String dataCentre, ImmutableList<Peer> peers) {
    Map<String, Integer> boxes = new HashMap<>();
    boxes.put(dataCentre, 1);
    peers.forEach(peer -> boxes.merge(peer.dataCentre(), 1, Integer::sum));
    String own = group(box, dataCentre, boxes.get(dataCentre));
    ImmutableList.Builder<HostPort> members = ImmutableList.builder();
    ImmutableList.Builder<HostPort> outside = ImmutableList.builder();
    Set<String> others = new HashSet<>();
    for (Peer peer : peers) {
      String group = group(peer.box(), peer.dataCentre(), boxes.get(peer.dataCentre()));
      if (group.equals(own)) {
        members.add(peer.address());
      } else {
        outside.add(peer.address());
        others.add(group);
      }
    }
    int neighbours = boxes.get(dataCentre) - 1;
    return new PeerGroups(own, members.build(), outside.build(), others.size(), neighbours);
  }

  private static String group(String box, String dataCentre, int boxes) {
    int groups = 1;
    while (boxes > groups * MOST_MEMBERS) {
      groups *= 2;
    }
    int hash = box.hashCode();
    int index = Math.floorMod(hash ^ (hash >>> 16), groups);
    return dataCentre + "/" + groups + "/" + index;
  }

  /** Returns the name of this node's group. */
  String own() {
    return own;
  }

  /** Returns the other nodes of this node's group. */
  ImmutableList<HostPort> members() {
    return members;
  }

  /** Returns the nodes of all other groups. */
  ImmutableList<HostPort> outside() {
    return outside;
  }

  /** Returns the number of other nodes in this node's data centre, of whatever group. */
  int neighbours() {
    return neighbours;
  }

  /** Returns how many reports a node sends in a round. */
  int round() {
    return members.size() + otherGroups;
  }
}
