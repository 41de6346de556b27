package org.vaneworks.coordination.shared;

import org.vaneworks.state.StorePosition;

/**
 * A key and its value.
 *
 * @param key the key
 * @param value the value, as text
 * @param changedAt position of the last change of the key
 * @param createdAt position at which the key was created
 */
public record StoredItem(
    String key, String value, StorePosition changedAt, StorePosition createdAt) {}
