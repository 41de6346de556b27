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
   * Time to establish a connection; a few milliseconds suffice within a region. A lost packet is
   * retransmitted later, but several endpoints are tried.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(120);

  /** The same while this node is isolated: a busy node must not stay isolated for its own delay. */
  private static final Duration RECOVERY_CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Endpoints tried first, and again as many others if none of those was reached. */
  private static final ImmutableList<Integer> SAMPLE_SIZES = ImmutableList.of(2, 3);

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
  private final Deque<Consumer<Boolean>> undecided = new ArrayDeque<>();

  /** The latest failure of each endpoint, in nanoseconds of the clock. */
  private final Map<TrackedEndpoint, Long> failures = new LinkedHashMap<>();

  private boolean checking;
  private boolean isolated;
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

  /** Returns whether it is being checked whether this node is isolated. */
  public boolean isChecking() {
    return checking;
  }

  /**
   * Runs an action with whether this node is isolated: now, or after the check in progress, which
   * takes a fraction of a second.
   */
  public void whenDecided(Consumer<Boolean> action) {
    if (checking) {
      undecided.add(action);
    } else {
      action.accept(isolated);
    }
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

  private void recordFailure(TrackedEndpoint endpoint) {
    long oldest = now() - FAILURE_WINDOW.toNanos();
    failures.values().removeIf(failedAt -> failedAt < oldest);
    failures.put(endpoint, now());
  }

  private boolean isReachedWithin(Duration age) {
    return now() - reachedAt < age.toNanos();
  }

  private void check() {
    if (checking || isolated) {
      return;
    }
    ImmutableSet<TrackedEndpoint> failed = ImmutableSet.copyOf(failures.keySet());
    ImmutableList<TrackedEndpoint> candidates = candidates(failed);
    if (candidates.isEmpty()) {
      return;
    }
    checking = true;
    new Check(failed, candidates).tryNextSample(0);
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

  /** Tries samples of the endpoints one after the other until one of them is reached. */
  private final class Check {
    private final ImmutableSet<TrackedEndpoint> failed;
    private final ImmutableList<TrackedEndpoint> candidates;
    private int tried;
    private int samples;

    Check(ImmutableSet<TrackedEndpoint> failed, ImmutableList<TrackedEndpoint> candidates) {
      this.failed = failed;
      this.candidates = candidates;
    }

    void tryNextSample(int discounted) {
      int size = SAMPLE_SIZES.get(samples);
      ImmutableList<TrackedEndpoint> sample =
          candidates.subList(tried, Math.min(candidates.size(), tried + size));
      new Sample(
              sample,
              1,
              CONNECT_TIMEOUT,
              (reached, late) -> decide(sample, reached, late, discounted))
          .start();
    }

    private void decide(
        ImmutableList<TrackedEndpoint> sample, int reached, Duration late, int discounted) {
      if (reached > 0) {
        end(false);
      } else if (EventLoopDelay.explainsSilence(late, discounted)) {
        tryNextSample(discounted + 1);
      } else {
        tried += sample.size();
        samples++;
        if (tried < candidates.size() && samples < SAMPLE_SIZES.size()) {
          tryNextSample(0);
        } else {
          end(true);
        }
      }
    }

    private void end(boolean result) {
      checking = false;
      counters.count(Metric.REACHABILITY_CHECKS, result ? "isolated" : "reachable");
      failures.clear();
      if (result) {
        becomeIsolated(failed, candidates.subList(0, tried));
      } else {
        reachedAt = now();
      }
      while (!undecided.isEmpty() && !checking) {
        undecided.remove().accept(isolated);
      }
    }
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
    ImmutableList<TrackedEndpoint> candidates = candidates(ImmutableSet.of());
    ImmutableList<TrackedEndpoint> sample =
        candidates.subList(0, Math.min(candidates.size(), RECOVERY_SAMPLE_SIZE));
    int majority = sample.size() / 2 + 1;
    new Sample(
            sample,
            majority,
            RECOVERY_CONNECT_TIMEOUT,
            (reached, late) -> decideRecovery(reached >= majority))
        .start();
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

  /** Receives the outcome of a sample. */
  private interface SampleListener {
    /**
     * Called once.
     *
     * @param reached the number of endpoints that were reached
     * @param late by how much the timer was late that ended the sample; zero if none did
     */
    void completed(int reached, Duration late);
  }

  /** Connections that are opened to some endpoints at the same time. */
  private final class Sample {
    private final ImmutableList<TrackedEndpoint> endpoints;
    private final int enough;
    private final SampleListener listener;
    private final Duration timeout;
    private final long dueAt;
    private int pending;
    private int reached;
    private boolean completed;

    /**
     * Creates a sample.
     *
     * @param enough the number of reached endpoints that completes the sample early
     */
    Sample(
        ImmutableList<TrackedEndpoint> endpoints,
        int enough,
        Duration timeout,
        SampleListener listener) {
      this.endpoints = endpoints;
      this.enough = enough;
      this.timeout = timeout;
      dueAt = now() + timeout.toNanos();
      this.listener = listener;
      pending = endpoints.size();
    }

    void start() {
      clock.schedule(
          () -> complete(Duration.ofNanos(Math.max(0, now() - dueAt))),
          timeout.toNanos(),
          NANOSECONDS);
      // The connections time out later, so that the timer above shows whether this node was late.
      Duration connectTimeout = timeout.multipliedBy(2);
      for (TrackedEndpoint endpoint : endpoints) {
        Async.onDone(
            probe.connect(endpoint.address(), connectTimeout),
            clock,
            (connected, failure) -> connectionEnded(failure == null));
      }
    }

    private void connectionEnded(boolean established) {
      pending--;
      reached += established ? 1 : 0;
      if (reached >= enough || pending == 0) {
        complete(Duration.ZERO);
      }
    }

    private void complete(Duration late) {
      if (!completed) {
        completed = true;
        listener.completed(reached, late);
      }
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
