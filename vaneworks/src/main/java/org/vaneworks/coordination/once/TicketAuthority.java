package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The data needed to verify the tickets of one node. Handed over to a successor on a planned stop.
 *
 * @param identity identity of the node that issued the tickets
 * @param secret key that signs the tickets
 * @param clockMillis clock of the issuing node, in milliseconds, when this object was created
 */
public record TicketAuthority(String identity, String secret, long clockMillis) {
  /** Checks that the components are given. */
  public TicketAuthority {
    checkArgument(!identity.isEmpty(), "identity must not be empty");
    checkNotNull(secret);
  }

  @Override
  public String toString() {
    return "TicketAuthority[" + identity + "]";
  }
}
