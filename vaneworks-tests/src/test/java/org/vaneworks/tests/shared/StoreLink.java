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
  private int lateMillis;

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

  /** Lets answers take that long from now on, also those under way when the store comes back. */
  public void late(int millis) {
    lateMillis = millis;
  }

  private <T> CompletableFuture<T> answerUnlessCut(T answer, Throwable failure) {
    OptionalLong told = store.down ? OptionalLong.empty() : OptionalLong.of(store.era());
    if (lateMillis == 0) {
      return handOn(told, answer, failure);
    }
    CompletableFuture<Void> wait = Async.delay(clock, Duration.ofMillis(lateMillis));
    return wait.thenCompose(over -> handOn(told, answer, failure));
  }

  /** Hands an answer on; like a client of the store, it takes the answer's era first. */
  private <T> CompletableFuture<T> handOn(OptionalLong told, T answer, Throwable failure) {
    if (cut) {
      return unanswered();
    }
    if (told.isPresent() && !eras.accepts(told)) {
      return CompletableFuture.failedFuture(
          SharedStoreException.of(Kind.UNKNOWN_EFFECT, "an answer of a former era"));
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
