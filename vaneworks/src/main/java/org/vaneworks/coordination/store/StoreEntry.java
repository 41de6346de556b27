package org.vaneworks.coordination.store;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A key of the platform's store with its value.
 *
 * @param key the key
 * @param revision number of writes to the key so far, at least 1
 * @param value the value, as text
 */
public record StoreEntry(String key, long revision, String value) {
  /** Checks that the value is not null and the revision is positive. */
  public StoreEntry {
    checkNotNull(value);
    checkArgument(revision > 0, "revision of %s must be positive: %s", key, revision);
  }
}
