package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.endpoints.EndpointHint;

/**
 * The gossip carried by every membership message.
 *
 * @param sender the sender's own entry
 * @param version the configuration version in force at the sender
 * @param members updates about members
 * @param leaving endpoints that are about to leave
 */
public record Gossip(
    Member sender,
    long version,
    ImmutableList<Member> members,
    ImmutableList<EndpointHint> leaving) {
  /** Checks that no component is null. */
  public Gossip {
    checkNotNull(sender);
    checkNotNull(members);
    checkNotNull(leaving);
  }
}
