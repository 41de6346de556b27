package org.vaneworks.coordination.endpoints;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
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
 * What this node knows of one endpoint: health, load, step times, cached prefixes.
 *
 * <p>Thread-safe. Its lock is held for a few field accesses only and is never held while another of
 * this package's locks is taken, except that of {@link KindTimes}.
 */
public final class EndpointState {
  private static final Duration FIRST_EJECTION = Duration.ofMillis(500);
  private static final Duration LONGEST_EJECTION = Duration.ofSeconds(20);
  private static final double LINK_FADE = 0.9;
  private static final double DEADLINE_FACTOR = 4;
  private static final double DEADLINE_DEVIATIONS = 8;
  private static final int PREFIX_HINTS = 512;

  private final Endpoint endpoint;
  private final Executor clock;
  private final KindTimes kinds;
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

  /** Whether one status call without an answer is all that speaks against the endpoint. */
  @GuardedBy("this")
  private boolean doubted;

  @GuardedBy("this")
  private boolean answeredSinceEjection;

  @GuardedBy("this")
  private long ejectedUntil;

  @GuardedBy("this")
  private long lastProgress;

  @GuardedBy("this")
  private long uses;

  EndpointState(
      Endpoint endpoint,
      Executor clock,
      KindTimes kinds,
      EndpointLimits limits,
      IntSupplier nodes) {
    this.endpoint = endpoint;
    this.clock = clock;
    this.kinds = kinds;
    this.limits = limits;
    this.nodes = nodes;
    this.lastProgress = clock.currentTime(NANOSECONDS) - 1;
  }

  /** Returns the endpoint as it described itself. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Returns whether new work may be sent now. */
  public synchronized boolean isUsable() {
    if (leaving) {
      return false;
    }
    return !ejected || isHalfOpen();
  }

  @GuardedBy("this")
  private boolean isHalfOpen() {
    boolean rested = clock.currentTime(NANOSECONDS) - ejectedUntil >= 0;
    return rested && answeredSinceEjection && inFlight == 0;
  }

  /**
   * Returns whether the endpoint may get work for want of any other.
   *
   * <p>A status call that is late once says little: the endpoint or this node may have been busy.
   * To refuse everything for it would be the greater harm.
   */
  public synchronized boolean isLastResort() {
    return !leaving && doubted;
  }

  /** Returns whether the endpoint wants no new work. */
  public synchronized boolean isLeaving() {
    return leaving;
  }

  /** Marks the endpoint as leaving; returns whether this was news. */
  synchronized boolean markLeaving() {
    boolean news = !leaving;
    leaving = true;
    return news;
  }

  /** Takes note of a stream that starts here. */
  public synchronized void streamStarted() {
    inFlight++;
    changeSinceReport++;
    uses++;
  }

  /** Takes note of a stream that ended here. */
  public synchronized void streamEnded() {
    inFlight--;
    changeSinceReport--;
  }

  /** Returns this node's streams on the endpoint. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns how many streams this node ever started here. */
  public synchronized long uses() {
    return uses;
  }

  /**
   * Returns the estimated number of sessions there now.
   *
   * <p>The report lags. What this node started and ended since is known, and the other nodes, who
   * read the same report behind the same balancer, are taken to have done likewise.
   */
  public synchronized double estimatedRunning() {
    return Math.max(inFlight, reportedRunning + (double) changeSinceReport * nodes.getAsInt());
  }

  /** Returns the expected step time in milliseconds, link included, beside that many sessions. */
  public synchronized double predictedStepMillis(double running) {
    double own = steps.isTrusted() ? steps.predict(running) : 0;
    return linkMillis + (own > 0 ? own : kinds.predictStep(endpoint, running));
  }

  /** Returns how far 95 in 100 step times stay within the prediction, in milliseconds. */
  public synchronized double stepTailMillis() {
    return steps.tail();
  }

  /** Returns the expected time in milliseconds to run a prompt of that many positions. */
  public synchronized double predictedPromptMillis(double positions) {
    double own = prompts.isTrusted() ? prompts.predict(positions) : 0;
    return linkMillis + (own > 0 ? own : kinds.predictPrompt(endpoint, positions));
  }

  /** Returns whether step times were learned here, so that predictions can be relied on. */
  public synchronized boolean isLearned() {
    return steps.isTrusted();
  }

  /** Returns the measured round trip in milliseconds without the engine's work. */
  public synchronized double linkMillis() {
    return linkMillis;
  }

  /**
   * Returns the share of a prompt, 0 to 1, whose prefix is believed to be cached here.
   *
   * @param hashes of the prompt's growing prefixes, shortest first
   */
  public synchronized double cachedShare(ImmutableList<Long> hashes) {
    return prefixes.cachedShare(hashes);
  }

  /** Takes note that the prompt's prefixes are now cached here. */
  public synchronized void promptCached(ImmutableList<Long> hashes) {
    prefixes.add(hashes);
  }

  /** Takes note that the endpoint did the work that it was given; ends an ejection. */
  public synchronized void workAnswered() {
    failures = 0;
    doubted = false;
    if (ejected) {
      ejected = false;
      EventLog.info(Event.ENDPOINT_PROBED, "endpoint", endpoint.id());
    }
  }

  /** Takes the time that one call took, from sending to the answer. */
  public synchronized void stepAnswered(StepCall call, Duration took) {
    lastProgress = clock.currentTime(NANOSECONDS);
    workAnswered();
    double millis = Math.max(0, took.toNanos() / 1e6 - linkMillis);
    if (call.step() == 0 || call.rebuilds()) {
      int positions = call.positions() + call.historyPositions();
      prompts.observe(positions, millis);
      kinds.observePrompt(endpoint, positions, millis);
      return;
    }
    double running = estimatedRunning();
    steps.observe(running, millis);
    kinds.observeStep(endpoint, running, millis);
  }

  /** Returns when a step was last answered here, by the clock, in nanoseconds. */
  public synchronized long lastProgress() {
    return lastProgress;
  }

  /** Returns how long a call may take at most. */
  public Duration stepTimeout() {
    return limits.stepTimeout();
  }

  /** Returns how long a call may take before its progress is looked into. */
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
    double allowed = DEADLINE_FACTOR * expected + DEADLINE_DEVIATIONS * model.deviation();
    long least = limits.leastProgress().toMillis();
    long most = limits.stepTimeout().toMillis();
    return Duration.ofMillis(Math.min(most, Math.max(least, (long) allowed)));
  }

  /** Takes a status report and the time that it took. */
  public synchronized void statusAnswered(EndpointStatus status, Duration roundTrip) {
    double millis = roundTrip.toNanos() / 1e6;
    linkMillis = linkMeasured ? fadeLink(millis) : millis;
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

  /** Falls at once, rises slowly: a status call that waited behind others says little of a link. */
  @GuardedBy("this")
  private double fadeLink(double millis) {
    return millis < linkMillis ? millis : LINK_FADE * linkMillis + (1 - LINK_FADE) * millis;
  }

  /**
   * Takes note of a status call without an answer, and ejects; returns whether this was news.
   *
   * @see #isLastResort()
   */
  synchronized boolean doubt() {
    boolean first = !ejected;
    boolean news = eject();
    doubted = first;
    return news;
  }

  /** Stops new work for a while after a failure; returns whether this was news. */
  synchronized boolean eject() {
    boolean news = !ejected;
    doubted = false;
    ejected = true;
    answeredSinceEjection = false;
    long pause = FIRST_EJECTION.toMillis() << Math.min(failures, 6);
    failures++;
    long bounded = Math.min(pause, LONGEST_EJECTION.toMillis());
    ejectedUntil = clock.currentTime(NANOSECONDS) + MILLISECONDS.toNanos(bounded);
    return news;
  }

  /** Remembers the newest prefixes that were run here. */
  private static final class PrefixHints {
    private final Map<Long, Boolean> newest =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > PREFIX_HINTS;
          }
        };

    void add(Iterable<Long> hashes) {
      hashes.forEach(hash -> newest.put(hash, true));
    }

    double cachedShare(List<Long> hashes) {
      int hits = 0;
      while (hits < hashes.size() && newest.containsKey(hashes.get(hits))) {
        hits++;
      }
      return hashes.isEmpty() ? 0 : (double) hits / hashes.size();
    }
  }
}
