package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

/**
 * The only mutable value of the stored configuration: lists the pages that are active.
 *
 * @param version number of accepted changes; 0 is the empty configuration
 * @param changeId id of the change that created this head; shows whether a write whose answer was
 *     lost took effect
 * @param pages content hashes by page number
 * @param history the latest changes, newest first, at most {@link #HISTORY}
 */
public record ConfigurationHead(
    long version,
    String changeId,
    ImmutableSortedMap<Integer, String> pages,
    ImmutableList<ChangeRecord> history) {
  /** Key of the head in the platform's store. */
  public static final String KEY = "vaneworks/head";

  /** Number of pages that the resources are distributed over; docs/CAPACITY.md gives the reason. */
  public static final int PAGES = 256;

  /** Maximum number of changes in the history. */
  public static final int HISTORY = 50;

  /** The configuration before the first change. */
  public static final ConfigurationHead EMPTY =
      new ConfigurationHead(0, "none", ImmutableSortedMap.of(), ImmutableList.of());

  /** Checks the version. */
  public ConfigurationHead {
    checkArgument(version >= 0, "version must not be negative: %s", version);
  }

  /** Returns the key of an immutable page in the platform's store, by its content hash. */
  public static String pageKey(String hash) {
    return "vaneworks/page/" + hash;
  }

  /** Returns the key under which the head that a change created is archived for rollback. */
  public static String archiveKey(String changeId) {
    return "vaneworks/archive/" + changeId;
  }

  /** Returns whether the history of this head contains the change. */
  public boolean historyContains(String id) {
    return history.stream().anyMatch(record -> record.changeId().equals(id));
  }
}
