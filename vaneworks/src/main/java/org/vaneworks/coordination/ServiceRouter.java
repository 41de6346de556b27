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
 * Sends calls to plain services.
 *
 * <p>A call goes to another endpoint after a failure only if it is known not to have run or may be
 * repeated, and within the retry budget. Thread-safe.
 */
public final class ServiceRouter {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(10);
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

  /** Returns a router over the table's plain services. */
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
   * @param repeatable whether it may run more than once
   * @param limit how long it may take in all
   * @return the answer, or a failure that carries a refusal
   */
  public CompletableFuture<ServiceReply> call(
      String service, ServiceCall call, boolean repeatable, Optional<Duration> limit) {
    retries.earn();
    Duration bounded = limit.filter(given -> given.compareTo(CALL_LIMIT) < 0).orElse(CALL_LIMIT);
    RefusalException late =
        Refusal.mayHaveRun(Reason.DEADLINE, "service " + service + " did not answer in " + bounded)
            .toException();
    return Async.within(
        executor, bounded, attempt(service, call, repeatable, new HashSet<>()), late);
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
            return afterFailure(service, call, repeatable, tried, endpoint, failure);
          }
          endpoint.workAnswered();
          return CompletableFuture.completedFuture(reply);
        });
  }

  private CompletableFuture<ServiceReply> afterFailure(
      String service,
      ServiceCall call,
      boolean repeatable,
      Set<EndpointId> tried,
      EndpointState endpoint,
      Throwable failure) {
    Refusal why = RefusalException.refusalOf(failure);
    if (why.reason() != Reason.ENDPOINT_OVERLOADED) {
      table.eject(endpoint, why.verdict() == Verdict.NOT_RUN ? "refused" : "lost");
    }
    boolean mayRepeat = repeatable || why.verdict() == Verdict.NOT_RUN;
    boolean another = choose(service, tried).isPresent();
    if (!mayRepeat || !another || tried.size() >= MAX_ATTEMPTS || !retries.spend()) {
      return CompletableFuture.failedFuture(why.toException());
    }
    counters.count(Metric.RETRIES, "service");
    return Async.compose(
        attempt(service, call, repeatable, tried),
        (reply, again) ->
            again == null
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.failedFuture(weaker(why, again)));
  }

  /** What may be said of all attempts together: not more than of the first. */
  private static RefusalException weaker(Refusal first, Throwable second) {
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
    ImmutableList<EndpointState> usable = only(untried, EndpointState::isUsable);
    if (usable.isEmpty()) {
      usable = only(untried, EndpointState::isLastResort);
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

  private static ImmutableList<EndpointState> only(
      ImmutableList<EndpointState> states, Predicate<EndpointState> test) {
    return states.stream().filter(test).collect(ImmutableList.toImmutableList());
  }
}
