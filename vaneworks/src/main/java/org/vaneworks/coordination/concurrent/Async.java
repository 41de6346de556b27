package org.vaneworks.coordination.concurrent;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/** Helpers on futures that run their continuations on the node's worker pool. */
public final class Async {
  private Async() {}

  /** Runs the consumer on the executor once the future is done, either way. */
  public static <T> void onDone(
      CompletionStage<T> future, Executor executor, BiConsumer<? super T, Throwable> consumer) {
    CompletionStage<T> unused =
        future.whenComplete(
            (value, failure) ->
                executor.execute(
                    () -> consumer.accept(value, failure == null ? null : causeOf(failure))));
  }

  /** Lets go of a future whose outcome changes nothing. */
  @CanIgnoreReturnValue
  public static <T> CompletionStage<T> ignore(CompletionStage<T> future) {
    return future.exceptionally(ignored -> null);
  }

  /** Returns a future that is done after the delay. */
  public static CompletableFuture<Void> delay(Executor executor, Duration delay) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    executor.schedule(() -> done.complete(null), delay);
    return done;
  }

  /** Returns a copy of the future that fails with the given failure if it takes too long. */
  public static <T> CompletableFuture<T> withTimeout(
      Executor executor, Duration limit, CompletableFuture<T> future, RuntimeException late) {
    CompletableFuture<T> bounded = new CompletableFuture<>();
    var timer = executor.schedule(() -> bounded.completeExceptionally(late), limit);
    onDone(
        future,
        executor,
        (value, failure) -> {
          timer.cancel();
          if (failure == null) {
            bounded.complete(value);
          } else {
            bounded.completeExceptionally(failure);
          }
        });
    return bounded;
  }

  /** Goes on with another future once this one is done, either way; failures come unwrapped. */
  @SuppressWarnings("FutureReturnValueIgnored") // The nested future is flattened at once.
  public static <T, R> CompletableFuture<R> compose(
      CompletableFuture<T> future, BiFunction<T, Throwable, CompletableFuture<R>> next) {
    CompletableFuture<CompletableFuture<R>> nested =
        future.handle(
            (value, failure) -> next.apply(value, failure == null ? null : causeOf(failure)));
    return nested.thenCompose(outcome -> outcome);
  }

  /** Returns the failure that a completion exception wraps. */
  public static Throwable causeOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
