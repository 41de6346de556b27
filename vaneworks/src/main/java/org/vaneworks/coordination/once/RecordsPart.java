package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * One part of the records that a stopping node hands over to its successor. The hand-over takes
 * effect when the last part is received.
 *
 * @param from identity of the stopping node
 * @param part index of this part, from 0
 * @param parts total number of parts
 * @param authorities the ticket authority of the stopping node and those it took over from others
 * @param records the records in this part
 */
public record RecordsPart(
    String from,
    int part,
    int parts,
    ImmutableList<TicketAuthority> authorities,
    ImmutableList<OnceRecord> records) {
  /** Checks the part index and that the lists are given. */
  public RecordsPart {
    checkArgument(part >= 0 && part < parts, "invalid part index %s of %s parts", part, parts);
    checkNotNull(authorities);
    checkNotNull(records);
  }
}
