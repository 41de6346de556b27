package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.pipeline.RetryBudget;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Routes calls to the endpoints of plain services.
 *
 * <p>A failed call is retried on another endpoint only if it certainly did not run or is
 * repeatable, and if the retry budget allows it. Thread-safe.
 */
public final class ServiceRouter {
  /** Limit on a call whose caller sets none. */
  private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(10);

  /** When a repeatable call without an answer is also sent to another endpoint. */
  private static final Duration BACKUP_DELAY = Duration.ofSeconds(5);

  private static final int MAX_ATTEMPTS = 3;

  private final Executor executor;
  private final EndpointTable table;
  private final EndpointClient client;
  private final RetryBudget retries;
  private final Counters counters;
  private final Random random;

  /** A call with the time, in nanoseconds of the executor's clock, at which it must have ended. */
  private record PendingCall(
      String service, ServiceCall call, boolean repeatable, long deadline, Set<EndpointId> tried) {}

  private ServiceRouter(
      Executor executor,
      EndpointTable table,
      EndpointClient client,
      RetryBudget retries,
      Counters counters,
      Random random) {
    this.executor = checkNotNull(executor);
    this.table = checkNotNull(table);
    this.client = checkNotNull(client);
    this.retries = checkNotNull(retries);
    this.counters = checkNotNull(counters);
    this.random = checkNotNull(random);
  }

  /** Creates a router for the plain services in the table. */
  public static ServiceRouter create(
      Executor executor,
      EndpointTable table,
      EndpointClient client,
      RetryBudget retries,
      Counters counters,
      Random random) {
    return new ServiceRouter(executor, table, client, retries, counters, random);
  }

  /**
   * Sends a call.
   *
   * @param repeatable whether the call may run more than once
   * @param limit how long the call may take, including retries; nothing is sent afterwards
   * @return the answer, or a failure that carries a refusal
   */
  public CompletableFuture<ServiceReply> call(
      String service, ServiceCall call, boolean repeatable, Optional<Duration> limit) {
    retries.deposit();
    Duration timeout = limit.orElse(DEFAULT_LIMIT);
    PendingCall pending =
        new PendingCall(
            service, call, repeatable, now() + timeout.toNanos(), ConcurrentHashMap.newKeySet());
    return Async.withTimeout(executor, timeout, attempt(pending), timedOut(pending));
  }

  private static RefusalException timedOut(PendingCall pending) {
    return Refusal.mayHaveRun(
            Reason.DEADLINE, "service " + pending.service() + " did not answer in time")
        .toException();
  }

  private CompletableFuture<ServiceReply> attempt(PendingCall pending) {
    Optional<EndpointState> chosen = choose(pending);
    if (chosen.isEmpty()) {
      return CompletableFuture.failedFuture(
          Refusal.nothingSent(Reason.NO_ENDPOINT, "no live endpoint serves " + pending.service())
              .withRetryAfter(Duration.ofSeconds(1))
              .toException());
    }
    EndpointState endpoint = chosen.get();
    pending.tried().add(endpoint.endpoint().id());
    endpoint.streamStarted();
    Duration remaining = Duration.ofNanos(pending.deadline() - now());
    CompletableFuture<ServiceReply> reply =
        Async.compose(
            client.invoke(endpoint.endpoint(), pending.call(), remaining),
            (answer, failure) -> {
              endpoint.streamEnded();
              if (failure != null) {
                return retryOrFail(pending, endpoint, failure);
              }
              endpoint.recordSuccess();
              return CompletableFuture.completedFuture(answer);
            });
    return pending.repeatable() ? withBackup(pending, reply) : reply;
  }

  /**
   * Sends a repeatable call to another endpoint as well if it is not answered for long. Silence
   * does not prove that the first endpoint failed, so the first answer of either counts.
   */
  private CompletableFuture<ServiceReply> withBackup(
      PendingCall pending, CompletableFuture<ServiceReply> first) {
    CompletableFuture<ServiceReply> answer = new CompletableFuture<>();
    AtomicBoolean decided = new AtomicBoolean();
    Runnable sendBackup =
        () -> {
          if (decided.compareAndSet(false, true)) {
            boolean sent = mayRetry(pending);
            if (sent) {
              counters.count(Metric.RETRIES, "service-silent");
            }
            completeWithFirstSuccess(
                answer, first, sent ? Optional.of(attempt(pending)) : Optional.empty());
          }
        };
    Cancellable timer = executor.schedule(sendBackup, BACKUP_DELAY);
    Async.onDone(
        first,
        executor,
        (reply, failure) -> {
          if (decided.compareAndSet(false, true)) {
            timer.cancel();
            completeWithFirstSuccess(answer, first, Optional.empty());
          }
        });
    return answer;
  }

  private void completeWithFirstSuccess(
      CompletableFuture<ServiceReply> answer,
      CompletableFuture<ServiceReply> first,
      Optional<CompletableFuture<ServiceReply>> backup) {
    CompletableFuture<ServiceReply> second = backup.orElse(first);
    Async.onDone(
        first,
        executor,
        (reply, failure) -> {
          if (failure == null) {
            answer.complete(reply);
            return;
          }
          Async.onDone(
              second,
              executor,
              (secondReply, secondFailure) -> {
                if (secondFailure == null) {
                  answer.complete(secondReply);
                } else {
                  answer.completeExceptionally(
                      combined(RefusalException.refusalOf(failure), secondFailure));
                }
              });
        });
    Async.onDone(
        second,
        executor,
        (reply, failure) -> {
          if (failure == null) {
            answer.complete(reply);
          }
        });
  }

  private boolean mayRetry(PendingCall pending) {
    return choose(pending).isPresent()
        && pending.tried().size() < MAX_ATTEMPTS
        && retries.tryWithdraw();
  }

  private CompletableFuture<ServiceReply> retryOrFail(
      PendingCall pending, EndpointState endpoint, Throwable failure) {
    if (now() - pending.deadline() >= 0) {
      // This node closed the connection, which says nothing about the endpoint.
      return CompletableFuture.failedFuture(timedOut(pending));
    }
    Refusal refusal = RefusalException.refusalOf(failure);
    if (refusal.reason() != Reason.ENDPOINT_OVERLOADED) {
      table.eject(endpoint, refusal.verdict() == Verdict.NOT_RUN ? "refused" : "lost");
    }
    boolean mayRepeat = pending.repeatable() || refusal.verdict() == Verdict.NOT_RUN;
    if (!mayRepeat || !mayRetry(pending)) {
      return CompletableFuture.failedFuture(refusal.toException());
    }
    counters.count(Metric.RETRIES, "service");
    return Async.compose(
        attempt(pending),
        (reply, retryFailure) ->
            retryFailure == null
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.failedFuture(combined(refusal, retryFailure)));
  }

  /**
   * Returns the refusal of the last attempt, weakened if its verdict claims more than is known of
   * all attempts together.
   */
  private static RefusalException combined(Refusal first, Throwable second) {
    Refusal last = RefusalException.refusalOf(second);
    if (first.verdict().and(last.verdict()) == last.verdict()) {
      return last.toException();
    }
    return Refusal.mayHaveRun(last.reason(), last.detail()).toException();
  }

  private Optional<EndpointState> choose(PendingCall pending) {
    ImmutableList<EndpointState> untried =
        table.serving(pending.service()).stream()
            .filter(state -> !state.endpoint().isEngine())
            .filter(state -> !pending.tried().contains(state.endpoint().id()))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<EndpointState> usable = filter(untried, EndpointState::isUsable);
    if (usable.isEmpty()) {
      usable = filter(untried, EndpointState::isLastResort);
    }
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    int offset = random.nextInt(usable.size());
    ImmutableList.Builder<EndpointState> rotated = ImmutableList.builder();
    rotated.addAll(usable.subList(offset, usable.size()));
    rotated.addAll(usable.subList(0, offset));
    return rotated.build().stream().min(Comparator.comparingInt(EndpointState::inFlight));
  }

  private static ImmutableList<EndpointState> filter(
      ImmutableList<EndpointState> states, Predicate<EndpointState> test) {
    return states.stream().filter(test).collect(ImmutableList.toImmutableList());
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }
}
