package org.vaneworks.coordination.concurrent;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/** Static utility methods for futures. */
public final class Async {
  private Async() {}

  /**
   * Runs the consumer on the executor when the future completes.
   *
   * @param consumer receives the value and null, or null and the unwrapped failure
   */
  public static <T> void onDone(
      CompletionStage<T> future, Executor executor, BiConsumer<? super T, Throwable> consumer) {
    CompletionStage<T> unused =
        future.whenComplete(
            (value, failure) ->
                executor.execute(
                    () -> consumer.accept(value, failure == null ? null : causeOf(failure))));
  }

  /** Marks the outcome of a future as deliberately ignored. */
  @CanIgnoreReturnValue
  public static <T> CompletionStage<T> ignore(CompletionStage<T> future) {
    return future.exceptionally(ignored -> null);
  }

  /** Returns a future that completes after the delay. */
  public static CompletableFuture<Void> delay(Executor executor, Duration delay) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    executor.schedule(() -> done.complete(null), delay);
    return done;
  }

  /**
   * Returns a future that completes like the given one, or fails if that takes longer than the
   * limit.
   *
   * @param late the failure after the limit
   */
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

  /**
   * Continues with another future when the given one completes, successfully or not.
   *
   * @param next receives the value and null, or null and the unwrapped failure
   */
  @SuppressWarnings("FutureReturnValueIgnored") // The nested future is flattened immediately.
  public static <T, R> CompletableFuture<R> compose(
      CompletableFuture<T> future, BiFunction<T, Throwable, CompletableFuture<R>> next) {
    CompletableFuture<CompletableFuture<R>> nested =
        future.handle(
            (value, failure) -> next.apply(value, failure == null ? null : causeOf(failure)));
    return nested.thenCompose(outcome -> outcome);
  }

  /** Unwraps completion exceptions; returns the underlying failure. */
  public static Throwable causeOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
