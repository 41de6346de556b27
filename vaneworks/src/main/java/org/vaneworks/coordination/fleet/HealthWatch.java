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
 * Asks engines for a sign of life when requests through them stand still, and asks suspected ones
 * again until they answer or leave the list.
 *
 * <p>Nothing is sent while requests make progress. A question whose limit ran out late is asked
 * again without being counted, as its answer may lie unread. Confined to the node's event loop.
 */
public final class HealthWatch {
  /** An engine in the same region answers in a few ms; six times its usual worst. */
  private static final Duration PROBE_LIMIT = Duration.ofMillis(100);

  /**
   * Questions without an answer, in a row, that make an engine suspected. One proves nothing: a
   * node that has just started sets up a dozen connections at once, and takes its own delay for the
   * engines' silence; a connection that rested may have been closed. A refused connection needs no
   * second question.
   */
  private static final int UNANSWERED = 2;

  /**
   * An answer may take this many times as long as the slowest of the last second. While a node is
   * late itself, all answers seem to be: those that come show by how much.
   */
  private static final int SLOWEST_TIMES = 3;

  private static final Duration SLOWEST_HOLDS = Duration.ofSeconds(1);
  private static final Duration LONGEST_LIMIT = Duration.ofMillis(400);

  /** An answer this young serves all requests that ask about the same engine. */
  private static final Duration FRESH = Duration.ofMillis(200);

  private static final Duration FIRST_RETRY = Duration.ofMillis(400);
  private static final Duration LONGEST_RETRY = Duration.ofSeconds(2);

  /** How often a slow engine is asked, and how often one that is only thought to be slow. */
  private static final Duration PACE_RETRY = Duration.ofSeconds(1);

  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final Map<TrackedEndpoint, Long> askedAt = new HashMap<>();

  /** Engines whose answer is waited for: whoever asks about one meanwhile waits with the others. */
  private final Set<TrackedEndpoint> asked = new HashSet<>();

  private Duration slowestAnswer = Duration.ZERO;
  private long slowestAnswerAt = Long.MIN_VALUE / 2;

  private HealthWatch(Executor clock, Fleet fleet, EngineControl control) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    fleet.onSuspicion(engine -> retryLater(engine, FIRST_RETRY));
    fleet.onRemoval(askedAt::remove);
  }

  /** Returns a watch over the engines of a fleet. */
  public static HealthWatch create(Executor clock, Fleet fleet, EngineControl control) {
    return new HealthWatch(clock, fleet, control);
  }

  /** Asks an engine, unless it was asked a moment ago; suspects it if it doesn't answer. */
  public void check(TrackedEndpoint engine) {
    check(engine, CallPurpose.SIGN_OF_LIFE);
  }

  private void check(TrackedEndpoint engine, CallPurpose purpose) {
    long now = now();
    Long last = askedAt.get(engine);
    boolean askedLately = last != null && now - last < FRESH.toNanos();
    if (!askedLately) {
      askUnlessUnderWay(engine, purpose);
    }
  }

  /** Asks an engine whose connection broke: what it answered before says nothing of that. */
  public void checkAfterLoss(TrackedEndpoint engine) {
    askUnlessUnderWay(engine, CallPurpose.SIGN_OF_LIFE);
  }

  private void askUnlessUnderWay(TrackedEndpoint engine, CallPurpose purpose) {
    if (asked.contains(engine) || engine.suspected() || engine.delisted()) {
      return;
    }
    if (!fleet.statements().admits(engine, purpose)) {
      return;
    }
    ask(new Question(engine, purpose, 1, 0));
  }

  /**
   * A question to an engine.
   *
   * @param counted counts from 1, and rises while the engine is silent
   * @param uncounted questions before it that the engine may have answered: this node was late
   */
  private record Question(TrackedEndpoint engine, CallPurpose purpose, int counted, int uncounted) {
    Question next() {
      return new Question(engine, purpose, counted + 1, uncounted);
    }

    Question uncountedNext() {
      return new Question(engine, purpose, counted, uncounted + 1);
    }

    int number() {
      return counted + uncounted;
    }
  }

  private void ask(Question question) {
    TrackedEndpoint engine = question.engine();
    long begun = now();
    Duration limit = limit();
    askedAt.put(engine, begun);
    asked.add(engine);
    // Asked whatever the engine takes, as requests may hang on its answer; but it counts.
    fleet.statements().noteCall(engine, question.purpose());
    fleet.statements().noteAsked();
    Async.onDone(
        control.report(engine.endpoint(), limit),
        clock,
        (report, failure) -> {
          asked.remove(engine);
          Duration took = Duration.ofNanos(now() - begun);
          if (failure == null) {
            noteAnswer(took);
            take(engine, report);
          } else if (!engine.delisted()) {
            unanswered(question, took, limit, failure);
          }
        });
  }

  private void take(TrackedEndpoint engine, EngineReport report) {
    if (fleet.isSameRun(engine, report.incarnation())) {
      takePace(engine, report);
      takeStalls(engine, report);
    }
  }

  private void unanswered(Question question, Duration took, Duration limit, Throwable failure) {
    TrackedEndpoint engine = question.engine();
    boolean silent = failure instanceof TimeoutException;
    noteRefusal(engine, failure);
    if (failure instanceof TurnedAwayException) {
      return;
    }
    boolean refused = failure instanceof NobodyListensException;
    if (silent && EventLoopDelay.explainsSilence(took.minus(limit), question.uncounted())) {
      fleet.statements().noteUncounted();
      ask(question.uncountedNext());
    } else if (!refused && question.counted() < UNANSWERED) {
      ask(question.next());
    } else {
      String asked = "asked " + question.number() + " times, the last " + took.toMillis();
      fleet.suspect(engine, "no sign of life, " + asked + " ms ago: " + failure);
    }
  }

  private void noteRefusal(TrackedEndpoint engine, Throwable failure) {
    if (failure instanceof NobodyListensException) {
      fleet.noteNobodyListens(engine);
    }
  }

  private void noteAnswer(Duration took) {
    if (slowestIsOld() || took.compareTo(slowestAnswer) >= 0) {
      slowestAnswer = took;
      slowestAnswerAt = now();
    }
  }

  private boolean slowestIsOld() {
    return now() - slowestAnswerAt > SLOWEST_HOLDS.toNanos();
  }

  private Duration limit() {
    Duration atLeast = slowestIsOld() ? Duration.ZERO : slowestAnswer.multipliedBy(SLOWEST_TIMES);
    Duration limit = atLeast.compareTo(PROBE_LIMIT) > 0 ? atLeast : PROBE_LIMIT;
    return limit.compareTo(LONGEST_LIMIT) > 0 ? LONGEST_LIMIT : limit;
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }

  /**
   * Asks an engine for its pace, unless it was asked within the last second or takes nothing of
   * this node now.
   */
  public void checkPace(TrackedEndpoint engine) {
    Long last = askedAt.get(engine);
    boolean askedLately = last != null && now() - last < PACE_RETRY.toNanos();
    if (!askedLately && takesSomething(engine)) {
      check(engine, CallPurpose.PACE);
    }
  }

  private boolean takesSomething(TrackedEndpoint engine) {
    return now() >= engine.opensAt();
  }

  private void checkPaceLater(TrackedEndpoint engine) {
    clock.schedule(() -> checkPaceAgain(engine), PACE_RETRY.toNanos(), NANOSECONDS);
  }

  private void checkPaceAgain(TrackedEndpoint engine) {
    if (takesSomething(engine)) {
      checkPace(engine);
    } else if (!engine.delisted()) {
      checkPaceLater(engine);
    }
  }

  private void takePace(TrackedEndpoint engine, EngineReport report) {
    boolean wasSlow = engine.slowAtFirstHand();
    engine.pace(report.pace());
    boolean slow = engine.slowAtFirstHand();
    if (slow != wasSlow) {
      EventLog.info(Event.ENDPOINT_PACE, "endpoint", engine.endpoint().id(), "pace", report.pace());
    }
    if (slow) {
      checkPaceLater(engine);
    }
  }

  private void takeStalls(TrackedEndpoint engine, EngineReport report) {
    report.stalledOn().values().stream()
        .distinct()
        .filter(address -> !address.equals(engine.address()))
        .forEach(
            address ->
                fleet
                    .at(engine.endpoint().service(), address)
                    .ifPresent(
                        culprit ->
                            fleet.suspect(
                                culprit, "requests at " + engine.address() + " wait for it")));
  }

  private void retryLater(TrackedEndpoint engine, Duration wait) {
    clock.schedule(() -> retry(engine, wait), wait.toNanos(), NANOSECONDS);
  }

  private void retry(TrackedEndpoint engine, Duration waited) {
    if (!engine.suspected() || engine.delisted()) {
      return;
    }
    if (!fleet.statements().admits(engine, CallPurpose.SIGN_OF_LIFE)) {
      retryLater(engine, waited);
      return;
    }
    fleet.statements().noteCall(engine, CallPurpose.SIGN_OF_LIFE);
    fleet.statements().noteAsked();
    Async.onDone(
        control.report(engine.endpoint(), limit()),
        clock,
        (report, failure) -> {
          if (failure == null) {
            if (fleet.isSameRun(engine, report.incarnation())) {
              fleet.clear(engine);
            }
            return;
          }
          if (failure instanceof TurnedAwayException) {
            fleet.clear(engine);
            return;
          }
          noteRefusal(engine, failure);
          EventLog.debug(
              Event.ENDPOINT_STILL_SILENT, "endpoint", engine.endpoint().id(), "cause", failure);
          Duration next = waited.multipliedBy(2);
          retryLater(engine, next.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : next);
        });
  }
}
