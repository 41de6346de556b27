package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.concurrent.EventLoopDelay;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Probes engines when requests through them stall, and probes suspected engines again until they
 * answer or are removed. An engine that is no longer listed is probed as long as requests of this
 * node run on it, because engines serve on for a while after their entry was removed.
 *
 * <p>An answer that arrives after the timeout of its probe clears the suspicion, and extends the
 * timeout of the next probes of its engine.
 *
 * <p>Engines are also probed after a close that may have been the end of their process.
 *
 * <p>Nothing is sent otherwise while requests make progress. If the timer of a probe fires late,
 * the probe is repeated and its timeout disregarded, because the answer may already have arrived
 * but not been read. Confined to the node's event loop.
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
   * probe is needed. A report of another engine that waits for this one counts as one unanswered
   * probe, because it may be out of date.
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

  /**
   * Time for which the answer to a probe is awaited. An answer that arrives after the probe's
   * timeout still shows that the engine is alive: a busy box may answer late for long.
   */
  private static final Duration LATE_ANSWER_LIMIT = Duration.ofSeconds(1);

  /** Time for which a late answer extends the timeout of probes of the same engine. */
  private static final Duration LATE_ANSWER_VALIDITY = Duration.ofSeconds(10);

  /** An answer this recent is used for all requests that ask about the same engine. */
  private static final Duration ANSWER_VALIDITY = Duration.ofMillis(200);

  /** Maximum time for which the end of a backoff is awaited before an engine is probed. */
  private static final Duration MAX_BACKOFF_WAIT = Duration.ofSeconds(1);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

  /** Interval between pace probes of an engine that is slow or may be slow. */
  private static final Duration PACE_PROBE_INTERVAL = Duration.ofSeconds(1);

  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final ReachabilityMonitor reachability;
  private final Map<TrackedEndpoint, Long> probedAt = new HashMap<>();

  /** Probes in progress. Further checks of such an engine share the result. */
  private final Map<TrackedEndpoint, ProbeSeries> probing = new HashMap<>();

  private final List<StallListener> stallListeners = new ArrayList<>();

  /** The latest answer of each engine that arrived after its timeout. */
  private final Map<TrackedEndpoint, LateAnswer> lateAnswers = new HashMap<>();

  private record LateAnswer(Duration elapsed, long at) {}

  private Duration slowestAnswer = Duration.ZERO;
  private long slowestAnswerAt = Long.MIN_VALUE / 2;

  private HealthChecker(
      Executor clock, Fleet fleet, EngineControl control, ReachabilityMonitor reachability) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    this.reachability = checkNotNull(reachability);
    reachability.onChange(this::isolationChanged);
    fleet.onSuspicion(engine -> scheduleRetry(engine, INITIAL_RETRY_DELAY));
    // A peer may be cut off from the engine, so its suspicion is only a reason to probe.
    fleet.onPeerSuspicion(this::check);
    fleet.onRemoval(probedAt::remove);
    fleet.onRemoval(lateAnswers::remove);
  }

  /** Receives the stalled requests that an engine reports. */
  @FunctionalInterface
  public interface StallListener {
    /**
     * Called when an engine reports stalled requests. The report may be out of date, and the
     * engines that the requests wait for may answer this node.
     *
     * @param reporter the first engine of the requests
     * @param blockingEngines the engine that each stalled request waits for, by request ID
     */
    void onStalls(TrackedEndpoint reporter, ImmutableMap<String, TrackedEndpoint> blockingEngines);
  }

  /** Registers a listener that is called when an engine reports stalled requests. */
  public void onStalls(StallListener listener) {
    stallListeners.add(listener);
  }

  /** Creates a health checker for the engines of a fleet. */
  public static HealthChecker create(
      Executor clock, Fleet fleet, EngineControl control, ReachabilityMonitor reachability) {
    return new HealthChecker(clock, fleet, control, reachability);
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

  /**
   * Checks, after an engine has closed a connection, whether its process has ended. Its box answers
   * for a process that has ended, by refusing connections; silence proves nothing, nor does a
   * refusal while this node is cut off. An engine whose backoff admits no call is probed after the
   * backoff; if that takes long, nothing is known.
   *
   * @param onChecked called, possibly before this method returns, with whether the process may have
   *     ended, as something shows that and nothing shows the opposite
   */
  public void checkEnded(TrackedEndpoint engine, Consumer<Boolean> onChecked) {
    new ProcessEndCheck(
            clock,
            fleet,
            reachability,
            engine,
            onProbed -> probeForEnd(engine, onProbed, now() + MAX_BACKOFF_WAIT.toNanos()),
            onChecked)
        .start();
  }

  /**
   * Probes an engine to see whether its box or a later process answers in its place.
   *
   * @param waitsUntil until when the end of a backoff is awaited, in nanoseconds of the clock
   */
  private void probeForEnd(TrackedEndpoint engine, Consumer<Boolean> onChecked, long waitsUntil) {
    if (engine.hasEnded()) {
      onChecked.accept(true);
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.HEALTH_CHECK)) {
      long backoffEndsAt = engine.backoff().endsAt();
      if (backoffEndsAt <= waitsUntil) {
        clock.schedule(
            () -> probeForEnd(engine, onChecked, waitsUntil), backoffEndsAt - now(), NANOSECONDS);
      } else {
        onChecked.accept(false);
      }
      return;
    }
    ProbeSeries inProgress = probing.get(engine);
    if (engine.suspected()) {
      CompletableFuture<Boolean> result = new CompletableFuture<>();
      var unused = result.thenAccept(onChecked);
      probeSuspected(engine, () -> result.complete(false), cause -> result.complete(isEnd(cause)));
    } else if (inProgress == null) {
      startSeries(
          engine,
          CallPurpose.HEALTH_CHECK,
          end -> {
            if (end == SeriesEnd.WITHOUT_OUTCOME) {
              probeForEnd(engine, onChecked, waitsUntil);
            } else {
              onChecked.accept(end == SeriesEnd.PROCESS_ENDED);
            }
          });
    } else {
      // The probe may have been answered before the connection was closed.
      inProgress.onEnd(
          end -> {
            if (end == SeriesEnd.PROCESS_ENDED) {
              onChecked.accept(true);
            } else {
              probeForEnd(engine, onChecked, waitsUntil);
            }
          });
    }
  }

  /** Returns whether the outcome of a probe shows that the process has ended. */
  private static boolean isEnd(Throwable failure) {
    return !(failure instanceof TimeoutException);
  }

  private void probeUnlessInProgress(TrackedEndpoint engine, CallPurpose purpose) {
    if (probing.containsKey(engine) || engine.suspected() || isUnused(engine)) {
      return;
    }
    if (engine.delisted() && purpose == CallPurpose.PACE) {
      return;
    }
    if (!fleet.signals().admits(engine, purpose)) {
      return;
    }
    startSeries(engine, purpose, end -> {});
  }

  private void startSeries(TrackedEndpoint engine, CallPurpose purpose, Consumer<SeriesEnd> onEnd) {
    ProbeSeries series = new ProbeSeries(engine, purpose);
    series.onEnd(onEnd);
    probing.put(engine, series);
    series.probe();
  }

  /** What the end of a series of probes shows about the engine's process. */
  private enum SeriesEnd {
    /** Its box, or a later process, answered in its place. */
    PROCESS_ENDED,
    /** It answered, or was silent, which its box is not for a process that has ended. */
    NO_SIGN_OF_END,
    /** The engine is suspected because of what others reported, before a probe had an outcome. */
    WITHOUT_OUTCOME
  }

  /** Consecutive probes of an engine, until one is answered or the engine is suspected. */
  private final class ProbeSeries implements ProbeListener {
    private final TrackedEndpoint engine;
    private final CallPurpose purpose;

    /** Probes that the engine did not answer in time. */
    private int unanswered;

    /** Probes whose timeouts are disregarded because this node was delayed. */
    private int disregarded;

    /** Another engine whose requests are stalled on this one, if any reported so. */
    private Optional<TrackedEndpoint> waitingEngine = Optional.empty();

    private final List<Consumer<SeriesEnd>> endListeners = new ArrayList<>();

    private boolean ended;

    ProbeSeries(TrackedEndpoint engine, CallPurpose purpose) {
      this.engine = engine;
      this.purpose = purpose;
    }

    /** Adds a listener that is called at the end. */
    void onEnd(Consumer<SeriesEnd> listener) {
      endListeners.add(listener);
    }

    void probe() {
      probedAt.put(engine, now());
      // Sent even if the rate limit is exhausted, because requests may depend on the answer; it
      // still counts against the limit.
      fleet.signals().recordCall(engine, purpose);
      fleet.signals().recordProbe();
      new ProbeCall(engine, this).start();
    }

    @Override
    public void answered(EngineReport report, long sentAt, boolean late) {
      boolean endedBefore = ended;
      endProbing();
      boolean current;
      if (late) {
        current = isFromEngine(engine, report);
        if (current) {
          clearSuspicion(engine);
        }
      } else {
        current = processReport(engine, report, sentAt);
      }
      if (!endedBefore) {
        notifyEnd(current ? SeriesEnd.NO_SIGN_OF_END : SeriesEnd.PROCESS_ENDED);
      }
    }

    @Override
    public void failed(Duration elapsed, Duration timeout, Throwable failure) {
      if (failure instanceof BackoffRequestedException) {
        end(false);
        clearSuspicion(engine);
        return;
      }
      if (ended) {
        return;
      }
      if (isUnused(engine)) {
        end(engine.hasEnded());
        return;
      }
      recordRefusal(engine, failure);
      boolean timedOut = failure instanceof TimeoutException;
      if (timedOut && EventLoopDelay.explainsSilence(elapsed.minus(timeout), disregarded)) {
        disregarded++;
        fleet.signals().recordDisregardedTimeout();
        probe();
        return;
      }
      unanswered++;
      boolean refused = failure instanceof ConnectionRefusedException;
      if (!refused) {
        reachability.recordUnanswered(engine);
      }
      if (!refused && !isUnresponsive()) {
        probe();
        return;
      }
      endProbing();
      String probes =
          "sent " + (unanswered + disregarded) + " probes, the last " + elapsed.toMillis();
      suspectWhenChecked(
          engine, "no answer to health checks: " + probes + " ms ago: " + failure + stalls());
      notifyEnd(isEnd(failure) ? SeriesEnd.PROCESS_ENDED : SeriesEnd.NO_SIGN_OF_END);
    }

    /** Records that requests at another engine are stalled on this one. */
    void stallReported(TrackedEndpoint reporter) {
      if (ended) {
        return;
      }
      waitingEngine = Optional.of(reporter);
      if (isUnresponsive()) {
        endProbing();
        suspectWhenChecked(engine, "no answer to " + unanswered + " health checks" + stalls());
        notifyEnd(SeriesEnd.WITHOUT_OUTCOME);
      }
    }

    private boolean isUnresponsive() {
      return unanswered + (waitingEngine.isPresent() ? 1 : 0) >= UNANSWERED_PROBES_TO_SUSPECT;
    }

    private String stalls() {
      return waitingEngine
          .map(waiting -> ", and requests at " + waiting.address() + " are stalled on it")
          .orElse("");
    }

    private void end(boolean processEnded) {
      if (!ended) {
        endProbing();
        notifyEnd(processEnded ? SeriesEnd.PROCESS_ENDED : SeriesEnd.NO_SIGN_OF_END);
      }
    }

    private void endProbing() {
      if (!ended) {
        ended = true;
        probing.remove(engine);
      }
    }

    private void notifyEnd(SeriesEnd end) {
      endListeners.forEach(listener -> listener.accept(end));
    }
  }

  /** Receives the outcome of one probe. */
  private interface ProbeListener {
    /**
     * Called at most once, when the engine has answered.
     *
     * @param sentAt when the probe was sent, in nanoseconds of the executor's clock
     * @param late whether the answer arrived after the timeout, for which {@link #failed} was
     *     called
     */
    void answered(EngineReport report, long sentAt, boolean late);

    /**
     * Called when the probe failed or its timeout has passed; a second time if the engine requests
     * a backoff after the timeout.
     */
    void failed(Duration elapsed, Duration timeout, Throwable failure);
  }

  /** A probe, whose answer is awaited beyond its timeout. */
  private final class ProbeCall {
    private final TrackedEndpoint engine;
    private final ProbeListener listener;
    private final long startedAt = now();
    private final boolean processWasDown;
    private final Duration usualTimeout = timeout();
    private final Duration timeout;
    private Cancellable timer = () -> {};
    private boolean timedOut;

    /** Whether this node was delayed when the timeout passed, so that the answer is not late. */
    private boolean nodeDelayed;

    ProbeCall(TrackedEndpoint engine, ProbeListener listener) {
      this.engine = engine;
      this.listener = listener;
      processWasDown = engine.processDown();
      timeout = timeout(engine);
    }

    void start() {
      timer = clock.schedule(this::onTimeout, timeout);
      Async.onDone(control.report(engine.endpoint(), LATE_ANSWER_LIMIT), clock, this::onCompletion);
    }

    private void onTimeout() {
      timedOut = true;
      nodeDelayed = EventLoopDelay.explainsSilence(elapsed().minus(timeout), 0);
      listener.failed(
          elapsed(), timeout, new TimeoutException("timeout after " + timeout.toMillis() + "ms"));
    }

    private void onCompletion(EngineReport report, Throwable failure) {
      timer.cancel();
      if (timedOut && engine.processDown() && !processWasDown) {
        // A connection was refused after this probe had been sent.
        return;
      }
      if (failure == null) {
        recordAnswerTime();
        listener.answered(report, startedAt, timedOut);
      } else if (!timedOut || failure instanceof BackoffRequestedException) {
        listener.failed(elapsed(), timeout, failure);
      }
    }

    private void recordAnswerTime() {
      if (elapsed().compareTo(usualTimeout) <= 0) {
        HealthChecker.this.recordAnswerTime(elapsed());
      } else if (!nodeDelayed) {
        recordLateAnswer(engine, elapsed());
      }
    }

    private Duration elapsed() {
      return Duration.ofNanos(now() - startedAt);
    }
  }

  /** Processes a report; returns whether it is from the process that the engine is known by. */
  private boolean processReport(TrackedEndpoint engine, EngineReport report, long sentAt) {
    if (isFromSuccessor(engine, report)) {
      fleet.suspect(engine, "a later incarnation answers at its address");
      return false;
    }
    if (!fleet.reconcileIncarnation(engine, report.incarnation())) {
      return false;
    }
    if (!engine.refusedConnectionSince(sentAt)) {
      engine.clearConnectionRefused();
    }
    processPace(engine, report);
    processStalls(engine, report);
    return true;
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

  private boolean isFromEngine(TrackedEndpoint engine, EngineReport report) {
    return !isFromSuccessor(engine, report)
        && fleet.reconcileIncarnation(engine, report.incarnation());
  }

  private void clearSuspicion(TrackedEndpoint engine) {
    if (engine.suspected()) {
      fleet.clearSuspicion(engine);
    }
  }

  private void recordRefusal(TrackedEndpoint engine, Throwable failure) {
    // An unlisted engine may have ended as planned, for which no request is to blame.
    if (failure instanceof ConnectionRefusedException && !engine.delisted()) {
      reachability.recordRefused(engine);
      reachability.unlessIsolated(() -> fleet.recordConnectionRefused(engine));
    }
  }

  /**
   * Suspects an engine once it is known whether this node is isolated, so that its requests move to
   * peers and not to engines that it can't reach either.
   */
  private void suspectWhenChecked(TrackedEndpoint engine, String cause) {
    reachability.whenChecked(() -> fleet.suspect(engine, cause));
  }

  private void isolationChanged(boolean isolated) {
    if (!isolated) {
      fleet.all().stream()
          .filter(TrackedEndpoint::suspected)
          .filter(engine -> fleet.signals().admits(engine, CallPurpose.HEALTH_CHECK))
          .forEach(engine -> probeSuspected(engine, () -> {}, cause -> {}));
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

  private void recordLateAnswer(TrackedEndpoint engine, Duration elapsed) {
    if (!engine.delisted()) {
      lateAnswers.put(engine, new LateAnswer(elapsed, now()));
    }
  }

  /** Returns the timeout of a probe of an engine whose answers are not known to be late. */
  private Duration timeout() {
    return timeout(slowestAnswerExpired() ? Duration.ZERO : slowestAnswer);
  }

  private Duration timeout(TrackedEndpoint engine) {
    LateAnswer late = lateAnswers.get(engine);
    boolean valid = late != null && now() - late.at() <= LATE_ANSWER_VALIDITY.toNanos();
    return valid ? Collections.max(List.of(timeout(), timeout(late.elapsed()))) : timeout();
  }

  private static Duration timeout(Duration slowest) {
    Duration scaled = slowest.multipliedBy(TIMEOUT_MULTIPLE);
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
    Map<HostPort, Optional<TrackedEndpoint>> found = new HashMap<>();
    ImmutableMap.Builder<String, TrackedEndpoint> builder = ImmutableMap.builder();
    report
        .stalledOn()
        .forEach(
            (requestId, address) ->
                found
                    .computeIfAbsent(address, key -> findOther(engine, key))
                    .ifPresent(blocking -> builder.put(requestId, blocking)));
    ImmutableMap<String, TrackedEndpoint> blockingEngines = builder.buildOrThrow();
    if (blockingEngines.isEmpty()) {
      return;
    }
    ImmutableSet.copyOf(blockingEngines.values()).forEach(blocking -> check(blocking, engine));
    stallListeners.forEach(listener -> listener.onStalls(engine, blockingEngines));
  }

  private Optional<TrackedEndpoint> findOther(TrackedEndpoint engine, HostPort address) {
    return fleet
        .find(engine.endpoint().service(), address)
        .filter(other -> !address.equals(engine.address()));
  }

  /** Probes an engine on which requests at another engine are stalled. */
  private void check(TrackedEndpoint blocking, TrackedEndpoint reporter) {
    check(blocking);
    Optional.ofNullable(probing.get(blocking)).ifPresent(series -> series.stallReported(reporter));
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
    probeSuspected(engine, () -> {}, cause -> stillSilent(engine, cause, previousDelay));
  }

  /**
   * Probes a suspected engine once, which clears the suspicion if it answers.
   *
   * @param onAnswer called if it does
   * @param onSilence receives the cause if it does not
   */
  private void probeSuspected(
      TrackedEndpoint engine, Runnable onAnswer, Consumer<Throwable> onSilence) {
    fleet.signals().recordCall(engine, CallPurpose.HEALTH_CHECK);
    fleet.signals().recordProbe();
    new ProbeCall(engine, new SuspectedListener(engine, onAnswer, onSilence)).start();
  }

  private void stillSilent(TrackedEndpoint engine, Object cause, Duration previousDelay) {
    EventLog.debug(Event.ENDPOINT_STILL_SILENT, "endpoint", engine.endpoint().id(), "cause", cause);
    Duration next = previousDelay.multipliedBy(2);
    scheduleRetry(engine, next.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : next);
  }

  /** Handles the outcome of a probe of a suspected engine. */
  private final class SuspectedListener implements ProbeListener {
    private final TrackedEndpoint engine;
    private final Runnable onAnswer;
    private final Consumer<Throwable> onSilence;

    SuspectedListener(TrackedEndpoint engine, Runnable onAnswer, Consumer<Throwable> onSilence) {
      this.engine = engine;
      this.onAnswer = onAnswer;
      this.onSilence = onSilence;
    }

    @Override
    public void answered(EngineReport report, long sentAt, boolean late) {
      if (isFromEngine(engine, report)) {
        fleet.clearSuspicion(engine);
        onAnswer.run();
      } else if (!late) {
        onSilence.accept(new IllegalStateException("answer of another incarnation"));
      }
    }

    @Override
    public void failed(Duration elapsed, Duration timeout, Throwable failure) {
      if (failure instanceof BackoffRequestedException) {
        fleet.clearSuspicion(engine);
        onAnswer.run();
        return;
      }
      recordRefusal(engine, failure);
      onSilence.accept(failure);
    }
  }
}
