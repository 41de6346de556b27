package org.vaneworks.coordination.store;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * A store decorator that limits the rate of this node's calls to the platform's store.
 *
 * <p>Calls over the budget fail immediately, so that neither a faulty node nor the recovery from an
 * outage can overload the store. Calls are counted by purpose. Thread-safe.
 */
public final class BudgetedStore implements PlatformStore {
  private final PlatformStore store;
  private final Executor clock;
  private final Counters counters;
  private final StoreBudget budget;

  @GuardedBy("this")
  private double availableCalls;

  @GuardedBy("this")
  private long refilledAt;

  @GuardedBy("this")
  private boolean failing;

  private BudgetedStore(
      PlatformStore store, Executor clock, Counters counters, StoreBudget budget) {
    this.store = checkNotNull(store);
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    this.budget = checkNotNull(budget);
    this.availableCalls = budget.burst();
    this.refilledAt = clock.currentTime(NANOSECONDS);
  }

  /** Returns a decorator that forwards the calls within the budget to the given store. */
  public static BudgetedStore of(
      PlatformStore store, Executor clock, Counters counters, StoreBudget budget) {
    return new BudgetedStore(store, clock, counters, budget);
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> read(String key, StorePurpose purpose) {
    return call(purpose, "read", () -> store.read(key, purpose));
  }

  @Override
  public CompletableFuture<Optional<Long>> compareAndSwap(
      String key, long expectedRevision, String value, StorePurpose purpose) {
    return call(
        purpose, "write", () -> store.compareAndSwap(key, expectedRevision, value, purpose));
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> watch(
      String key, long afterRevision, Duration wait) {
    return call(StorePurpose.HEAD, "watch", () -> store.watch(key, afterRevision, wait));
  }

  private <T> CompletableFuture<T> call(
      StorePurpose purpose, String operation, Supplier<CompletableFuture<T>> work) {
    String label = purpose.name().toLowerCase(Locale.ROOT) + "-" + operation;
    if (!tryAcquire()) {
      counters.count(Metric.STORE_FAILURES, label + "-over-budget");
      return CompletableFuture.failedFuture(
          StoreException.withoutEffect("this node's budget of calls to the store is spent"));
    }
    counters.count(Metric.STORE_CALLS, label);
    return Async.compose(
        work.get(),
        (value, failure) -> {
          recordOutcome(label, failure);
          return failure == null
              ? CompletableFuture.completedFuture(value)
              : CompletableFuture.failedFuture(failure);
        });
  }

  private synchronized boolean tryAcquire() {
    long now = clock.currentTime(NANOSECONDS);
    double refill = (now - refilledAt) / 1e9 * budget.callsPerSecond();
    availableCalls = Math.min(budget.burst(), availableCalls + refill);
    refilledAt = now;
    if (availableCalls < 1) {
      return false;
    }
    availableCalls -= 1;
    return true;
  }

  private void recordOutcome(String label, Throwable failure) {
    boolean changed;
    synchronized (this) {
      changed = failing != (failure != null);
      failing = failure != null;
    }
    if (failure != null) {
      counters.count(Metric.STORE_FAILURES, label);
    }
    if (changed && failure != null) {
      EventLog.warn(Event.STORE_FAILED, "call", label, "cause", failure.getMessage());
    } else if (changed) {
      EventLog.info(Event.STORE_RECOVERED, "call", label);
    }
  }
}
