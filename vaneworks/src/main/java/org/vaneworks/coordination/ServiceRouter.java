package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
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
  private static final Duration MAX_CALL_DURATION = Duration.ofSeconds(10);
  private static final int MAX_ATTEMPTS = 3;

  private final Executor executor;
  private final EndpointTable table;
  private final EndpointClient client;
  private final RetryBudget retries;
  private final Counters counters;
  private final Random random;

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
   * @param limit how long the call may take, including retries
   * @return the answer, or a failure that carries a refusal
   */
  public CompletableFuture<ServiceReply> call(
      String service, ServiceCall call, boolean repeatable, Optional<Duration> limit) {
    retries.deposit();
    Duration timeout =
        limit.filter(given -> given.compareTo(MAX_CALL_DURATION) < 0).orElse(MAX_CALL_DURATION);
    RefusalException timeoutException =
        Refusal.mayHaveRun(Reason.DEADLINE, "service " + service + " did not answer in " + timeout)
            .toException();
    return Async.withTimeout(
        executor, timeout, attempt(service, call, repeatable, new HashSet<>()), timeoutException);
  }

  private CompletableFuture<ServiceReply> attempt(
      String service, ServiceCall call, boolean repeatable, Set<EndpointId> tried) {
    Optional<EndpointState> chosen = choose(service, tried);
    if (chosen.isEmpty()) {
      return CompletableFuture.failedFuture(
          Refusal.nothingSent(Reason.NO_ENDPOINT, "no live endpoint serves " + service)
              .withRetryAfter(Duration.ofSeconds(1))
              .toException());
    }
    EndpointState endpoint = chosen.get();
    tried.add(endpoint.endpoint().id());
    endpoint.streamStarted();
    return Async.compose(
        client.invoke(endpoint.endpoint(), call),
        (reply, failure) -> {
          endpoint.streamEnded();
          if (failure != null) {
            return retryOrFail(service, call, repeatable, tried, endpoint, failure);
          }
          endpoint.recordSuccess();
          return CompletableFuture.completedFuture(reply);
        });
  }

  private CompletableFuture<ServiceReply> retryOrFail(
      String service,
      ServiceCall call,
      boolean repeatable,
      Set<EndpointId> tried,
      EndpointState endpoint,
      Throwable failure) {
    Refusal refusal = RefusalException.refusalOf(failure);
    if (refusal.reason() != Reason.ENDPOINT_OVERLOADED) {
      table.eject(endpoint, refusal.verdict() == Verdict.NOT_RUN ? "refused" : "lost");
    }
    boolean mayRepeat = repeatable || refusal.verdict() == Verdict.NOT_RUN;
    boolean hasAlternative = choose(service, tried).isPresent();
    if (!mayRepeat || !hasAlternative || tried.size() >= MAX_ATTEMPTS || !retries.tryWithdraw()) {
      return CompletableFuture.failedFuture(refusal.toException());
    }
    counters.count(Metric.RETRIES, "service");
    return Async.compose(
        attempt(service, call, repeatable, tried),
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

  private Optional<EndpointState> choose(String service, Set<EndpointId> tried) {
    ImmutableList<EndpointState> untried =
        table.serving(service).stream()
            .filter(state -> !state.endpoint().isEngine())
            .filter(state -> !tried.contains(state.endpoint().id()))
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
}
