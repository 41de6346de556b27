package org.vaneworks.coordination.endpoints;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.vaneworks.state.Endpoint;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * The state of one endpoint as this node knows it: health, load, step times and cached prefixes.
 *
 * <p>Thread-safe. Its lock is held for a few field accesses only, and while it is held no other
 * lock of this package is taken except that of {@link StepTimesByKind}.
 */
public final class EndpointState {
  private static final Duration MIN_EJECTION = Duration.ofMillis(500);
  private static final Duration MAX_EJECTION = Duration.ofSeconds(20);
  private static final int MAX_DOUBLINGS = 6;
  private static final double LINK_DECAY = 0.9;
  private static final double DEADLINE_FACTOR = 4;
  private static final double DEADLINE_DEVIATIONS = 8;
  private static final int MAX_PREFIX_HINTS = 512;

  private final Endpoint endpoint;
  private final Executor clock;
  private final StepTimesByKind timesByKind;
  private final EndpointLimits limits;
  private final IntSupplier nodes;

  @GuardedBy("this")
  private final StepTimeModel steps = new StepTimeModel();

  @GuardedBy("this")
  private final StepTimeModel prompts = new StepTimeModel();

  @GuardedBy("this")
  private final PrefixHints prefixes = new PrefixHints();

  @GuardedBy("this")
  private double linkMillis;

  @GuardedBy("this")
  private boolean linkMeasured;

  @GuardedBy("this")
  private int inFlight;

  @GuardedBy("this")
  private int reportedRunning;

  @GuardedBy("this")
  private long reportSequence = -1;

  @GuardedBy("this")
  private int changeSinceReport;

  @GuardedBy("this")
  private boolean leaving;

  @GuardedBy("this")
  private int failures;

  @GuardedBy("this")
  private boolean ejected;

  /** Whether the endpoint was ejected only because of a single failed status call. */
  @GuardedBy("this")
  private boolean ejectedByStatusOnly;

  @GuardedBy("this")
  private boolean answeredSinceEjection;

  @GuardedBy("this")
  private long ejectedUntil;

  @GuardedBy("this")
  private long lastProgress;

  @GuardedBy("this")
  private long streamsStarted;

  EndpointState(
      Endpoint endpoint,
      Executor clock,
      StepTimesByKind timesByKind,
      EndpointLimits limits,
      IntSupplier nodes) {
    this.endpoint = endpoint;
    this.clock = clock;
    this.timesByKind = timesByKind;
    this.limits = limits;
    this.nodes = nodes;
    this.lastProgress = clock.currentTime(NANOSECONDS) - 1;
  }

  /** Returns the endpoint's own description. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Returns whether new work may be sent to the endpoint now. */
  public synchronized boolean isUsable() {
    if (leaving) {
      return false;
    }
    return !ejected || isHalfOpen();
  }

  @GuardedBy("this")
  private boolean isHalfOpen() {
    return isEjectionElapsed() && answeredSinceEjection && inFlight == 0;
  }

  @GuardedBy("this")
  private boolean isEjectionElapsed() {
    return clock.currentTime(NANOSECONDS) - ejectedUntil >= 0;
  }

  /**
   * Returns whether the endpoint may get work when no usable endpoint is left.
   *
   * <p>This is so after a single failed status call, which is weak evidence: the endpoint or this
   * node may have been busy. Refusing all requests for it would do more harm.
   */
  public synchronized boolean isLastResort() {
    return !leaving && ejectedByStatusOnly;
  }

  /** Returns whether the endpoint is leaving and accepts no new work. */
  public synchronized boolean isLeaving() {
    return leaving;
  }

  /** Marks the endpoint as leaving and returns whether it was not marked before. */
  synchronized boolean markLeaving() {
    boolean changed = !leaving;
    leaving = true;
    return changed;
  }

  /** Records the start of a stream on the endpoint. */
  public synchronized void streamStarted() {
    inFlight++;
    changeSinceReport++;
    streamsStarted++;
  }

  /** Records the end of a stream on the endpoint. */
  public synchronized void streamEnded() {
    inFlight--;
    changeSinceReport--;
  }

  /** Returns the number of this node's streams on the endpoint. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns the total number of streams that this node has started on the endpoint. */
  public synchronized long streamsStarted() {
    return streamsStarted;
  }

  /**
   * Returns the estimated number of sessions on the endpoint now.
   *
   * <p>The endpoint's report lags, so this node's own starts and ends since the report are added.
   * The other nodes, which read the same report and are behind the same balancer, are assumed to
   * have made the same change each.
   */
  public synchronized double estimatedRunning() {
    return Math.max(inFlight, reportedRunning + (double) changeSinceReport * nodes.getAsInt());
  }

  /**
   * Returns the expected step time in milliseconds, including the link, with that many sessions
   * running.
   */
  public synchronized double predictedStepMillis(double running) {
    double learned = steps.isTrusted() ? steps.predict(running) : 0;
    return linkMillis + (learned > 0 ? learned : timesByKind.predictStep(endpoint, running));
  }

  /**
   * Returns the margin above the predicted step time, in milliseconds, that 95% of step times do
   * not exceed.
   */
  public synchronized double stepTailMillis() {
    return steps.tail();
  }

  /**
   * Returns the expected time in milliseconds, including the link, to process a prompt of that many
   * positions.
   */
  public synchronized double predictedPromptMillis(double positions) {
    double learned = prompts.isTrusted() ? prompts.predict(positions) : 0;
    return linkMillis + (learned > 0 ? learned : timesByKind.predictPrompt(endpoint, positions));
  }

  /** Returns whether enough step times of this endpoint were observed to rely on predictions. */
  public synchronized boolean hasLearnedStepTimes() {
    return steps.isTrusted();
  }

  /** Returns the smoothed round trip in milliseconds, without the engine's work. */
  public synchronized double linkMillis() {
    return linkMillis;
  }

  /**
   * Returns the share of a prompt, 0 to 1, whose prefix is expected to be cached on the endpoint.
   *
   * @param hashes hashes of the prompt's growing prefixes, shortest first
   */
  public synchronized double cachedShare(ImmutableList<Long> hashes) {
    return prefixes.cachedShare(hashes);
  }

  /** Records that the prompt's prefixes are now cached on the endpoint. */
  public synchronized void recordCachedPrompt(ImmutableList<Long> hashes) {
    prefixes.add(hashes);
  }

  /** Records a successful call, which ends an ejection. */
  public synchronized void recordSuccess() {
    failures = 0;
    ejectedByStatusOnly = false;
    if (ejected) {
      ejected = false;
      EventLog.info(Event.ENDPOINT_PROBED, "endpoint", endpoint.id());
    }
  }

  /** Records a successful step and the time from sending the call to receiving its answer. */
  public synchronized void recordStep(StepCall call, Duration duration) {
    lastProgress = clock.currentTime(NANOSECONDS);
    recordSuccess();
    double millis = Math.max(0, duration.toNanos() / 1e6 - linkMillis);
    if (call.step() == 0 || call.rebuilds()) {
      int positions = call.positions() + call.historyPositions();
      prompts.observe(positions, millis);
      timesByKind.observePrompt(endpoint, positions, millis);
      return;
    }
    double running = estimatedRunning();
    steps.observe(running, millis);
    timesByKind.observeStep(endpoint, running, millis);
  }

  /** Returns the clock time, in nanoseconds, at which the endpoint last answered a step. */
  public synchronized long lastProgress() {
    return lastProgress;
  }

  /** Returns the timeout of a call. */
  public Duration stepTimeout() {
    return limits.stepTimeout();
  }

  /** Returns the time after which the progress of a call should be checked. */
  public synchronized Duration progressDeadline(StepCall call) {
    boolean isPrompt = call.step() == 0 || call.rebuilds();
    StepTimeModel model = isPrompt ? prompts : steps;
    if (!model.isTrusted()) {
      return limits.stepTimeout();
    }
    double expected =
        isPrompt
            ? predictedPromptMillis(call.positions() + call.historyPositions())
            : predictedStepMillis(inFlight);
    double deadline = DEADLINE_FACTOR * expected + DEADLINE_DEVIATIONS * model.deviation();
    long min = limits.minProgressDeadline().toMillis();
    long max = limits.stepTimeout().toMillis();
    return Duration.ofMillis(Math.min(max, Math.max(min, (long) deadline)));
  }

  /** Records a status report and the round trip time of the status call. */
  public synchronized void recordStatus(EndpointStatus status, Duration roundTrip) {
    double millis = roundTrip.toNanos() / 1e6;
    linkMillis = linkMeasured ? smoothedLink(millis) : millis;
    linkMeasured = true;
    if (status.reportSequence() != reportSequence) {
      reportSequence = status.reportSequence();
      reportedRunning = status.running();
      changeSinceReport = 0;
    }
    if (ejected) {
      answeredSinceEjection = true;
    }
  }

  /**
   * Returns the new link estimate, which falls at once and rises slowly: a status call that waited
   * behind other calls says little about the link.
   */
  @GuardedBy("this")
  private double smoothedLink(double millis) {
    return millis < linkMillis ? millis : LINK_DECAY * linkMillis + (1 - LINK_DECAY) * millis;
  }

  /**
   * Records a failed status call and ejects the endpoint; returns whether it was not ejected
   * before.
   *
   * <p>Failed status calls don't increase the duration of ejections: once the endpoint answers its
   * status again, it is no longer unreachable.
   *
   * @see #isLastResort()
   */
  synchronized boolean ejectAfterStatusFailure() {
    boolean newlyEjected = !ejected;
    ejectedByStatusOnly = newlyEjected;
    ejectFor(MIN_EJECTION);
    return newlyEjected;
  }

  /**
   * Ejects the endpoint for a while after a failed call; returns whether it was not ejected before.
   *
   * <p>Calls that fail during an ejection were sent before it, often over the same connection, and
   * so count as one failure with the call that caused it.
   */
  synchronized boolean eject() {
    boolean newlyEjected = !ejected;
    ejectedByStatusOnly = false;
    if (newlyEjected || isEjectionElapsed()) {
      failures++;
    }
    long pause = MIN_EJECTION.toMillis() << Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS);
    ejectFor(Duration.ofMillis(Math.min(pause, MAX_EJECTION.toMillis())));
    return newlyEjected;
  }

  @GuardedBy("this")
  private void ejectFor(Duration pause) {
    long until = clock.currentTime(NANOSECONDS) + pause.toNanos();
    if (!ejected || until - ejectedUntil > 0) {
      ejectedUntil = until;
    }
    ejected = true;
    answeredSinceEjection = false;
  }

  /** A bounded set of the prefixes that were most recently processed on the endpoint. */
  private static final class PrefixHints {
    private final Map<Long, Boolean> recentHashes =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_PREFIX_HINTS;
          }
        };

    void add(Iterable<Long> hashes) {
      hashes.forEach(hash -> recentHashes.put(hash, true));
    }

    double cachedShare(List<Long> hashes) {
      int hits = 0;
      while (hits < hashes.size() && recentHashes.containsKey(hashes.get(hits))) {
        hits++;
      }
      return hashes.isEmpty() ? 0 : (double) hits / hashes.size();
    }
  }
}
