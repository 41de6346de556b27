package org.vaneworks.coordination.shared;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.vaneworks.state.StorePosition;

/**
 * The platform's key-value store, through which nodes share state.
 *
 * <p>Reads are linearizable. A failed future carries a {@link SharedStoreException}.
 * Implementations send each call at most once.
 */
public interface SharedStore {
  /** Reads all items whose keys start with the prefix. */
  CompletableFuture<StoreSnapshot> list(String prefix);

  /**
   * Waits for changes after a position.
   *
   * @return the changes, or none if there were none during {@code wait}; fails with {@link
   *     SharedStoreException.Kind#HISTORY_LOST} if the store no longer has the history since the
   *     position
   */
  CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait);

  /**
   * Creates a key that is bound to a lease, if the key is absent.
   *
   * @return the position at which the key was created; empty if the key already exists
   */
  CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease);

  /** Opens a lease, which expires if it is not renewed within its lifetime, and returns its id. */
  CompletableFuture<Long> openLease(Duration lifetime);

  /** Renews a lease; returns false if the lease has already ended. */
  CompletableFuture<Boolean> renew(long lease);

  /** Ends a lease and removes the keys bound to it. */
  CompletableFuture<Void> endLease(long lease);

  /**
   * Adds a listener that receives the new era when a response shows that the store was restored
   * from a backup.
   *
   * <p>The listener runs before the future of that call completes. Positions and leases of earlier
   * eras are no longer valid, and calls whose responses carry an earlier era fail.
   */
  void onNewEra(LongConsumer listener);
}
