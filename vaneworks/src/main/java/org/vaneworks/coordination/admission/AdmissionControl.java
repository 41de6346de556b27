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
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Decides when a request may start, and refuses requests that could not meet their latency bounds.
 *
 * <p>Requests that can't start immediately wait in a bounded queue, shared between workspaces by
 * weighted fair queueing. A request whose predicted wait exceeds its bound on the first token is
 * refused immediately rather than after a timeout. Thread-safe; futures are completed without
 * holding the lock.
 */
public final class AdmissionControl {
  /** Interval between checks of the queues while requests wait and no other event triggers one. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(10);

  /** Number of flows whose first request is tried in one check, in service order. */
  private static final int MAX_CANDIDATES = 4;

  /** Weight of the old average in the moving average of the interval between grants. */
  private static final double GRANT_INTERVAL_DECAY = 0.9;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  private final Executor executor;
  private final RoutePlanner planner;
  private final AdmissionPolicy policy;
  private final AdmissionCost cost;
  private final ConcurrencyLimit.Table concurrencyLimits;
  private final IntSupplier nodes;

  @GuardedBy("this")
  private final Map<String, FairQueue> queuesByModel = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> inFlightByWorkspace = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> weightsByWorkspace = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> streamsByModel = new HashMap<>();

  /** Moving average of the interval between grants, in milliseconds; 0 before the first. */
  @GuardedBy("this")
  private double grantIntervalMillis;

  @GuardedBy("this")
  private long lastGrant;

  @GuardedBy("this")
  private boolean recheckScheduled;

  private AdmissionControl(
      Executor executor,
      RoutePlanner planner,
      AdmissionPolicy policy,
      AdmissionCost cost,
      ConcurrencyLimit.Table concurrencyLimits,
      IntSupplier nodes) {
    this.executor = checkNotNull(executor);
    this.planner = checkNotNull(planner);
    this.policy = checkNotNull(policy);
    this.cost = checkNotNull(cost);
    this.concurrencyLimits = checkNotNull(concurrencyLimits);
    this.nodes = checkNotNull(nodes);
  }

  /**
   * Creates an instance with empty queues.
   *
   * @param nodes number of nodes among which the limits of a workspace are divided
   */
  public static AdmissionControl create(
      Executor executor,
      RoutePlanner planner,
      AdmissionPolicy policy,
      AdmissionCost cost,
      ConcurrencyLimit.Table concurrencyLimits,
      IntSupplier nodes) {
    return new AdmissionControl(executor, planner, policy, cost, concurrencyLimits, nodes);
  }

  /**
   * Requests a permit to start a request; queues the request if it can't start immediately.
   *
   * @return the permit, with the stream counted as in flight on the engines of the route; or a
   *     failure that carries a refusal with verdict {@code NOT_RUN}
   */
  public CompletableFuture<Admission> admit(CompletionRequest request, RouteQuery query) {
    QueuedRequest queued = new QueuedRequest(request, query, now());
    Optional<Refusal> refusal;
    Optional<Admission> granted = Optional.empty();
    synchronized (this) {
      refusal = checkWorkspaceLimit(queued);
      if (refusal.isEmpty()) {
        granted = queueFor(query).size() == 0 ? tryGrant(queued) : Optional.empty();
        if (granted.isEmpty()) {
          refusal = enqueue(queued);
        }
      }
    }
    if (refusal.isEmpty() && granted.isEmpty()) {
      Async.ignore(
          queued
              .outcome()
              .whenComplete(
                  (admission, failure) -> {
                    if (failure != null) {
                      removeWithdrawn(queued);
                    }
                  }));
    }
    refusal.ifPresent(refused -> queued.outcome().completeExceptionally(refused.toException()));
    granted.ifPresent(queued.outcome()::complete);
    return queued.outcome();
  }

  /**
   * Cancels a queued request whose caller disconnected.
   *
   * @return false if the request was already admitted or refused; an admission must then still be
   *     released by the caller of this method
   */
  @CanIgnoreReturnValue
  public boolean withdraw(CompletableFuture<Admission> outcome) {
    Refusal gone =
        Refusal.nothingSent(Reason.CALLER_GONE, "the caller left while the request waited");
    return outcome.completeExceptionally(gone.toException());
  }

  /** Removes a request whose outcome was completed from outside while it was queued. */
  private synchronized void removeWithdrawn(QueuedRequest queued) {
    if (queueFor(queued.query()).remove(queued)) {
      queued.expiry().cancel();
    }
  }

  /** Grants the queued requests that can start now, for example after an endpoint was found. */
  public void recheck() {
    List<Runnable> outcomes = new ArrayList<>();
    synchronized (this) {
      queuesByModel.values().forEach(queue -> drain(queue, outcomes));
      scheduleRecheck();
    }
    outcomes.forEach(Runnable::run);
  }

  /** Records whether a token of a model missed its bound on the time between tokens. */
  public void recordToken(String model, boolean late) {
    int running;
    synchronized (this) {
      running = streamsByModel.getOrDefault(model, 0);
    }
    concurrencyLimits.of(model).observe(late, running);
  }

  @GuardedBy("this")
  private FairQueue queueFor(RouteQuery query) {
    return queuesByModel.computeIfAbsent(query.model(), model -> new FairQueue(cost));
  }

  @GuardedBy("this")
  private Optional<Refusal> checkWorkspaceLimit(QueuedRequest queued) {
    CompletionRequest request = queued.request();
    String workspace = request.plan().workspace();
    int total = request.plan().maxInFlight();
    int share = IntMath.divide(total, Math.max(1, nodes.getAsInt()), RoundingMode.CEILING);
    FairQueue queue = queueFor(queued.query());
    int occupied = inFlightByWorkspace.getOrDefault(workspace, 0) + queue.waitingCount(workspace);
    if (occupied >= share) {
      return Optional.of(
          Refusal.nothingSent(
                  Reason.WORKSPACE_LIMIT,
                  "limits.maxInFlight of " + workspace + " is " + total + ", here " + share)
              .withRetryAfter(retryAfter(1)));
    }
    return Optional.empty();
  }

  /** Queues the request, or returns the refusal if it could not start in time. */
  @GuardedBy("this")
  private Optional<Refusal> enqueue(QueuedRequest queued) {
    CompletionRequest request = queued.request();
    FairQueue queue = queueFor(queued.query());
    int ahead = queue.countAhead(queued.flow());
    if (planner.plan(queued.query()).isEmpty()) {
      return Optional.of(
          Refusal.nothingSent(
                  Reason.NO_ENDPOINT, "no live engines cover model " + request.plan().model())
              .withRetryAfter(Duration.ofSeconds(1)));
    }
    if (queue.waitingCount(request.plan().workspace()) >= request.plan().maxQueue()) {
      return Optional.of(
          Refusal.nothingSent(Reason.QUEUE_FULL, "limits.maxQueue is " + request.plan().maxQueue())
              .withRetryAfter(retryAfter(ahead)));
    }
    Duration maxWait = maxWait(request);
    Duration predicted = predictedWait(ahead);
    if (predicted.compareTo(maxWait) > 0) {
      return Optional.of(
          latencyRefusal(ahead, "the wait would be " + predicted.toMillis() + " ms"));
    }
    if (queue.size() == 0) {
      lastGrant = now();
    }
    queue.add(queued);
    queued.expiry(executor.schedule(() -> expire(queued), maxWait));
    scheduleRecheck();
    return Optional.empty();
  }

  /** Returns how long a request may wait in the queue without missing its latency bound. */
  private static Duration maxWait(CompletionRequest request) {
    Duration bound = request.plan().firstToken();
    return request.deadline().filter(deadline -> deadline.compareTo(bound) < 0).orElse(bound);
  }

  private void expire(QueuedRequest queued) {
    Refusal refusal;
    synchronized (this) {
      if (!queueFor(queued.query()).remove(queued)) {
        return;
      }
      int ahead = queueFor(queued.query()).size();
      refusal = latencyRefusal(ahead, "it waited as long as its bound on the first token");
    }
    queued.outcome().completeExceptionally(refusal.toException());
  }

  @GuardedBy("this")
  private Refusal latencyRefusal(int ahead, String detail) {
    return Refusal.nothingSent(Reason.LATENCY_BOUND, detail).withRetryAfter(retryAfter(ahead));
  }

  @GuardedBy("this")
  private Duration predictedWait(int ahead) {
    return Duration.ofNanos((long) ((ahead + 1) * grantIntervalMillis * 1e6));
  }

  @GuardedBy("this")
  private Duration retryAfter(int ahead) {
    Duration predicted = predictedWait(ahead);
    return predicted.compareTo(MIN_RETRY_AFTER) > 0 ? predicted : MIN_RETRY_AFTER;
  }

  @GuardedBy("this")
  private void drain(FairQueue queue, List<Runnable> outcomes) {
    boolean progress = true;
    while (progress && queue.size() > 0) {
      progress = grantOne(queue, outcomes);
    }
    queue.removeIdleFlows();
  }

  @GuardedBy("this")
  private boolean grantOne(FairQueue queue, List<Runnable> outcomes) {
    List<QueuedRequest> firstRequests = queue.firstRequests();
    for (QueuedRequest candidate :
        firstRequests.subList(0, Math.min(MAX_CANDIDATES, firstRequests.size()))) {
      if (candidate.outcome().isDone()) {
        candidate.expiry().cancel();
        return queue.remove(candidate);
      }
      Optional<Admission> granted = tryGrant(candidate);
      if (granted.isPresent()) {
        queue.serve(candidate);
        candidate.expiry().cancel();
        recordGrant();
        outcomes.add(() -> deliver(candidate, granted.get()));
        return true;
      }
    }
    return false;
  }

  private static void deliver(QueuedRequest queued, Admission admission) {
    if (!queued.outcome().complete(admission)) {
      admission.route().engines().forEach(EndpointState::streamEnded);
      admission.release();
    }
  }

  @GuardedBy("this")
  private void recordGrant() {
    double millis = (now() - lastGrant) / 1e6;
    lastGrant = now();
    grantIntervalMillis =
        grantIntervalMillis == 0
            ? millis
            : GRANT_INTERVAL_DECAY * grantIntervalMillis + (1 - GRANT_INTERVAL_DECAY) * millis;
  }

  @GuardedBy("this")
  private Optional<Admission> tryGrant(QueuedRequest queued) {
    String model = queued.query().model();
    int own = inFlightByWorkspace.getOrDefault(queued.flow().workspace(), 0);
    if (!concurrencyLimits
        .of(model)
        .allows(streamsByModel.getOrDefault(model, 0), own, weightedShare(queued))) {
      return Optional.empty();
    }
    Optional<PlannedRoute> planned = planner.plan(queued.query());
    Duration waited = Duration.ofNanos(now() - queued.queuedAt());
    if (planned.isEmpty() || !policy.admits(planned.get(), queued.query(), waited)) {
      return Optional.empty();
    }
    String workspace = queued.request().plan().workspace();
    planned.get().engines().forEach(EndpointState::streamStarted);
    inFlightByWorkspace.merge(workspace, 1, Integer::sum);
    weightsByWorkspace.put(workspace, queued.request().plan().weight());
    streamsByModel.merge(model, 1, Integer::sum);
    return Optional.of(new Admission(planned.get(), () -> onReleased(workspace, model)));
  }

  /** Returns the share by weight, 0 to 1, of the request's workspace among active workspaces. */
  @GuardedBy("this")
  private double weightedShare(QueuedRequest queued) {
    int own = queued.request().plan().weight();
    int others = 0;
    for (Map.Entry<String, Integer> active : weightsByWorkspace.entrySet()) {
      others += active.getKey().equals(queued.flow().workspace()) ? 0 : active.getValue();
    }
    return (double) own / (own + others);
  }

  private void onReleased(String workspace, String model) {
    synchronized (this) {
      streamsByModel.merge(model, -1, Integer::sum);
      inFlightByWorkspace.computeIfPresent(
          workspace, (name, count) -> count == 1 ? null : count - 1);
      if (!inFlightByWorkspace.containsKey(workspace)) {
        weightsByWorkspace.remove(workspace);
      }
    }
    executor.execute(this::recheck);
  }

  @GuardedBy("this")
  private void scheduleRecheck() {
    if (recheckScheduled || queuesByModel.values().stream().allMatch(queue -> queue.size() == 0)) {
      return;
    }
    recheckScheduled = true;
    executor.schedule(
        () -> {
          synchronized (this) {
            recheckScheduled = false;
          }
          recheck();
        },
        RECHECK_INTERVAL);
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }
}
