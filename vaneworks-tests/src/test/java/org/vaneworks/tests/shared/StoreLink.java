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
import org.vaneworks.coordination.shared.StoreEraTracker;
import org.vaneworks.coordination.shared.StoreSnapshot;
import org.vaneworks.state.StorePosition;

/**
 * One node's connection to the shared store, which can be cut for this node alone.
 *
 * <p>A call that is started or answered while the connection is cut fails after its timeout, even
 * if the connection has been restored by then.
 */
public final class StoreLink implements SharedStore {
  private static final long CALL_TIMEOUT_MILLIS = 900;

  private final Executor clock;
  private final InMemorySharedStore store;
  private final StoreEraTracker eras = StoreEraTracker.create();
  private boolean cut;
  private boolean writesCut;
  private int responseDelayMillis;

  /** Creates a connection that is not cut. */
  public StoreLink(Executor clock, InMemorySharedStore store) {
    this.clock = clock;
    this.store = store;
  }

  /** Cuts or restores the connection. */
  public void cut(boolean value) {
    cut = value;
  }

  /** Leaves new leases and entries unanswered and without effect, or no longer. */
  public void cutWrites(boolean value) {
    writesCut = value;
  }

  private <T> CompletableFuture<T> callUnlessCut(Supplier<CompletableFuture<T>> call) {
    return cut ? unanswered() : Async.compose(call.get(), this::respondUnlessCut);
  }

  /** Delays all responses from now on; a response may thus arrive after the store was restored. */
  public void delayAnswers(int millis) {
    responseDelayMillis = millis;
  }

  private <T> CompletableFuture<T> respondUnlessCut(T answer, Throwable failure) {
    OptionalLong reportedEra = store.down ? OptionalLong.empty() : OptionalLong.of(store.era());
    if (responseDelayMillis == 0) {
      return complete(reportedEra, answer, failure);
    }
    CompletableFuture<Void> wait = Async.delay(clock, Duration.ofMillis(responseDelayMillis));
    return wait.thenCompose(done -> complete(reportedEra, answer, failure));
  }

  /** Completes a call; checks the era of the response first, as a client of the store does. */
  private <T> CompletableFuture<T> complete(OptionalLong reportedEra, T answer, Throwable failure) {
    if (cut) {
      return unanswered();
    }
    if (reportedEra.isPresent() && !eras.accepts(reportedEra)) {
      return CompletableFuture.failedFuture(
          SharedStoreException.of(Kind.UNKNOWN_EFFECT, "the response is of an earlier era"));
    }
    return failure == null
        ? CompletableFuture.completedFuture(answer)
        : CompletableFuture.failedFuture(failure);
  }

  private <T> CompletableFuture<T> unanswered() {
    CompletableFuture<T> unanswered = new CompletableFuture<>();
    SharedStoreException timeout =
        SharedStoreException.of(Kind.UNKNOWN_EFFECT, "the store did not answer");
    clock.schedule(
        () -> unanswered.completeExceptionally(timeout),
        CALL_TIMEOUT_MILLIS,
        TimeUnit.MILLISECONDS);
    return unanswered;
  }

  @Override
  public void onNewEra(LongConsumer listener) {
    eras.onChange(listener);
  }

  @Override
  public CompletableFuture<StoreSnapshot> list(String prefix) {
    return callUnlessCut(() -> store.list(prefix));
  }

  @Override
  public CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait) {
    return callUnlessCut(() -> store.watch(prefix, after, wait));
  }

  @Override
  public CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease) {
    return writesCut ? unanswered() : callUnlessCut(() -> store.create(key, value, lease));
  }

  @Override
  public CompletableFuture<Long> openLease(Duration lifetime) {
    return writesCut ? unanswered() : callUnlessCut(() -> store.openLease(lifetime));
  }

  @Override
  public CompletableFuture<Boolean> renew(long lease) {
    return callUnlessCut(() -> store.renew(lease));
  }

  @Override
  public CompletableFuture<Void> endLease(long lease) {
    return callUnlessCut(() -> store.endLease(lease));
  }
}
