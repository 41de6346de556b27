package org.vaneworks.coordination.store;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A value of the platform's store.
 *
 * @param key its key
 * @param revision counts the writes to the key, from 1
 * @param value the text
 */
public record StoreEntry(String key, long revision, String value) {
  /** Checks the revision. */
  public StoreEntry {
    checkNotNull(value);
    checkArgument(revision > 0, "revision of %s must be positive: %s", key, revision);
  }
}
