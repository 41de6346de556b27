package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.concurrent.EventLoopDelay;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.PathPart;
import org.vaneworks.telemetry.Metric;

/**
 * Monitors the progress of a request and probes its engines when it stalls.
 *
 * <p>Only engines through which no request made progress are probed, so a single slow stream causes
 * no probes. A check that runs late does not prove a stall, as events may be unread in the socket:
 * it is repeated once they have been read. A response that is not read because its caller is slow
 * is not stalled. Confined to the node's event loop.
 */
final class ProgressMonitor {
  /** Time without an event after which a request is stalled. */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(250);

  /** Minimum time without an event after which engines are probed; a token takes 10 to 30 ms. */
  private static final Duration MIN_PROBE_TIMEOUT = Duration.ofMillis(40);

  /**
   * Time without an event after which engines are probed, as a fraction of the objective for
   * pauses. The rest is left for the probe, for another path and for its engines to read the tokens
   * so far, so that the response stays in time if an engine has ended.
   */
  private static final double PROBE_FRACTION = 0.4;

  /** The same time as a multiple of the usual pause, so that slow engines are not probed. */
  private static final double USUAL_PAUSES_PER_PROBE = 3;

  /** Weight of a new sample in the moving average of the pauses. */
  private static final double PAUSE_SMOOTHING = 0.2;

  /** Stall timeout before the first event, which requires the prompt to be processed. */
  private static final Duration FIRST_EVENT_STALL_TIMEOUT = Duration.ofMillis(350);

  /** An engine through which a request progressed fast within this time is not slow. */
  private static final Duration RECENT_PROGRESS = Duration.ofMillis(300);

  private final ForwardContext context;
  private final EndpointSelector selector;
  private final long longPauseNanos;
  private final double minProbeNanos;
  private final Runnable onStall;
  private Cancellable timer = () -> {};
  private boolean paused;
  private boolean awaitsHead;
  private boolean previousPauseShort;
  private long lastProgress;
  private double usualPauseNanos;
  private long checkDueAt;

  /** Consecutive checks that ran too late to prove a stall. */
  private int ignoredStalls;

  /**
   * Creates a monitor that is inactive until {@link #attemptStarted}.
   *
   * @param pauseObjective the objective for the longest pause between events
   * @param onStall called at each check while the request is stalled, before engines are probed
   */
  ProgressMonitor(
      ForwardContext context,
      EndpointSelector selector,
      Duration pauseObjective,
      Runnable onStall) {
    this.onStall = onStall;
    this.context = context;
    this.selector = selector;
    // Two thirds of the objective: longer pauses come close to missing it.
    this.longPauseNanos = pauseObjective.toNanos() * 2 / 3;
    this.minProbeNanos =
        Math.max(MIN_PROBE_TIMEOUT.toNanos(), pauseObjective.toNanos() * PROBE_FRACTION);
  }

  /** Returns when the request last made progress; now, if its response is not being read. */
  long lastProgress() {
    return paused ? now() : lastProgress;
  }

  /**
   * Returns whether the request made progress recently, which shows that its engines were alive, or
   * could not, as its response is not being read.
   */
  boolean hasRecentProgress() {
    return paused || now() - lastProgress < STALL_TIMEOUT.toNanos();
  }

  /** Returns whether the request made no progress for so long that it may leave its engines. */
  boolean isStalled() {
    Duration timeout = awaitsHead ? FIRST_EVENT_STALL_TIMEOUT : STALL_TIMEOUT;
    return !paused && now() - lastProgress >= timeout.toNanos();
  }

  /** Returns whether the request made no progress for so long that its engines are probed. */
  private boolean isSilent() {
    return !paused && now() - lastProgress >= probeTimeout().toNanos();
  }

  /** Records that the response is not read until {@link #resumed}. */
  void paused() {
    paused = true;
  }

  /** Records that the response is read again; the stall timeout starts again. */
  void resumed() {
    if (paused) {
      paused = false;
      lastProgress = now();
    }
  }

  /**
   * Starts monitoring an attempt.
   *
   * @param resumes whether the attempt resumes a response, whose caller has been waiting since the
   *     last event
   */
  void attemptStarted(boolean resumes) {
    awaitsHead = true;
    resumed();
    if (!resumes) {
      lastProgress = now();
    }
    scheduleCheck();
  }

  /**
   * Monitors a previous attempt again.
   *
   * @param headReceived whether the head was received, so that only events are awaited
   */
  void previousResumed(boolean headReceived) {
    awaitsHead = !headReceived;
    resumed();
    scheduleCheck();
  }

  void headReceived() {
    awaitsHead = false;
    previousPauseShort = false;
    lastProgress = now();
  }

  /** Restarts the stall timeout after a change that the engines need time for. */
  void reset() {
    lastProgress = now();
  }

  /** Records that a part of the response arrived. */
  void partReceived() {
    long now = now();
    // The head and the first event arrive together, and so do delayed events. A single short pause
    // therefore does not prove that an engine is fast.
    boolean shortPause = now - lastProgress < longPauseNanos;
    boolean fast = shortPause && previousPauseShort;
    previousPauseShort = shortPause;
    usualPauseNanos += PAUSE_SMOOTHING * (now - lastProgress - usualPauseNanos);
    lastProgress = now;
    if (selector.path().isEmpty()) {
      return;
    }
    for (PathPart part : selector.path().get().parts()) {
      boolean recentlyFast = now - part.engine().lastFastProgress() < RECENT_PROGRESS.toNanos();
      if (!shortPause && !recentlyFast) {
        context.health().checkPace(part.engine());
      }
      part.engine().recordProgress(now, fast);
    }
  }

  void stop() {
    timer.cancel();
  }

  private void scheduleCheck() {
    timer.cancel();
    if (!selector.isSelected()) {
      return;
    }
    long wait = probeTimeout().toNanos() - (now() - lastProgress);
    long minWait = eventProbeTimeout().toNanos() / 4;
    checkAfter(Math.max(wait, minWait));
  }

  private void checkAfter(long nanos) {
    checkDueAt = now() + nanos;
    timer = context.clock().schedule(this::check, nanos, NANOSECONDS);
  }

  private Duration probeTimeout() {
    return awaitsHead ? FIRST_EVENT_STALL_TIMEOUT : eventProbeTimeout();
  }

  private Duration eventProbeTimeout() {
    double nanos = Math.max(minProbeNanos, USUAL_PAUSES_PER_PROBE * usualPauseNanos);
    return Duration.ofNanos((long) Math.min(nanos, STALL_TIMEOUT.toNanos()));
  }

  private void check() {
    Duration delay = Duration.ofNanos(now() - checkDueAt);
    context.counters().record(Metric.LATE_CHECKS, delay);
    if (!selector.isSelected()) {
      return;
    }
    boolean silent = isSilent();
    if (silent && EventLoopDelay.explainsSilence(delay, ignoredStalls)) {
      ignoredStalls++;
      context.counters().count(Metric.UNCOUNTED_SILENCES, "look");
      checkAfter(EventLoopDelay.SOCKET_READ_GRACE.toNanos());
      return;
    }
    ignoredStalls = 0;
    if (silent) {
      Optional<EnginePath> path = selector.path();
      TrackedEndpoint target = selector.target();
      boolean stalled = isStalled();
      if (stalled) {
        onStall.run();
      }
      path.ifPresent(this::probeSilentEngines);
      if (stalled && path.isEmpty() && !target.isPeer()) {
        context.reachability().recordUnanswered(target);
      }
    }
    scheduleCheck();
  }

  private void probeSilentEngines(EnginePath path) {
    for (PathPart part : path.parts()) {
      if (now() - part.engine().lastProgress() >= eventProbeTimeout().toNanos()) {
        context.health().check(part.engine());
      }
    }
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
