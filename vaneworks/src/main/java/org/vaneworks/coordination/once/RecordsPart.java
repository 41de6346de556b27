package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Part of what a leaving node hands to its successor; takes effect with the last part.
 *
 * @param from identity of the leaving node
 * @param part number of this part, from 0
 * @param parts how many parts there are
 * @param authorities the node's own, and those that it took over itself
 * @param records records of this part
 */
public record RecordsPart(
    String from,
    int part,
    int parts,
    ImmutableList<TicketAuthority> authorities,
    ImmutableList<OnceRecord> records) {
  /** Checks the numbering. */
  public RecordsPart {
    checkArgument(part >= 0 && part < parts, "part %s of %s", part, parts);
    checkNotNull(authorities);
    checkNotNull(records);
  }
}
