package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.concurrent.EventLoopDelay;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Determines whether this node is isolated, that is cut off from all endpoints.
 *
 * <p>To a node that is cut off, each endpoint looks as if it were down. When failures suggest that,
 * this monitor opens new connections to other endpoints: a single one that is established proves
 * that the node is not isolated. If none is, the node counts as isolated until most connections of
 * two consecutive samples are established. Connections that were open before prove nothing, as they
 * may live on while new ones fail.
 *
 * <p>Nothing is sent while endpoints answer. Confined to the node's event loop.
 */
public final class ReachabilityMonitor {
  /**
   * Time to establish connections; a few milliseconds suffice within a region. A lost packet is
   * retransmitted later, but several endpoints are tried.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

  /** The same while this node is isolated: a busy node must not stay isolated for its own delay. */
  private static final Duration RECOVERY_CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Endpoints tried before this node counts as isolated. */
  private static final int SAMPLE_SIZE = 5;

  /** Delay after which the rest of a sample is tried; most checks end sooner. */
  private static final Duration SECOND_STAGE_DELAY = Duration.ofMillis(30);

  /** Endpoints tried in each check while this node is isolated. */
  private static final int RECOVERY_SAMPLE_SIZE = 3;

  /** Consecutive successful checks that end the isolation, so that it does not flap. */
  private static final int CHECKS_TO_RECOVER = 2;

  private static final Duration RECOVERY_CHECK_INTERVAL = Duration.ofMillis(250);

  /** Failures of different endpoints within this time suggest a common cause. */
  private static final Duration FAILURE_WINDOW = Duration.ofMillis(500);

  /** Time for which a successful check is relied on after connections were refused. */
  private static final Duration VALIDITY_AFTER_REFUSAL = Duration.ofMillis(300);

  /** Time for which it is relied on otherwise: slow endpoints must not cause many connections. */
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  private final Executor clock;
  private final Random random;
  private final Fleet fleet;
  private final ConnectionProbe probe;
  private final Counters counters;
  private final List<Consumer<Boolean>> listeners = new ArrayList<>();

  /** Actions that wait for the result of the check in progress. */
  private final Deque<Runnable> undecided = new ArrayDeque<>();

  /** The latest failure of each endpoint, in nanoseconds of the clock. */
  private final Map<TrackedEndpoint, Long> failures = new LinkedHashMap<>();

  private boolean checking;
  private long checkStartedAt = Long.MIN_VALUE;
  private boolean isolated;

  /** Whether most endpoints tried last did not even refuse the connection. */
  private boolean silent;

  private long isolatedSince;
  private long reachedAt = Long.MIN_VALUE / 2;
  private int successfulChecks;

  private ReachabilityMonitor(
      Executor clock, Random random, Fleet fleet, ConnectionProbe probe, Counters counters) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.fleet = checkNotNull(fleet);
    this.probe = checkNotNull(probe);
    this.counters = checkNotNull(counters);
    fleet.onRemoval(failures::remove);
  }

  /** Returns a monitor of a node that is not known to be isolated. */
  public static ReachabilityMonitor create(
      Executor clock, Random random, Fleet fleet, ConnectionProbe probe, Counters counters) {
    return new ReachabilityMonitor(clock, random, fleet, probe, counters);
  }

  /** Adds a listener that receives whether this node is isolated, each time that changes. */
  public void onChange(Consumer<Boolean> listener) {
    listeners.add(listener);
  }

  /** Returns whether this node is cut off from all endpoints. */
  public boolean isIsolated() {
    return isolated;
  }

  /**
   * Returns whether this node is isolated and its connections to endpoints hang, so that a request
   * that is sent to one waits in vain.
   */
  public boolean isIsolatedBySilence() {
    return isolated && silent;
  }

  /** Returns whether it is being checked whether this node is isolated. */
  public boolean isChecking() {
    return checking;
  }

  /** Runs an action now, or after the check in progress, which takes a fraction of a second. */
  public void whenChecked(Runnable action) {
    if (checking) {
      undecided.add(action);
    } else {
      action.run();
    }
  }

  /**
   * Does so unless this node is isolated. A failure of an endpoint proves nothing about its process
   * while it is.
   */
  public void unlessIsolated(Runnable action) {
    whenChecked(
        () -> {
          if (!isolated) {
            action.run();
          }
        });
  }

  /**
   * Determines whether this node reaches other endpoints now, as an earlier check may have ended
   * before this node was cut off. A node without other endpoints counts as not cut off.
   *
   * @param unreached an endpoint that this node could not reach
   * @param onResult called, possibly before this method returns, with whether the node reaches
   *     others
   */
  void confirmReach(TrackedEndpoint unreached, Consumer<Boolean> onResult) {
    long since = now();
    whenChecked(
        () -> {
          if (!isolated && checkStartedAt < since) {
            recordFailure(unreached);
            check(ImmutableSet.of(unreached));
          }
          whenChecked(() -> onResult.accept(!isolated));
        });
  }

  /** Records that a connection to an endpoint was refused. */
  public void recordRefused(TrackedEndpoint endpoint) {
    recordFailure(endpoint);
    if (!isReachedWithin(VALIDITY_AFTER_REFUSAL)) {
      check();
    }
  }

  /** Records that an endpoint did not answer, or that its connection broke. */
  public void recordUnanswered(TrackedEndpoint endpoint) {
    recordFailure(endpoint);
    if (failures.size() > 1 && !isReachedWithin(VALIDITY)) {
      check();
    }
  }

  /**
   * Records that a peer reaches no endpoint. What cut it off may have cut off this node as well,
   * which notices that late if it has few requests.
   */
  public void recordPeerIsolated() {
    if (!isReachedWithin(VALIDITY)) {
      check();
    }
  }

  private void recordFailure(TrackedEndpoint endpoint) {
    long oldest = now() - FAILURE_WINDOW.toNanos();
    failures.values().removeIf(failedAt -> failedAt < oldest);
    failures.put(endpoint, now());
  }

  private boolean isReachedWithin(Duration age) {
    return now() - reachedAt < age.toNanos();
  }

  private void check() {
    check(ImmutableSet.copyOf(failures.keySet()));
  }

  private void check(ImmutableSet<TrackedEndpoint> failed) {
    if (checking || isolated) {
      return;
    }
    ImmutableList<TrackedEndpoint> candidates = candidates(failed);
    if (candidates.isEmpty()) {
      return;
    }
    checking = true;
    checkStartedAt = now();
    new Sample(first(candidates, SAMPLE_SIZE), 1, CONNECT_TIMEOUT, sample -> end(failed, sample))
        .start();
  }

  /** Returns the endpoints to try in random order, alternating between the data centres. */
  private ImmutableList<TrackedEndpoint> candidates(ImmutableSet<TrackedEndpoint> excluded) {
    List<TrackedEndpoint> shuffled = new ArrayList<>();
    for (TrackedEndpoint endpoint : fleet.all()) {
      if (!endpoint.endpoint().leaving() && !endpoint.hasEnded() && !excluded.contains(endpoint)) {
        shuffled.add(endpoint);
      }
    }
    Collections.shuffle(shuffled, random);
    Map<String, Deque<TrackedEndpoint>> byDataCentre = new LinkedHashMap<>();
    shuffled.forEach(
        endpoint ->
            byDataCentre
                .computeIfAbsent(endpoint.endpoint().dataCentre(), key -> new ArrayDeque<>())
                .add(endpoint));
    ImmutableList.Builder<TrackedEndpoint> ordered = ImmutableList.builder();
    for (int taken = 0; taken < shuffled.size(); ) {
      for (Deque<TrackedEndpoint> remaining : byDataCentre.values()) {
        if (!remaining.isEmpty()) {
          ordered.add(remaining.remove());
          taken++;
        }
      }
    }
    return ordered.build();
  }

  private void end(ImmutableSet<TrackedEndpoint> failed, Sample sample) {
    checking = false;
    failures.clear();
    if (sample.reached > 0) {
      reachedAt = now();
      counters.count(Metric.REACHABILITY_CHECKS, "reachable");
    } else {
      counters.count(Metric.REACHABILITY_CHECKS, "isolated");
      silent = sample.isMostlySilent();
      becomeIsolated(failed, sample.endpoints);
    }
    ImmutableList<Runnable> decided = ImmutableList.copyOf(undecided);
    undecided.clear();
    decided.forEach(this::whenChecked);
  }

  private void becomeIsolated(
      ImmutableSet<TrackedEndpoint> failed, ImmutableList<TrackedEndpoint> unreached) {
    isolated = true;
    isolatedSince = now();
    successfulChecks = 0;
    EventLog.warn(
        Event.NODE_ISOLATED, "failed", failed.asList(), "unreached", unreached, "of", fleet.size());
    scheduleRecoveryCheck();
    ImmutableList.copyOf(listeners).forEach(listener -> listener.accept(true));
  }

  private void scheduleRecoveryCheck() {
    clock.schedule(this::checkRecovery, RECOVERY_CHECK_INTERVAL.toNanos(), NANOSECONDS);
  }

  private void checkRecovery() {
    ImmutableList<TrackedEndpoint> endpoints =
        first(candidates(ImmutableSet.of()), RECOVERY_SAMPLE_SIZE);
    int majority = endpoints.size() / 2 + 1;
    new Sample(
            endpoints,
            majority,
            RECOVERY_CONNECT_TIMEOUT,
            sample -> {
              silent = sample.isMostlySilent();
              decideRecovery(sample.reached >= majority);
            })
        .start();
  }

  private static ImmutableList<TrackedEndpoint> first(
      ImmutableList<TrackedEndpoint> endpoints, int size) {
    return endpoints.subList(0, Math.min(endpoints.size(), size));
  }

  private void decideRecovery(boolean reached) {
    successfulChecks = reached ? successfulChecks + 1 : 0;
    if (successfulChecks < CHECKS_TO_RECOVER) {
      scheduleRecoveryCheck();
      return;
    }
    isolated = false;
    reachedAt = now();
    EventLog.warn(
        Event.NODE_REACHES_ENDPOINTS, "afterMs", NANOSECONDS.toMillis(now() - isolatedSince));
    ImmutableList.copyOf(listeners).forEach(listener -> listener.accept(false));
  }

  /** Connections that are opened to some endpoints, to most of them only if the first ones fail. */
  private final class Sample {
    private final ImmutableList<TrackedEndpoint> endpoints;
    private final int enough;
    private final Duration timeout;
    private final Consumer<Sample> onCompleted;
    private int opened;
    private int ended;
    private int reached;
    private boolean completed;

    /**
     * Creates a sample.
     *
     * @param enough the number of reached endpoints that completes the sample early
     * @param onCompleted called once, when the result is known
     */
    Sample(
        ImmutableList<TrackedEndpoint> endpoints,
        int enough,
        Duration timeout,
        Consumer<Sample> onCompleted) {
      this.endpoints = endpoints;
      this.enough = enough;
      this.timeout = timeout;
      this.onCompleted = onCompleted;
    }

    /** Returns whether most connections were neither established nor refused. */
    boolean isMostlySilent() {
      return 2 * (endpoints.size() - ended) > endpoints.size();
    }

    void start() {
      completeAfter(timeout, 0);
      // One to spare, as a single one may be down.
      open(enough + 1);
      clock.schedule(this::openRest, SECOND_STAGE_DELAY.toNanos(), NANOSECONDS);
    }

    private void openRest() {
      if (!completed) {
        open(endpoints.size());
      }
    }

    private void open(int upTo) {
      // They time out later, so that the timer below shows whether this node was late.
      Duration connectTimeout = timeout.multipliedBy(2);
      while (opened < Math.min(upTo, endpoints.size())) {
        TrackedEndpoint endpoint = endpoints.get(opened++);
        Async.onDone(
            probe.connect(endpoint.address(), connectTimeout),
            clock,
            (connected, failure) -> connectionEnded(failure == null));
      }
    }

    private void connectionEnded(boolean established) {
      ended++;
      reached += established ? 1 : 0;
      if (reached >= enough || ended == endpoints.size()) {
        complete();
      } else if (ended == opened) {
        openRest();
      }
    }

    private void completeAfter(Duration wait, int discounted) {
      long dueAt = now() + wait.toNanos();
      clock.schedule(
          () -> {
            Duration late = Duration.ofNanos(Math.max(0, now() - dueAt));
            if (EventLoopDelay.explainsSilence(late, discounted)) {
              completeAfter(EventLoopDelay.SOCKET_READ_GRACE, discounted + 1);
            } else {
              complete();
            }
          },
          wait.toNanos(),
          NANOSECONDS);
    }

    private void complete() {
      if (!completed) {
        completed = true;
        onCompleted.accept(this);
      }
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
