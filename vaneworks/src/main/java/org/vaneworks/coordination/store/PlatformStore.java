package org.vaneworks.coordination.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service.
 *
 * <p>Every failed future carries a {@link StoreException}.
 */
public interface PlatformStore {
  /** Reads the newest value of a key; empty if it was never written. */
  CompletableFuture<Optional<StoreEntry>> read(String key, StorePurpose purpose);

  /**
   * Writes a value if the key is still at the expected revision.
   *
   * @param expectedRevision the revision that is replaced; 0 expects that there is none
   * @return the new revision, or empty if the key is at another revision
   */
  CompletableFuture<Optional<Long>> compareAndSwap(
      String key, long expectedRevision, String value, StorePurpose purpose);

  /**
   * Waits until a key's revision is over the given one.
   *
   * @return the newer entry, or empty once the wait is over
   */
  CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision, Duration wait);
}
