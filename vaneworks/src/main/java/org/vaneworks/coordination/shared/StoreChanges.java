package org.vaneworks.coordination.shared;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;
import org.vaneworks.state.StorePosition;

/**
 * Changes of the items under a prefix.
 *
 * @param changes the changes, in the order in which they were made
 * @param position position from which the next watch continues
 */
public record StoreChanges(ImmutableList<Change> changes, StorePosition position) {
  /**
   * The change of one item.
   *
   * @param item the changed item; its value is empty if it was removed
   * @param removed whether the item was removed
   */
  public record Change(StoredItem item, boolean removed) {}

  /**
   * Returns the latest change of each key, in the order in which the changes were made.
   *
   * <p>Earlier changes of a key are obsolete and need not be parsed. Operators may change one large
   * value several times between two calls of a node, and parsing 1,400 routes takes 20 to 30 ms of
   * a whole core each time.
   */
  ImmutableList<Change> latestPerKey() {
    Set<String> seen = new HashSet<>();
    ImmutableList.Builder<Change> latestFirst = ImmutableList.builder();
    for (Change change : changes.reverse()) {
      if (seen.add(change.item().key())) {
        latestFirst.add(change);
      }
    }
    return latestFirst.build().reverse();
  }
}
