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
 * The platform's store behind this node's budget of calls.
 *
 * <p>A call over the budget fails at once, so that no fault of a node, and no end of an outage, can
 * flood the store. Calls are counted by purpose. Thread-safe.
 */
public final class BudgetedStore implements PlatformStore {
  private final PlatformStore store;
  private final Executor clock;
  private final Counters counters;
  private final StoreBudget budget;

  @GuardedBy("this")
  private double allowance;

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
    this.allowance = budget.burst();
    this.refilledAt = clock.currentTime(NANOSECONDS);
  }

  /** Returns a store that passes on what the budget allows. */
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
      StorePurpose purpose, String kind, Supplier<CompletableFuture<T>> work) {
    String label = purpose.name().toLowerCase(Locale.ROOT) + "-" + kind;
    if (!take()) {
      counters.count(Metric.STORE_FAILURES, label + "-over-budget");
      return CompletableFuture.failedFuture(
          StoreException.withoutEffect("this node's budget of calls to the store is spent"));
    }
    counters.count(Metric.STORE_CALLS, label);
    return Async.compose(
        work.get(),
        (value, failure) -> {
          note(label, failure);
          return failure == null
              ? CompletableFuture.completedFuture(value)
              : CompletableFuture.failedFuture(failure);
        });
  }

  private synchronized boolean take() {
    long now = clock.currentTime(NANOSECONDS);
    double earned = (now - refilledAt) / 1e9 * budget.callsPerSecond();
    allowance = Math.min(budget.burst(), allowance + earned);
    refilledAt = now;
    if (allowance < 1) {
      return false;
    }
    allowance -= 1;
    return true;
  }

  private void note(String label, Throwable failure) {
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
