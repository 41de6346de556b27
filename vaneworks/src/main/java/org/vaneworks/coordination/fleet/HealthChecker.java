package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.concurrent.EventLoopDelay;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Probes engines when requests through them stall, and probes suspected engines again until they
 * answer or are removed. An engine that is no longer listed is probed as long as requests of this
 * node run on it, because engines serve on for a while after their entry was removed.
 *
 * <p>Nothing is sent while requests make progress. If the timer of a probe fires late, the probe is
 * repeated and its timeout disregarded, because the answer may already have arrived but not been
 * read. Confined to the node's event loop.
 */
public final class HealthChecker {
  /**
   * Minimum probe timeout. Engines in the same region answer within a few milliseconds; this is six
   * times their usual maximum.
   */
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(100);

  /**
   * Consecutive unanswered probes after which an engine is suspected. A single one proves nothing:
   * a node that has just started opens a dozen connections at once, so its own delay may look like
   * the engine's, and an idle connection may have been closed. After a refused connection no second
   * probe is needed.
   */
  private static final int UNANSWERED_PROBES_TO_SUSPECT = 2;

  /**
   * The probe timeout is at least this multiple of the slowest answer within {@link
   * #SLOWEST_ANSWER_VALIDITY}. While this node itself is delayed, all answers appear late, and
   * those that arrive show by how much.
   */
  private static final int TIMEOUT_MULTIPLE = 3;

  private static final Duration SLOWEST_ANSWER_VALIDITY = Duration.ofSeconds(1);
  private static final Duration MAX_TIMEOUT = Duration.ofMillis(400);

  /** An answer this recent is used for all requests that ask about the same engine. */
  private static final Duration ANSWER_VALIDITY = Duration.ofMillis(200);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

  /** Interval between pace probes of an engine that is slow or may be slow. */
  private static final Duration PACE_PROBE_INTERVAL = Duration.ofSeconds(1);

  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final Map<TrackedEndpoint, Long> probedAt = new HashMap<>();

  /** Engines with a probe in progress. Further checks of such an engine share its result. */
  private final Set<TrackedEndpoint> probing = new HashSet<>();

  private Duration slowestAnswer = Duration.ZERO;
  private long slowestAnswerAt = Long.MIN_VALUE / 2;

  private HealthChecker(Executor clock, Fleet fleet, EngineControl control) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    fleet.onSuspicion(engine -> scheduleRetry(engine, INITIAL_RETRY_DELAY));
    fleet.onRemoval(probedAt::remove);
  }

  /** Creates a health checker for the engines of a fleet. */
  public static HealthChecker create(Executor clock, Fleet fleet, EngineControl control) {
    return new HealthChecker(clock, fleet, control);
  }

  /**
   * Probes an engine, unless it was probed very recently, and suspects it if it does not answer.
   */
  public void check(TrackedEndpoint engine) {
    check(engine, CallPurpose.HEALTH_CHECK);
  }

  private void check(TrackedEndpoint engine, CallPurpose purpose) {
    long now = now();
    Long last = probedAt.get(engine);
    boolean probedRecently = last != null && now - last < ANSWER_VALIDITY.toNanos();
    if (!probedRecently) {
      probeUnlessInProgress(engine, purpose);
    }
  }

  /**
   * Probes an engine whose connection broke. Earlier answers are ignored, as they precede the
   * failure.
   */
  public void checkAfterDisconnect(TrackedEndpoint engine) {
    probeUnlessInProgress(engine, CallPurpose.HEALTH_CHECK);
  }

  private void probeUnlessInProgress(TrackedEndpoint engine, CallPurpose purpose) {
    if (probing.contains(engine) || engine.suspected() || isUnused(engine)) {
      return;
    }
    if (engine.delisted() && purpose == CallPurpose.PACE) {
      return;
    }
    if (!fleet.signals().admits(engine, purpose)) {
      return;
    }
    probe(new Probe(engine, purpose, 1, 0));
  }

  /**
   * A probe of an engine.
   *
   * @param counted number of this probe, starting at 1 and increasing with each counted timeout
   * @param uncounted number of preceding probes whose timeouts are disregarded because this node
   *     was delayed
   */
  private record Probe(TrackedEndpoint engine, CallPurpose purpose, int counted, int uncounted) {
    Probe next() {
      return new Probe(engine, purpose, counted + 1, uncounted);
    }

    Probe nextUncounted() {
      return new Probe(engine, purpose, counted, uncounted + 1);
    }

    int number() {
      return counted + uncounted;
    }
  }

  private void probe(Probe probe) {
    TrackedEndpoint engine = probe.engine();
    long startedAt = now();
    Duration timeout = timeout();
    probedAt.put(engine, startedAt);
    probing.add(engine);
    // Sent even if the rate limit is exhausted, because requests may depend on the answer; it still
    // counts against the limit.
    fleet.signals().recordCall(engine, probe.purpose());
    fleet.signals().recordProbe();
    Async.onDone(
        control.report(engine.endpoint(), timeout),
        clock,
        (report, failure) -> {
          probing.remove(engine);
          Duration elapsed = Duration.ofNanos(now() - startedAt);
          if (failure == null) {
            recordAnswerTime(elapsed);
            processReport(engine, report, startedAt);
          } else if (!isUnused(engine)) {
            handleFailure(probe, elapsed, timeout, failure);
          }
        });
  }

  private void processReport(TrackedEndpoint engine, EngineReport report, long probedAt) {
    if (isFromSuccessor(engine, report)) {
      fleet.suspect(engine, "a later incarnation answers at its address");
    } else if (fleet.reconcileIncarnation(engine, report.incarnation())) {
      if (!engine.refusedConnectionSince(probedAt)) {
        engine.clearConnectionRefused();
      }
      processPace(engine, report);
      processStalls(engine, report);
    }
  }

  private void handleFailure(Probe probe, Duration elapsed, Duration timeout, Throwable failure) {
    TrackedEndpoint engine = probe.engine();
    boolean timedOut = failure instanceof TimeoutException;
    recordRefusal(engine, failure);
    if (failure instanceof BackoffRequestedException) {
      return;
    }
    boolean refused = failure instanceof ConnectionRefusedException;
    if (timedOut && EventLoopDelay.explainsSilence(elapsed.minus(timeout), probe.uncounted())) {
      fleet.signals().recordDisregardedTimeout();
      probe(probe.nextUncounted());
    } else if (!refused && probe.counted() < UNANSWERED_PROBES_TO_SUSPECT) {
      probe(probe.next());
    } else {
      String probes = "sent " + probe.number() + " probes, the last " + elapsed.toMillis();
      fleet.suspect(engine, "no answer to health checks: " + probes + " ms ago: " + failure);
    }
  }

  /** Returns whether an engine has left the list and no request of this node depends on it. */
  private static boolean isUnused(TrackedEndpoint engine) {
    return engine.hasEnded() || (engine.delisted() && engine.inFlight() == 0);
  }

  /** Returns whether a report shows that an unlisted engine was replaced at its address. */
  private static boolean isFromSuccessor(TrackedEndpoint engine, EngineReport report) {
    return engine.delisted()
        && !engine.hasEnded()
        && report.incarnation().isAfter(engine.endpoint().incarnation());
  }

  private void recordRefusal(TrackedEndpoint engine, Throwable failure) {
    // An unlisted engine may have ended as planned, for which no request is to blame.
    if (failure instanceof ConnectionRefusedException && !engine.delisted()) {
      fleet.recordConnectionRefused(engine);
    }
  }

  private void recordAnswerTime(Duration elapsed) {
    if (slowestAnswerExpired() || elapsed.compareTo(slowestAnswer) >= 0) {
      slowestAnswer = elapsed;
      slowestAnswerAt = now();
    }
  }

  private boolean slowestAnswerExpired() {
    return now() - slowestAnswerAt > SLOWEST_ANSWER_VALIDITY.toNanos();
  }

  private Duration timeout() {
    Duration scaled =
        slowestAnswerExpired() ? Duration.ZERO : slowestAnswer.multipliedBy(TIMEOUT_MULTIPLE);
    Duration timeout = scaled.compareTo(MIN_TIMEOUT) > 0 ? scaled : MIN_TIMEOUT;
    return timeout.compareTo(MAX_TIMEOUT) > 0 ? MAX_TIMEOUT : timeout;
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }

  /**
   * Probes an engine for its pace, unless it was probed within the last second or its rate limit or
   * backoff permits no request of this node now.
   */
  public void checkPace(TrackedEndpoint engine) {
    Long last = probedAt.get(engine);
    boolean probedRecently = last != null && now() - last < PACE_PROBE_INTERVAL.toNanos();
    if (!probedRecently && acceptsRequests(engine)) {
      check(engine, CallPurpose.PACE);
    }
  }

  private boolean acceptsRequests(TrackedEndpoint engine) {
    return now() >= engine.nextRequestAt();
  }

  private void schedulePaceCheck(TrackedEndpoint engine) {
    clock.schedule(() -> checkPaceAgain(engine), PACE_PROBE_INTERVAL.toNanos(), NANOSECONDS);
  }

  private void checkPaceAgain(TrackedEndpoint engine) {
    if (acceptsRequests(engine)) {
      checkPace(engine);
    } else if (!engine.delisted()) {
      schedulePaceCheck(engine);
    }
  }

  private void processPace(TrackedEndpoint engine, EngineReport report) {
    boolean wasSlow = engine.reportsSlow();
    engine.setPace(report.pace());
    boolean slow = engine.reportsSlow();
    if (slow != wasSlow) {
      EventLog.info(Event.ENDPOINT_PACE, "endpoint", engine.endpoint().id(), "pace", report.pace());
    }
    if (slow) {
      schedulePaceCheck(engine);
    }
  }

  private void processStalls(TrackedEndpoint engine, EngineReport report) {
    report.stalledOn().values().stream()
        .distinct()
        .filter(address -> !address.equals(engine.address()))
        .forEach(
            address ->
                fleet
                    .find(engine.endpoint().service(), address)
                    .ifPresent(
                        blockingEngine ->
                            fleet.suspect(
                                blockingEngine,
                                "requests at " + engine.address() + " are stalled on it")));
  }

  private void scheduleRetry(TrackedEndpoint engine, Duration delay) {
    clock.schedule(() -> retry(engine, delay), delay.toNanos(), NANOSECONDS);
  }

  private void retry(TrackedEndpoint engine, Duration previousDelay) {
    if (!engine.suspected() || isUnused(engine)) {
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.HEALTH_CHECK)) {
      scheduleRetry(engine, previousDelay);
      return;
    }
    fleet.signals().recordCall(engine, CallPurpose.HEALTH_CHECK);
    fleet.signals().recordProbe();
    Async.onDone(
        control.report(engine.endpoint(), timeout()),
        clock,
        (report, failure) -> {
          if (failure == null) {
            if (!isFromSuccessor(engine, report)
                && fleet.reconcileIncarnation(engine, report.incarnation())) {
              fleet.clearSuspicion(engine);
            }
            return;
          }
          if (failure instanceof BackoffRequestedException) {
            fleet.clearSuspicion(engine);
            return;
          }
          recordRefusal(engine, failure);
          EventLog.debug(
              Event.ENDPOINT_STILL_SILENT, "endpoint", engine.endpoint().id(), "cause", failure);
          Duration next = previousDelay.multipliedBy(2);
          scheduleRetry(engine, next.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : next);
        });
  }
}
