package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What it takes to tell one node's tickets and records: handed to a successor on a planned stop.
 *
 * @param identity whose tickets
 * @param secret signs them
 * @param clockMillis that node's clock when this was written
 */
public record TicketAuthority(String identity, String secret, long clockMillis) {
  /** Checks that every part is given. */
  public TicketAuthority {
    checkArgument(!identity.isEmpty(), "an authority must be named");
    checkNotNull(secret);
  }

  @Override
  public String toString() {
    return "TicketAuthority[" + identity + "]";
  }
}
