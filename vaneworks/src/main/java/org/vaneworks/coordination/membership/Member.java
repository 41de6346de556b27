package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;

/**
 * What is said of one run of one node.
 *
 * @param identity name and incarnation, unique among all runs of all nodes
 * @param address where peers reach it
 * @param dataCentre where its box stands
 * @param sequence raised by the node itself to refute a suspicion
 * @param status whether it is thought alive
 * @param successor who took its records over, once it left as planned
 */
public record Member(
    String identity,
    HostPort address,
    String dataCentre,
    long sequence,
    MemberStatus status,
    Optional<String> successor) {
  /** Checks that every part is given. */
  public Member {
    checkArgument(!identity.isEmpty(), "a member must be named");
    checkNotNull(address);
    checkNotNull(dataCentre);
    checkNotNull(status);
    checkNotNull(successor);
  }

  /** Returns a copy with another status. */
  Member withStatus(MemberStatus next) {
    return new Member(identity, address, dataCentre, sequence, next, successor);
  }

  /** Returns whether this says more than the other: later, or worse at the same sequence. */
  boolean overrides(Member other) {
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return status.compareTo(other.status) > 0;
  }

  /** Returns whether the member may be asked for something. */
  public boolean isPresent() {
    return status.compareTo(MemberStatus.SUSPECT) <= 0;
  }
}
