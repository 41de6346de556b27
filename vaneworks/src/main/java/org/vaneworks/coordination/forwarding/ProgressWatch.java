package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import org.vaneworks.coordination.concurrent.EventLoopDelay;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.PathPart;
import org.vaneworks.telemetry.Metric;

/**
 * Watches whether a request on engines makes progress, and asks for signs of life when it doesn't.
 *
 * <p>Only engines through which no request made progress are asked, so one slow stream among others
 * costs nothing. A look that comes late is no proof of a silence, as events may lie unread: it is
 * taken again once they are read. Confined to the node's event loop.
 */
final class ProgressWatch {
  /** A pause without an event after which the engines are asked for a sign of life. */
  private static final Duration STALL = Duration.ofMillis(250);

  /** The same before the first event, which waits for the prompt to be read. */
  private static final Duration FIRST_STALL = Duration.ofMillis(350);

  /** An engine through which a request made progress this lately is alive, and not slow. */
  private static final Duration FAST_LATELY = Duration.ofMillis(300);

  private final ForwardContext context;
  private final Place place;
  private final long longPauseNanos;
  private final Runnable onStall;
  private Cancellable timer = () -> {};
  private boolean awaitsHead;
  private boolean shortPauseBefore;
  private long lastProgress;
  private long checkDueAt;

  /** Looks in a row that came too late to prove a silence. */
  private int uncounted;

  /**
   * Makes a watch that does nothing before {@link #sent}.
   *
   * @param pauseObjective the longest pause between events that is aimed at
   * @param onStall called now and then while the request stands still, before engines are asked
   */
  ProgressWatch(ForwardContext context, Place place, Duration pauseObjective, Runnable onStall) {
    this.onStall = onStall;
    this.context = context;
    this.place = place;
    // Two thirds: a pause that long comes close to being late.
    this.longPauseNanos = pauseObjective.toNanos() * 2 / 3;
  }

  /** Returns when the request last made progress. */
  long lastProgress() {
    return lastProgress;
  }

  /** Returns whether the request made progress a moment ago: all its engines were alive then. */
  boolean isRecent() {
    return now() - lastProgress < STALL.toNanos();
  }

  /**
   * Begins to watch an attempt.
   *
   * @param resumes whether it continues an answer, whose caller has been waiting since the last
   *     event
   */
  void sent(boolean resumes) {
    awaitsHead = true;
    if (!resumes) {
      lastProgress = now();
    }
    watch();
  }

  /** Watches a former attempt again, whose head came. */
  void returned() {
    awaitsHead = false;
    watch();
  }

  void head() {
    awaitsHead = false;
    shortPauseBefore = false;
    lastProgress = now();
  }

  /** Takes note of a change after which the engines need time again. */
  void restarted() {
    lastProgress = now();
  }

  /** Takes note of a part of the answer. */
  void data() {
    long now = now();
    // Head and first event come together, and events that were held up too: one short pause proves
    // nothing.
    boolean shortPause = now - lastProgress < longPauseNanos;
    boolean fast = shortPause && shortPauseBefore;
    shortPauseBefore = shortPause;
    lastProgress = now;
    if (place.path().isEmpty()) {
      return;
    }
    for (PathPart part : place.path().get().parts()) {
      boolean fastLately = now - part.engine().lastFastProgress() < FAST_LATELY.toNanos();
      if (!shortPause && !fastLately) {
        context.health().checkPace(part.engine());
      }
      part.engine().noteProgress(now, fast);
    }
  }

  void stop() {
    timer.cancel();
  }

  private void watch() {
    timer.cancel();
    if (!place.onEngines() || !place.isTaken()) {
      return;
    }
    long wait = stallLimit().toNanos() - (now() - lastProgress);
    long atLeast = STALL.toNanos() / 2;
    checkAfter(Math.max(wait, atLeast));
  }

  private void checkAfter(long nanos) {
    checkDueAt = now() + nanos;
    timer = context.clock().schedule(this::check, nanos, NANOSECONDS);
  }

  private Duration stallLimit() {
    return awaitsHead ? FIRST_STALL : STALL;
  }

  private void check() {
    Duration late = Duration.ofNanos(now() - checkDueAt);
    context.counters().record(Metric.LATE_CHECKS, late);
    if (place.path().isEmpty()) {
      return;
    }
    boolean stalled = now() - lastProgress >= stallLimit().toNanos();
    if (stalled && EventLoopDelay.explainsSilence(late, uncounted)) {
      uncounted++;
      context.counters().count(Metric.UNCOUNTED_SILENCES, "look");
      checkAfter(EventLoopDelay.SOCKET_READ_GRACE.toNanos());
      return;
    }
    uncounted = 0;
    if (stalled) {
      EnginePath path = place.path().get();
      onStall.run();
      askForLife(path);
    }
    watch();
  }

  private void askForLife(EnginePath path) {
    for (PathPart part : path.parts()) {
      if (now() - part.engine().lastProgress() >= STALL.toNanos()) {
        context.health().check(part.engine());
      }
    }
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
