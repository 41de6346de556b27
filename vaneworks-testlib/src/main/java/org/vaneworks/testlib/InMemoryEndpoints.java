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
 * Simulates the links to engines and plain services in the same process, with fault injection.
 *
 * <p>Each direction of a link has a random delay. Endpoints can be killed, frozen and thawed, and
 * answers can be lost or swapped with those of other streams. Intended for a {@link
 * PausedExecutor}; not thread-safe.
 */
public final class InMemoryEndpoints implements EndpointClient {
  private static final Duration CONNECTION_TIMEOUT = Duration.ofSeconds(6);

  /** An endpoint and the state of the link to it. */
  private static final class Link {
    private final EngineCore engine;
    private final ServiceCore service;
    private final Endpoint endpoint;
    private final List<Runnable> queuedWhileFrozen = new ArrayList<>();
    private final List<CompletableFuture<?>> inFlight = new ArrayList<>();
    private boolean killed;
    private boolean frozen;
    private boolean leaving;
    private boolean overloaded;
    private int answersToLose;
    private int answersToSwap;
    private Duration delay = Duration.ofMillis(1);

    Link(Endpoint endpoint, EngineCore engine, ServiceCore service) {
      this.endpoint = endpoint;
      this.engine = engine;
      this.service = service;
    }
  }

  private record PendingReply(CompletableFuture<StepReply> answer, StepReply reply) {}

  private final Executor executor;
  private final Random random;
  private final Map<HostPort, Link> links = new LinkedHashMap<>();
  private final Set<HostPort> forgotten = new HashSet<>();
  private final List<PendingReply> unpaired = new ArrayList<>();

  private InMemoryEndpoints(Executor executor, Random random) {
    this.executor = executor;
    this.random = random;
  }

  /** Returns an instance without endpoints. */
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

  /** Returns all engines, including killed ones. */
  public ImmutableList<EngineCore> engines() {
    return links.values().stream()
        .filter(link -> link.engine != null)
        .map(link -> link.engine)
        .collect(ImmutableList.toImmutableList());
  }

  /** Kills an endpoint: calls in flight fail, and new connections are refused. */
  public void kill(HostPort address) {
    links.get(address).killed = true;
    resetConnections(address);
  }

  /**
   * Resets the connections to an endpoint: calls in flight fail, although the endpoint runs them.
   */
  public void resetConnections(HostPort address) {
    Link link = links.get(address);
    List<CompletableFuture<?>> failed = new ArrayList<>(link.inFlight);
    link.inFlight.clear();
    failed.forEach(answer -> answer.completeExceptionally(connectionReset().toException()));
  }

  /** Makes an engine refuse to open sessions because it is overloaded, or stop refusing. */
  public void setOverloaded(HostPort address, boolean overloaded) {
    links.get(address).overloaded = overloaded;
  }

  /** Freezes an endpoint: calls to it and its answers are queued. */
  public void freeze(HostPort address) {
    links.get(address).frozen = true;
  }

  /** Thaws an endpoint, which then processes the queued calls and answers. */
  public void thaw(HostPort address) {
    Link link = links.get(address);
    link.frozen = false;
    List<Runnable> queued = new ArrayList<>(link.queuedWhileFrozen);
    link.queuedWhileFrozen.clear();
    queued.forEach(executor::execute);
  }

  /** Drops the next step answers of an endpoint, after the steps have run. */
  public void loseAnswers(HostPort address, int count) {
    links.get(address).answersToLose = count;
  }

  /** Swaps the next step answers of an endpoint in pairs. */
  public void exchangeAnswers(HostPort address, int count) {
    links.get(address).answersToSwap = count;
  }

  /** Sets the mean one-way delay of the link to an endpoint. */
  public void setDelay(HostPort address, Duration delay) {
    links.get(address).delay = delay;
  }

  /** Makes an endpoint report that it is leaving. */
  public void markLeaving(HostPort address) {
    Link link = links.get(address);
    link.leaving = true;
    if (link.engine != null) {
      link.engine.markLeaving();
    }
  }

  @Override
  public void closeConnections(HostPort address) {
    forgotten.add(address);
  }

  /** Returns the addresses whose connections at least one node has closed. */
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
  public CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call, Duration timeout) {
    Link link = links.get(endpoint.address());
    CompletableFuture<StepReply> answer =
        call(endpoint.address(), timeout, target -> run(target, call));
    if (link.answersToSwap == 0) {
      return answer;
    }
    link.answersToSwap--;
    CompletableFuture<StepReply> swapped = new CompletableFuture<>();
    Async.onDone(
        answer,
        executor,
        (reply, failure) -> {
          if (failure != null) {
            swapped.completeExceptionally(failure);
          } else {
            swap(new PendingReply(swapped, reply));
          }
        });
    return swapped;
  }

  private static CompletableFuture<StepReply> run(Link link, StepCall call) {
    boolean opensSession = call.step() == 0 || call.rebuilds();
    return link.overloaded && opensSession
        ? CompletableFuture.failedFuture(new EngineRefusal(EngineJson.OVERLOADED))
        : link.engine.step(call);
  }

  private void swap(PendingReply second) {
    if (unpaired.isEmpty()) {
      unpaired.add(second);
      return;
    }
    PendingReply first = unpaired.remove(0);
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

  private static <T> CompletableFuture<T> attempt(Supplier<T> operation) {
    try {
      return CompletableFuture.completedFuture(operation.get());
    } catch (EngineRefusal e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<ServiceReply> invoke(
      Endpoint endpoint, ServiceCall call, Duration timeout) {
    return call(
        endpoint.address(),
        timeout,
        link -> CompletableFuture.completedFuture(link.service.run(call)));
  }

  /** The processing of a call at its endpoint. */
  @FunctionalInterface
  private interface Handler<T> {
    CompletableFuture<T> run(Link link);
  }

  private <T> CompletableFuture<T> call(HostPort address, Handler<T> handler) {
    return call(address, CONNECTION_TIMEOUT, handler);
  }

  private <T> CompletableFuture<T> call(HostPort address, Duration timeout, Handler<T> handler) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    Link link = links.get(address);
    if (link == null || link.killed) {
      executor.schedule(
          () -> answer.completeExceptionally(connectionRefused().toException()), randomDelay(link));
      return answer;
    }
    link.inFlight.add(answer);
    executor.schedule(() -> arrive(link, handler, answer), randomDelay(link));
    executor.schedule(() -> answer.completeExceptionally(connectionReset().toException()), timeout);
    return answer;
  }

  private <T> void arrive(Link link, Handler<T> handler, CompletableFuture<T> answer) {
    if (link.killed) {
      return;
    }
    if (link.frozen) {
      link.queuedWhileFrozen.add(() -> arrive(link, handler, answer));
      return;
    }
    Async.onDone(
        handler.run(link), executor, (value, failure) -> depart(link, answer, value, failure));
  }

  private <T> void depart(Link link, CompletableFuture<T> answer, T value, Throwable failure) {
    if (link.killed) {
      return;
    }
    if (link.frozen) {
      link.queuedWhileFrozen.add(() -> depart(link, answer, value, failure));
      return;
    }
    if (link.answersToLose > 0 && value instanceof StepReply) {
      link.answersToLose--;
      return;
    }
    executor.schedule(() -> deliver(link, answer, value, failure), randomDelay(link));
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

  private static Refusal connectionRefused() {
    return Refusal.notRun(NotRunProof.NEVER_CONNECTED, Reason.ENDPOINT_LOST, "connection refused");
  }

  private static Refusal connectionReset() {
    return Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "connection reset");
  }

  private Duration randomDelay(Link link) {
    Duration base = link == null ? Duration.ofMillis(1) : link.delay;
    return Duration.ofNanos((long) (base.toNanos() * (0.5 + random.nextDouble())));
  }
}
