package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * A store decorator that counts calls by purpose and records the latency of all calls except
 * watches, which wait for changes.
 *
 * <p>Failed calls are counted and recorded as well, because their latency shows a store that hangs.
 * Thread-safe if the underlying store is.
 */
public final class MeasuredStore implements SharedStore {
  private final Executor clock;
  private final SharedStore store;
  private final Counters counters;

  private MeasuredStore(Executor clock, SharedStore store, Counters counters) {
    this.clock = checkNotNull(clock);
    this.store = checkNotNull(store);
    this.counters = checkNotNull(counters);
    store.onNewEra(era -> counters.count(Metric.STORE_ERAS, "changed"));
  }

  /** Returns a decorator that forwards all calls to the given store. */
  public static MeasuredStore of(Executor clock, SharedStore store, Counters counters) {
    return new MeasuredStore(clock, store, counters);
  }

  @Override
  public CompletableFuture<StoreSnapshot> list(String prefix) {
    return measured("list", store.list(prefix));
  }

  @Override
  public CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait) {
    counters.count(Metric.STORE_CALLS, "watch");
    return store.watch(prefix, after, wait);
  }

  @Override
  public CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease) {
    return measured("create", store.create(key, value, lease));
  }

  @Override
  public CompletableFuture<Long> openLease(Duration lifetime) {
    return measured("open-lease", store.openLease(lifetime));
  }

  @Override
  public CompletableFuture<Boolean> renew(long lease) {
    return measured("renew", store.renew(lease));
  }

  @Override
  public CompletableFuture<Void> endLease(long lease) {
    return measured("end-lease", store.endLease(lease));
  }

  @Override
  public void onNewEra(LongConsumer listener) {
    store.onNewEra(listener);
  }

  private <T> CompletableFuture<T> measured(String purpose, CompletableFuture<T> call) {
    counters.count(Metric.STORE_CALLS, purpose);
    long startedAt = clock.currentTime(NANOSECONDS);
    return call.whenComplete(
        (answer, failure) ->
            counters.record(
                Metric.STORE_TIME, Duration.ofNanos(clock.currentTime(NANOSECONDS) - startedAt)));
  }
}
