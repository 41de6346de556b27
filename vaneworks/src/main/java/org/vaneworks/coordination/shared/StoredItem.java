package org.vaneworks.coordination.shared;

import org.vaneworks.state.StorePosition;

/**
 * A key and its value.
 *
 * @param key the key
 * @param value the text
 * @param changedAt when it was last changed
 * @param createdAt when it was created
 */
public record StoredItem(
    String key, String value, StorePosition changedAt, StorePosition createdAt) {}
