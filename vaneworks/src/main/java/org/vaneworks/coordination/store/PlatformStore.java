package org.vaneworks.coordination.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store.
 *
 * <p>A failed future carries a {@link StoreException}.
 */
public interface PlatformStore {
  /** Reads the latest value of a key; empty if the key was never written. */
  CompletableFuture<Optional<StoreEntry>> read(String key, StorePurpose purpose);

  /**
   * Writes a value if the key is at the expected revision.
   *
   * @param expectedRevision the revision to replace; 0 if the key must not exist yet
   * @return the new revision, or empty if the key is at another revision
   */
  CompletableFuture<Optional<Long>> compareAndSwap(
      String key, long expectedRevision, String value, StorePurpose purpose);

  /**
   * Waits until a key has a higher revision than the given one.
   *
   * @param wait how long to wait
   * @return the newer entry, or empty if there is none after the wait
   */
  CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision, Duration wait);
}
