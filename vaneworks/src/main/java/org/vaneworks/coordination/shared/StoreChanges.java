package org.vaneworks.coordination.shared;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;
import org.vaneworks.state.StorePosition;

/**
 * What has changed under a prefix.
 *
 * @param changes in the order in which they were made
 * @param position from which to go on
 */
public record StoreChanges(ImmutableList<Change> changes, StorePosition position) {
  /**
   * One change.
   *
   * @param item the item; its value is empty if it was removed
   * @param removed whether the key is gone
   */
  public record Change(StoredItem item, boolean removed) {}

  /**
   * Returns the last change of each key, in the order in which they were made.
   *
   * <p>What an earlier one said is over. Operators may change one large value several times while a
   * node waits to ask again: 1,400 routes take 20 to 30 ms of a whole core to read, once or five
   * times.
   */
  ImmutableList<Change> newestOfEachKey() {
    Set<String> seen = new HashSet<>();
    ImmutableList.Builder<Change> newestFirst = ImmutableList.builder();
    for (Change change : changes.reverse()) {
      if (seen.add(change.item().key())) {
        newestFirst.add(change);
      }
    }
    return newestFirst.build().reverse();
  }
}
