package org.vaneworks.coordination.shared;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.StorePosition;

/**
 * All items under a prefix at one position of the store.
 *
 * @param items the items
 * @param position position from which a watch sees all later changes
 */
public record StoreSnapshot(ImmutableList<StoredItem> items, StorePosition position) {}
