package org.vaneworks.coordination.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.endpoints.EndpointHint;

/**
 * What every membership message carries.
 *
 * @param sender the sender's own entry
 * @param version the configuration version in force at the sender
 * @param members news of members
 * @param leaving news of endpoints that leave
 */
public record Gossip(
    Member sender,
    long version,
    ImmutableList<Member> members,
    ImmutableList<EndpointHint> leaving) {
  /** Checks that every part is given. */
  public Gossip {
    checkNotNull(sender);
    checkNotNull(members);
    checkNotNull(leaving);
  }
}
