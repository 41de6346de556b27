package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Ordering;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.entry.EntryRoute;

/**
 * Deadlines of one request, and the retry-after time for its caller if it is refused.
 *
 * <p>What the caller has waited before a hop counts for the times that depend on its patience and
 * on the objective, but not for the deadline: a hop carries only the time that is left.
 *
 * <p>Immutable. Times are those of the executor's clock, in nanoseconds.
 */
final class CallerDeadlines {
  /** Minimum time for which callers wait for the next event of a stream. */
  private static final Duration MIN_EVENT_TIMEOUT = Duration.ofSeconds(2);

  /** Event timeout as a multiple of the route's objective for the first event. */
  private static final int OBJECTIVES_PER_TIMEOUT = 4;

  /** Event timeout as a multiple of the route's objective for pauses between events. */
  private static final int PAUSES_PER_TIMEOUT = 8;

  /**
   * Fraction of the event timeout within which a stream can be resumed; the rest is left for an
   * engine to process the prompt again.
   */
  private static final double RESUMABLE_FRACTION = 0.75;

  /**
   * Requests are refused this long before their callers give up, so that refusals arrive in time.
   */
  private static final Duration REFUSAL_MARGIN = Duration.ofMillis(100);

  /** Minimum retry-after time; reconnecting takes about this long anyway. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** Callers only honour a retry-after time of at most their remaining time divided by this. */
  private static final int MAX_RETRY_AFTER_DIVISOR = 3;

  /**
   * Smallest jitter factor for the expected wait; the largest one is as much above 1 (0.75 to
   * 1.25).
   */
  private static final double MIN_JITTER_FACTOR = 0.75;

  /** Retries after a backoff are spread over this fraction of its length, after its end. */
  private static final double BACKOFF_JITTER = 0.25;

  private final EntryRoute route;
  private final long deadline;

  /** Since when the caller has been waiting. */
  private final long waitingSince;

  private CallerDeadlines(EntryRoute route, long deadline, long waitingSince) {
    this.route = route;
    this.deadline = deadline;
    this.waitingSince = waitingSince;
  }

  /**
   * Returns the deadlines of a request.
   *
   * @param requestedTimeout the caller's own timeout, or what is left of it after a hop, if the
   *     request has one
   * @param hop present if a peer forwarded the request
   */
  static CallerDeadlines of(
      EntryRoute route,
      Optional<Duration> requestedTimeout,
      Optional<PeerHop> hop,
      long startedAt) {
    checkNotNull(route);
    Duration callerTimeout = requestedTimeout.orElse(route.timeout());
    Duration timeout =
        callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
    Duration waited = hop.map(PeerHop::waited).orElse(Duration.ZERO);
    return new CallerDeadlines(route, startedAt + timeout.toNanos(), startedAt - waited.toNanos());
  }

  /** Returns the deadline of the request. */
  long deadline() {
    return deadline;
  }

  /** Returns the time that is left until the deadline. */
  Duration remaining(long now) {
    return Duration.ofNanos(Math.max(0, deadline - now));
  }

  /**
   * Returns since when the caller has been waiting: for its response, or for its next part if the
   * request is that of a peer and continues a response.
   */
  long waitingSince() {
    return waitingSince;
  }

  /**
   * Returns the latest time at which the request can be sent and still meet the route's objective.
   *
   * @param firstPartTime the usual time from sending a request to the first part of its response
   */
  long onTimeUntil(Duration firstPartTime) {
    return waitingSince + route.objective().toNanos() - firstPartTime.toNanos();
  }

  /** Returns until when the request may wait in the queue. */
  long waitsUntil(Duration firstPartTime) {
    return callerGivesUpAt() - REFUSAL_MARGIN.toNanos() - firstPartTime.toNanos();
  }

  /**
   * Returns until when an interrupted stream can be resumed while its caller still waits.
   *
   * @param lastEventAt when the caller got the last event
   */
  long resumableUntil(long lastEventAt) {
    long resumable = (long) (eventTimeout().toNanos() * RESUMABLE_FRACTION);
    return Math.min(deadline, lastEventAt + resumable);
  }

  private long callerGivesUpAt() {
    return route.kind().streamed()
        ? Math.min(deadline, waitingSince + eventTimeout().toNanos())
        : deadline;
  }

  private Duration eventTimeout() {
    return Ordering.<Duration>natural()
        .max(
            MIN_EVENT_TIMEOUT,
            route.objective().multipliedBy(OBJECTIVES_PER_TIMEOUT),
            route.pauseObjective().multipliedBy(PAUSES_PER_TIMEOUT));
  }

  /**
   * Returns the retry-after time for the caller, with jitter so that callers don't retry all at
   * once.
   *
   * @param expected the expected wait for capacity
   * @param untilOpen how long all endpoints back off; the result is not shorter
   * @param draw a number in [0, 1)
   */
  Duration retryAfter(Duration expected, Duration untilOpen, long now, double draw) {
    Duration wait = Ordering.<Duration>natural().max(expected, MIN_RETRY_AFTER);
    long maxDelay = Math.max(0, deadline - now) / MAX_RETRY_AFTER_DIVISOR;
    double jitterFactor = MIN_JITTER_FACTOR + 2 * (1 - MIN_JITTER_FACTOR) * draw;
    long afterWait = Math.min(maxDelay, (long) (wait.toNanos() * jitterFactor));
    long afterBackoff = (long) (untilOpen.toNanos() * (1 + BACKOFF_JITTER * draw));
    return Duration.ofNanos(Math.max(afterWait, afterBackoff));
  }
}
