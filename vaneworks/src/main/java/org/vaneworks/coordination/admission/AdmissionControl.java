package org.vaneworks.coordination.admission;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.math.IntMath;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Decides when a request may start, and refuses at once what could not keep its bounds.
 *
 * <p>Requests that can't start at once wait in a bounded queue with weighted fair sharing over
 * workspaces. A request whose predicted first token would miss its bound is refused without waiting
 * for that to happen. Thread-safe; futures are completed with no lock held.
 */
public final class AdmissionControl {
  /** How often a queue is looked at while requests wait and nothing else happens. */
  private static final Duration RECHECK = Duration.ofMillis(10);

  /** How many workspaces' first requests are tried before giving up for now. */
  private static final int HEADS_TRIED = 4;

  private static final double GRANT_FADE = 0.9;
  private static final Duration LEAST_RETRY_AFTER = Duration.ofMillis(100);

  private final Executor executor;
  private final RoutePlanner planner;
  private final AdmissionPolicy policy;
  private final AdmissionCost cost;
  private final PaceLimit.Table pace;
  private final IntSupplier nodes;

  @GuardedBy("this")
  private final Map<String, FairQueue> queues = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> inFlight = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> weights = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> streams = new HashMap<>();

  @GuardedBy("this")
  private double grantMillis;

  @GuardedBy("this")
  private long lastGrant;

  @GuardedBy("this")
  private boolean recheckPlanned;

  private AdmissionControl(
      Executor executor,
      RoutePlanner planner,
      AdmissionPolicy policy,
      AdmissionCost cost,
      PaceLimit.Table pace,
      IntSupplier nodes) {
    this.executor = checkNotNull(executor);
    this.planner = checkNotNull(planner);
    this.policy = checkNotNull(policy);
    this.cost = checkNotNull(cost);
    this.pace = checkNotNull(pace);
    this.nodes = checkNotNull(nodes);
  }

  /**
   * Returns admission with empty queues.
   *
   * @param nodes how many nodes share the workspaces' limits
   */
  public static AdmissionControl create(
      Executor executor,
      RoutePlanner planner,
      AdmissionPolicy policy,
      AdmissionCost cost,
      PaceLimit.Table pace,
      IntSupplier nodes) {
    return new AdmissionControl(executor, planner, policy, cost, pace, nodes);
  }

  /**
   * Asks to start a request.
   *
   * @return the admission, with the stream counted on the route's engines; or a failure that
   *     carries a refusal with verdict {@code NOT_RUN}
   */
  public CompletableFuture<Admission> admit(CompletionRequest request, RouteQuery query) {
    Waiting waiting = new Waiting(request, query, now());
    Optional<Refusal> refusal;
    Optional<Admission> granted = Optional.empty();
    synchronized (this) {
      refusal = refusalAtOnce(waiting);
      if (refusal.isEmpty()) {
        granted = queueOf(query).size() == 0 ? tryGrant(waiting) : Optional.empty();
        if (granted.isEmpty()) {
          refusal = enqueue(waiting);
        }
      }
    }
    refusal.ifPresent(why -> waiting.outcome().completeExceptionally(why.toException()));
    granted.ifPresent(waiting.outcome()::complete);
    return waiting.outcome();
  }

  /**
   * Withdraws a request that still waits, for a caller that is gone.
   *
   * @return false if it was admitted or refused before; then the admission is the caller's to
   *     release
   */
  @CanIgnoreReturnValue
  public boolean withdraw(CompletableFuture<Admission> outcome) {
    Refusal gone =
        Refusal.nothingSent(Reason.CALLER_GONE, "the caller left while the request waited");
    return outcome.completeExceptionally(gone.toException());
  }

  /** Looks at the queues again, for example after an endpoint was found. */
  public void recheck() {
    List<Runnable> outcomes = new ArrayList<>();
    synchronized (this) {
      queues.values().forEach(queue -> drain(queue, outcomes));
      planRecheck();
    }
    outcomes.forEach(Runnable::run);
  }

  /** Takes whether a token of a model came within its bound. */
  public void tokenCame(String model, boolean late) {
    int running;
    synchronized (this) {
      running = streams.getOrDefault(model, 0);
    }
    pace.of(model).observe(late, running);
  }

  @GuardedBy("this")
  private FairQueue queueOf(RouteQuery query) {
    return queues.computeIfAbsent(query.model(), model -> new FairQueue(cost));
  }

  @GuardedBy("this")
  private Optional<Refusal> refusalAtOnce(Waiting waiting) {
    CompletionRequest request = waiting.request();
    String workspace = request.plan().workspace();
    int total = request.plan().maxInFlight();
    int share = IntMath.divide(total, Math.max(1, nodes.getAsInt()), RoundingMode.CEILING);
    FairQueue queue = queueOf(waiting.query());
    int mine = inFlight.getOrDefault(workspace, 0) + queue.waitingOf(workspace);
    if (mine >= share) {
      return Optional.of(
          Refusal.nothingSent(
                  Reason.WORKSPACE_LIMIT,
                  "limits.maxInFlight of " + workspace + " is " + total + ", here " + share)
              .withRetryAfter(retryAfter(1)));
    }
    return Optional.empty();
  }

  /** Takes the request into the queue, or says why it would be of no use. */
  @GuardedBy("this")
  private Optional<Refusal> enqueue(Waiting waiting) {
    CompletionRequest request = waiting.request();
    FairQueue queue = queueOf(waiting.query());
    int ahead = queue.ahead(waiting.flow());
    if (planner.plan(waiting.query()).isEmpty()) {
      return Optional.of(
          Refusal.nothingSent(
                  Reason.NO_ENDPOINT, "no live engines cover model " + request.plan().model())
              .withRetryAfter(Duration.ofSeconds(1)));
    }
    if (queue.waitingOf(request.plan().workspace()) >= request.plan().maxQueue()) {
      return Optional.of(
          Refusal.nothingSent(Reason.QUEUE_FULL, "limits.maxQueue is " + request.plan().maxQueue())
              .withRetryAfter(retryAfter(ahead)));
    }
    Duration patience = patience(request);
    Duration predicted = predictedWait(ahead);
    if (predicted.compareTo(patience) > 0) {
      return Optional.of(tooLate(ahead, "the wait would be " + predicted.toMillis() + " ms"));
    }
    if (queue.size() == 0) {
      lastGrant = now();
    }
    queue.add(waiting);
    waiting.expiry(executor.schedule(() -> expire(waiting), patience));
    planRecheck();
    return Optional.empty();
  }

  /** How long a request may wait and still keep its bound. */
  private static Duration patience(CompletionRequest request) {
    Duration bound = request.plan().firstToken();
    return request.deadline().filter(deadline -> deadline.compareTo(bound) < 0).orElse(bound);
  }

  private void expire(Waiting waiting) {
    Refusal late;
    synchronized (this) {
      if (!queueOf(waiting.query()).remove(waiting)) {
        return;
      }
      int ahead = queueOf(waiting.query()).size();
      late = tooLate(ahead, "it waited as long as its bound on the first token");
    }
    waiting.outcome().completeExceptionally(late.toException());
  }

  @GuardedBy("this")
  private Refusal tooLate(int ahead, String detail) {
    return Refusal.nothingSent(Reason.LATENCY_BOUND, detail).withRetryAfter(retryAfter(ahead));
  }

  @GuardedBy("this")
  private Duration predictedWait(int ahead) {
    return Duration.ofNanos((long) ((ahead + 1) * grantMillis * 1e6));
  }

  @GuardedBy("this")
  private Duration retryAfter(int ahead) {
    Duration predicted = predictedWait(ahead);
    return predicted.compareTo(LEAST_RETRY_AFTER) > 0 ? predicted : LEAST_RETRY_AFTER;
  }

  @GuardedBy("this")
  private void drain(FairQueue queue, List<Runnable> outcomes) {
    boolean progress = true;
    while (progress && queue.size() > 0) {
      progress = grantOne(queue, outcomes);
    }
    queue.forgetIdle();
  }

  @GuardedBy("this")
  private boolean grantOne(FairQueue queue, List<Runnable> outcomes) {
    List<Waiting> heads = queue.heads();
    for (Waiting head : heads.subList(0, Math.min(HEADS_TRIED, heads.size()))) {
      if (head.outcome().isDone()) {
        head.expiry().cancel();
        return queue.remove(head);
      }
      Optional<Admission> granted = tryGrant(head);
      if (granted.isPresent()) {
        queue.serve(head);
        head.expiry().cancel();
        measureGrant();
        outcomes.add(() -> hand(head, granted.get()));
        return true;
      }
    }
    return false;
  }

  private static void hand(Waiting waiting, Admission admission) {
    if (!waiting.outcome().complete(admission)) {
      admission.route().engines().forEach(EndpointState::streamEnded);
      admission.release();
    }
  }

  @GuardedBy("this")
  private void measureGrant() {
    double millis = (now() - lastGrant) / 1e6;
    lastGrant = now();
    grantMillis = grantMillis == 0 ? millis : GRANT_FADE * grantMillis + (1 - GRANT_FADE) * millis;
  }

  @GuardedBy("this")
  private Optional<Admission> tryGrant(Waiting waiting) {
    String model = waiting.query().model();
    int own = inFlight.getOrDefault(waiting.flow().workspace(), 0);
    if (!pace.of(model).allows(streams.getOrDefault(model, 0), own, shareOf(waiting))) {
      return Optional.empty();
    }
    Optional<PlannedRoute> planned = planner.plan(waiting.query());
    Duration waited = Duration.ofNanos(now() - waiting.since());
    if (planned.isEmpty() || !policy.admits(planned.get(), waiting.query(), waited)) {
      return Optional.empty();
    }
    String workspace = waiting.request().plan().workspace();
    planned.get().engines().forEach(EndpointState::streamStarted);
    inFlight.merge(workspace, 1, Integer::sum);
    weights.put(workspace, waiting.request().plan().weight());
    streams.merge(model, 1, Integer::sum);
    return Optional.of(new Admission(planned.get(), () -> released(workspace, model)));
  }

  /** The share by weight of a request's workspace among those that have streams now. */
  @GuardedBy("this")
  private double shareOf(Waiting waiting) {
    int own = waiting.request().plan().weight();
    int others = 0;
    for (Map.Entry<String, Integer> active : weights.entrySet()) {
      others += active.getKey().equals(waiting.flow().workspace()) ? 0 : active.getValue();
    }
    return (double) own / (own + others);
  }

  private void released(String workspace, String model) {
    synchronized (this) {
      streams.merge(model, -1, Integer::sum);
      inFlight.computeIfPresent(workspace, (name, count) -> count == 1 ? null : count - 1);
      if (!inFlight.containsKey(workspace)) {
        weights.remove(workspace);
      }
    }
    executor.execute(this::recheck);
  }

  @GuardedBy("this")
  private void planRecheck() {
    if (recheckPlanned || queues.values().stream().allMatch(queue -> queue.size() == 0)) {
      return;
    }
    recheckPlanned = true;
    executor.schedule(
        () -> {
          synchronized (this) {
            recheckPlanned = false;
          }
          recheck();
        },
        RECHECK);
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }
}
