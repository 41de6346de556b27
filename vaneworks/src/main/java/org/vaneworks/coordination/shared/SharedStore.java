package org.vaneworks.coordination.shared;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.vaneworks.state.StorePosition;

/**
 * The platform's key-value service as nodes use it together.
 *
 * <p>Reads are linearizable. A failed future carries a {@link SharedStoreException}. An
 * implementation sends each call at most once.
 */
public interface SharedStore {
  /** Reads all items under a prefix. */
  CompletableFuture<StoreView> list(String prefix);

  /**
   * Waits for changes after a position.
   *
   * @return at the latest after the wait; fails with {@link SharedStoreException.Kind#HISTORY_LOST}
   *     if the store no longer knows what changed since then
   */
  CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait);

  /**
   * Creates a key under a lease if it is absent.
   *
   * @return when it was created; empty if the key exists
   */
  CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease);

  /** Opens a lease; it lapses after that time without a renewal. */
  CompletableFuture<Long> openLease(Duration lifetime);

  /** Renews a lease; returns false if it is over. */
  CompletableFuture<Boolean> renew(long lease);

  /** Ends a lease and removes its keys. */
  CompletableFuture<Void> endLease(long lease);

  /**
   * Calls back when an answer shows that the store has come back from an older copy, before that
   * answer is handed over: positions and leases of before mean nothing any more. Answers from
   * before that come later fail.
   */
  void onNewEra(LongConsumer listener);
}
