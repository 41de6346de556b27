package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;

/**
 * The membership entry of one incarnation of a node.
 *
 * @param identity name and incarnation, unique among all incarnations of all nodes
 * @param address address on which peers reach the node
 * @param dataCentre data centre of its box
 * @param sequence incremented only by the node itself, to refute a suspicion
 * @param status whether the node is believed to be alive
 * @param successor node that took over its records, if it left in a planned shutdown
 */
public record Member(
    String identity,
    HostPort address,
    String dataCentre,
    long sequence,
    MemberStatus status,
    Optional<String> successor) {
  /** Checks that the identity is not empty and no component is null. */
  public Member {
    checkArgument(!identity.isEmpty(), "member identity must not be empty");
    checkNotNull(address);
    checkNotNull(dataCentre);
    checkNotNull(status);
    checkNotNull(successor);
  }

  /** Returns a copy with the given status. */
  Member withStatus(MemberStatus status) {
    return new Member(identity, address, dataCentre, sequence, status, successor);
  }

  /**
   * Returns whether this entry supersedes the other: it has a higher sequence, or the same sequence
   * and a status that ranks higher.
   */
  boolean overrides(Member other) {
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return status.compareTo(other.status) > 0;
  }

  /** Returns whether requests may be sent to the member: it is alive or only suspected. */
  public boolean isPresent() {
    return status.compareTo(MemberStatus.SUSPECT) <= 0;
  }
}
