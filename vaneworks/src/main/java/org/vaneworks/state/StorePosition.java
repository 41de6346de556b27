package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A moment in the life of the platform's store: its counter of changes, and the copy that it counts
 * in.
 *
 * <p>A store that comes back from an older copy gives the same counter out again, for other
 * changes. Each time its era rises, so positions of different eras are told apart, and later ones
 * are higher.
 *
 * @param era how often the store came back from a copy, as it tells; 0 if it does not
 * @param revision the store's counter of changes
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** Before all changes. */
  public static final StorePosition START = new StorePosition(0, 0);

  /** Revisions below this are numbered apart: a year of 2,000 changes a second. */
  private static final int REVISION_BITS = 36;

  /** Eras below this are numbered; those below 2^17 as any reader of JSON keeps them. */
  private static final int ERA_BITS = 26;

  /** The highest era that there can be. */
  public static final long MAX_ERA = (1L << ERA_BITS) - 1;

  /** Checks that it can be numbered. */
  public StorePosition {
    checkArgument(era >= 0 && era <= MAX_ERA, "era is out of bounds: %s", era);
    checkArgument(
        revision >= 0 && revision < 1L << REVISION_BITS, "revision is out of bounds: %s", revision);
  }

  /** Returns whether this is later than another. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns a number that is higher for each later position, whatever the era. */
  public long toLong() {
    return era << REVISION_BITS | revision;
  }

  @Override
  public int compareTo(StorePosition other) {
    return Long.compare(toLong(), other.toLong());
  }

  // Written out: generated ones are linked by method handles, whose classes each start makes anew.

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
