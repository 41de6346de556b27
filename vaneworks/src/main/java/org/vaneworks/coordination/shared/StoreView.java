package org.vaneworks.coordination.shared;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.StorePosition;

/**
 * All items under a prefix.
 *
 * @param items the items
 * @param position from which changes are to be followed
 */
public record StoreView(ImmutableList<StoredItem> items, StorePosition position) {}
