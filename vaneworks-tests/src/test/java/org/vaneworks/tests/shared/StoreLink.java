package org.vaneworks.tests.shared;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.SharedStoreException;
import org.vaneworks.coordination.shared.SharedStoreException.Kind;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreEras;
import org.vaneworks.coordination.shared.StoreView;
import org.vaneworks.state.StorePosition;

/**
 * One node's way to the shared store. While it is cut the store goes on for everybody else; a call
 * that is begun or answered meanwhile fails when its limit is over, also if the way is open again
 * by then.
 */
public final class StoreLink implements SharedStore {
  private static final long CALL_LIMIT_MILLIS = 900;

  private final Executor clock;
  private final StoreInMemory store;
  private final StoreEras eras = StoreEras.create();
  private boolean cut;

  /** Creates an open way. */
  public StoreLink(Executor clock, StoreInMemory store) {
    this.clock = clock;
    this.store = store;
  }

  /** Cuts the way, or opens it again. */
  public void cut(boolean value) {
    cut = value;
  }

  private <T> CompletableFuture<T> unlessCut(Supplier<CompletableFuture<T>> call) {
    return cut ? unanswered() : Async.compose(call.get(), this::answerUnlessCut);
  }

  /** Hands an answer on; like a client of the store, it takes the answer's era first. */
  private <T> CompletableFuture<T> answerUnlessCut(T answer, Throwable failure) {
    if (cut) {
      return unanswered();
    }
    if (!store.down) {
      eras.accepts(OptionalLong.of(store.era()));
    }
    return failure == null
        ? CompletableFuture.completedFuture(answer)
        : CompletableFuture.failedFuture(failure);
  }

  private <T> CompletableFuture<T> unanswered() {
    CompletableFuture<T> unanswered = new CompletableFuture<>();
    SharedStoreException silence =
        SharedStoreException.of(Kind.UNKNOWN_EFFECT, "the store did not answer");
    clock.schedule(
        () -> unanswered.completeExceptionally(silence), CALL_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    return unanswered;
  }

  @Override
  public void onNewEra(LongConsumer listener) {
    eras.onChange(listener);
  }

  @Override
  public CompletableFuture<StoreView> list(String prefix) {
    return unlessCut(() -> store.list(prefix));
  }

  @Override
  public CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait) {
    return unlessCut(() -> store.watch(prefix, after, wait));
  }

  @Override
  public CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease) {
    return unlessCut(() -> store.create(key, value, lease));
  }

  @Override
  public CompletableFuture<Long> openLease(Duration lifetime) {
    return unlessCut(() -> store.openLease(lifetime));
  }

  @Override
  public CompletableFuture<Boolean> renew(long lease) {
    return unlessCut(() -> store.renew(lease));
  }

  @Override
  public CompletableFuture<Void> endLease(long lease) {
    return unlessCut(() -> store.endLease(lease));
  }
}
