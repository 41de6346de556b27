package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.protocol.EngineJson;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Links to engines and plain services in the same process, with faults.
 *
 * <p>A link delays each way by a seeded chance; an endpoint can be killed, frozen and thawed; an
 * answer can be lost, or exchanged with another stream's. Meant for a {@link PausedExecutor}, so
 * not thread-safe.
 */
public final class InMemoryEndpoints implements EndpointClient {
  private static final Duration CONNECTION_LIMIT = Duration.ofSeconds(6);

  /** One endpoint behind its link. */
  private static final class Link {
    private final EngineCore engine;
    private final ServiceCore service;
    private final Endpoint endpoint;
    private final List<Runnable> heldWhileFrozen = new ArrayList<>();
    private final List<CompletableFuture<?>> inFlight = new ArrayList<>();
    private boolean killed;
    private boolean frozen;
    private boolean leaving;
    private int answersToLose;
    private int answersToExchange;
    private Duration delay = Duration.ofMillis(1);

    Link(Endpoint endpoint, EngineCore engine, ServiceCore service) {
      this.endpoint = endpoint;
      this.engine = engine;
      this.service = service;
    }
  }

  private record HeldReply(CompletableFuture<StepReply> answer, StepReply reply) {}

  private final Executor executor;
  private final Random random;
  private final Map<HostPort, Link> links = new LinkedHashMap<>();
  private final Set<HostPort> forgotten = new HashSet<>();
  private final List<HeldReply> exchanged = new ArrayList<>();

  private InMemoryEndpoints(Executor executor, Random random) {
    this.executor = executor;
    this.random = random;
  }

  /** Returns links to nothing yet. */
  public static InMemoryEndpoints create(Executor executor, Random random) {
    return new InMemoryEndpoints(executor, random);
  }

  /** Adds an engine. */
  public void add(EngineCore engine) {
    Endpoint endpoint = engine.options().endpoint();
    links.put(endpoint.address(), new Link(endpoint, engine, ServiceCore.create()));
  }

  /** Adds a plain service. */
  public void add(Endpoint endpoint, ServiceCore service) {
    links.put(endpoint.address(), new Link(endpoint, null, service));
  }

  /** Returns the engines, killed ones too. */
  public ImmutableList<EngineCore> engines() {
    return links.values().stream()
        .filter(link -> link.engine != null)
        .map(link -> link.engine)
        .collect(ImmutableList.toImmutableList());
  }

  /** Kills an endpoint: what is in flight breaks, and nothing connects any more. */
  public void kill(HostPort address) {
    Link link = links.get(address);
    link.killed = true;
    List<CompletableFuture<?>> broken = new ArrayList<>(link.inFlight);
    link.inFlight.clear();
    broken.forEach(answer -> answer.completeExceptionally(reset().toException()));
  }

  /** Freezes an endpoint: calls arrive and wait. */
  public void freeze(HostPort address) {
    links.get(address).frozen = true;
  }

  /** Thaws an endpoint: it works off what arrived meanwhile. */
  public void thaw(HostPort address) {
    Link link = links.get(address);
    link.frozen = false;
    List<Runnable> held = new ArrayList<>(link.heldWhileFrozen);
    link.heldWhileFrozen.clear();
    held.forEach(executor::execute);
  }

  /** Loses the endpoint's next answers, after the work was done. */
  public void loseAnswers(HostPort address, int count) {
    links.get(address).answersToLose = count;
  }

  /** Exchanges the endpoint's next answers with each other's, in pairs. */
  public void exchangeAnswers(HostPort address, int count) {
    links.get(address).answersToExchange = count;
  }

  /** Sets the delay of each way of an endpoint's link. */
  public void delay(HostPort address, Duration delay) {
    links.get(address).delay = delay;
  }

  /** Makes an endpoint say that it leaves. */
  public void leave(HostPort address) {
    Link link = links.get(address);
    link.leaving = true;
    if (link.engine != null) {
      link.engine.leave();
    }
  }

  @Override
  public void closeConnections(HostPort address) {
    forgotten.add(address);
  }

  /** Returns the addresses that some node let go of. */
  public ImmutableSet<HostPort> forgotten() {
    return ImmutableSet.copyOf(forgotten);
  }

  @Override
  public CompletableFuture<EndpointStatus> status(HostPort address) {
    return call(address, link -> CompletableFuture.completedFuture(statusOf(link)));
  }

  private static EndpointStatus statusOf(Link link) {
    return link.engine != null
        ? link.engine.status()
        : new EndpointStatus(link.endpoint, link.leaving, 0, 0, 0);
  }

  @Override
  public CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call) {
    Link link = links.get(endpoint.address());
    CompletableFuture<StepReply> answer = call(endpoint.address(), each -> each.engine.step(call));
    if (link.answersToExchange == 0) {
      return answer;
    }
    link.answersToExchange--;
    CompletableFuture<StepReply> other = new CompletableFuture<>();
    Async.onDone(
        answer,
        executor,
        (reply, failure) -> {
          if (failure != null) {
            other.completeExceptionally(failure);
          } else {
            exchange(new HeldReply(other, reply));
          }
        });
    return other;
  }

  private void exchange(HeldReply second) {
    if (exchanged.isEmpty()) {
      exchanged.add(second);
      return;
    }
    HeldReply first = exchanged.remove(0);
    first.answer().complete(second.reply());
    second.answer().complete(first.reply());
  }

  @Override
  public CompletableFuture<Void> end(Endpoint endpoint, SessionId session) {
    return call(
        endpoint.address(),
        link -> {
          link.engine.end(session);
          return CompletableFuture.completedFuture(null);
        });
  }

  @Override
  public CompletableFuture<SessionExport> exportSession(Endpoint endpoint, SessionId session) {
    return call(endpoint.address(), link -> attempt(() -> link.engine.exportSession(session)));
  }

  @Override
  public CompletableFuture<Void> importSession(
      Endpoint endpoint, SessionId as, SessionExport export) {
    return call(
        endpoint.address(),
        link ->
            attempt(
                () -> {
                  link.engine.importSession(as, export);
                  return null;
                }));
  }

  private static <T> CompletableFuture<T> attempt(Supplier<T> work) {
    try {
      return CompletableFuture.completedFuture(work.get());
    } catch (EngineRefusal e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<ServiceReply> invoke(Endpoint endpoint, ServiceCall call) {
    return call(
        endpoint.address(), link -> CompletableFuture.completedFuture(link.service.run(call)));
  }

  /** What arrives at an endpoint. */
  @FunctionalInterface
  private interface Work<T> {
    CompletableFuture<T> at(Link link);
  }

  private <T> CompletableFuture<T> call(HostPort address, Work<T> work) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    Link link = links.get(address);
    if (link == null || link.killed) {
      executor.schedule(
          () -> answer.completeExceptionally(refusedConnection().toException()), jitter(link));
      return answer;
    }
    link.inFlight.add(answer);
    executor.schedule(() -> arrive(link, work, answer), jitter(link));
    executor.schedule(() -> answer.completeExceptionally(reset().toException()), CONNECTION_LIMIT);
    return answer;
  }

  private <T> void arrive(Link link, Work<T> work, CompletableFuture<T> answer) {
    if (link.killed) {
      return;
    }
    if (link.frozen) {
      link.heldWhileFrozen.add(() -> arrive(link, work, answer));
      return;
    }
    Async.onDone(work.at(link), executor, (value, failure) -> depart(link, answer, value, failure));
  }

  private <T> void depart(Link link, CompletableFuture<T> answer, T value, Throwable failure) {
    if (link.killed) {
      return;
    }
    if (link.frozen) {
      link.heldWhileFrozen.add(() -> depart(link, answer, value, failure));
      return;
    }
    if (link.answersToLose > 0 && value instanceof StepReply) {
      link.answersToLose--;
      return;
    }
    executor.schedule(() -> deliver(link, answer, value, failure), jitter(link));
  }

  private <T> void deliver(Link link, CompletableFuture<T> answer, T value, Throwable failure) {
    link.inFlight.remove(answer);
    if (failure == null) {
      answer.complete(value);
    } else {
      answer.completeExceptionally(refusalOf(failure).toException());
    }
  }

  private static Refusal refusalOf(Throwable failure) {
    if (failure instanceof EngineRefusal refusal) {
      Reason reason =
          refusal.code().equals(EngineJson.OVERLOADED)
              ? Reason.ENDPOINT_OVERLOADED
              : Reason.ENDPOINT_LOST;
      return Refusal.notRun(NotRunProof.ENDPOINT_REFUSED, reason, refusal.code());
    }
    return Refusal.mayHaveRun(Reason.ENDPOINT_LOST, failure.toString());
  }

  private static Refusal refusedConnection() {
    return Refusal.notRun(NotRunProof.NEVER_CONNECTED, Reason.ENDPOINT_LOST, "connection refused");
  }

  private static Refusal reset() {
    return Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "connection reset");
  }

  private Duration jitter(Link link) {
    Duration base = link == null ? Duration.ofMillis(1) : link.delay;
    return Duration.ofNanos((long) (base.toNanos() * (0.5 + random.nextDouble())));
  }
}
