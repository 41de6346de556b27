package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A position in the history of the platform's store: a revision within an era.
 *
 * <p>A store that is restored from a backup assigns revisions again that it used before, to other
 * changes. Its era increases with each restore, which distinguishes such positions and keeps later
 * ones higher.
 *
 * @param era how many times the store was restored from a backup, as it reports; 0 if it reports
 *     none
 * @param revision number of changes, as counted by the store
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** The position before all changes. */
  public static final StorePosition START = new StorePosition(0, 0);

  /** Bits of a revision; enough for a year of 2,000 changes per second. */
  private static final int REVISION_BITS = 36;

  /**
   * Bits of an era. Positions of eras below 2^17 fit into 53 bits, so every JSON reader represents
   * them exactly.
   */
  private static final int ERA_BITS = 26;

  /** The highest era that can be represented. */
  public static final long MAX_ERA = (1L << ERA_BITS) - 1;

  /** Checks that era and revision fit into their bits. */
  public StorePosition {
    checkArgument(era >= 0 && era <= MAX_ERA, "era is out of bounds: %s", era);
    checkArgument(
        revision >= 0 && revision < 1L << REVISION_BITS, "revision is out of bounds: %s", revision);
  }

  /** Returns whether this position is later than another. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns the position as one number, which orders positions across eras. */
  public long toLong() {
    return era << REVISION_BITS | revision;
  }

  @Override
  public int compareTo(StorePosition other) {
    return Long.compare(toLong(), other.toLong());
  }

  // Written out: the generated methods of a record are linked through method handles, whose classes
  // the JVM has to generate at each start.

  @Override
  public boolean equals(Object other) {
    return other instanceof StorePosition that && toLong() == that.toLong();
  }

  @Override
  public int hashCode() {
    return Long.hashCode(toLong());
  }

  @Override
  public String toString() {
    return era + "/" + revision;
  }
}
