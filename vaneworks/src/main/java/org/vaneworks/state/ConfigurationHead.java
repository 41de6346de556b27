package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

/**
 * The one mutable value of the configuration: which pages are in force.
 *
 * @param version counts accepted changes, from 1; 0 is the empty configuration
 * @param changeId names the change that made this head; settles lost answers
 * @param pages page number to content hash
 * @param history the newest changes, newest first, at most {@link #HISTORY}
 */
public record ConfigurationHead(
    long version,
    String changeId,
    ImmutableSortedMap<Integer, String> pages,
    ImmutableList<ChangeRecord> history) {
  /** The head's key in the platform's store. */
  public static final String KEY = "vaneworks/head";

  /** How many pages the resources are spread over; see docs/CAPACITY.md for why. */
  public static final int PAGES = 256;

  /** How many changes the head remembers. */
  public static final int HISTORY = 50;

  /** The configuration before the first change. */
  public static final ConfigurationHead EMPTY =
      new ConfigurationHead(0, "none", ImmutableSortedMap.of(), ImmutableList.of());

  /** Checks the version. */
  public ConfigurationHead {
    checkArgument(version >= 0, "version must not be negative: %s", version);
  }

  /** Returns the key of an immutable page in the platform's store. */
  public static String pageKey(String hash) {
    return "vaneworks/page/" + hash;
  }

  /** Returns the key under which a change's head is kept for rollback. */
  public static String archiveKey(String changeId) {
    return "vaneworks/archive/" + changeId;
  }

  /** Returns whether the change made this head or is among those that it remembers. */
  public boolean historyContains(String change) {
    return history.stream().anyMatch(record -> record.changeId().equals(change));
  }
}
