package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Ordering;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.entry.EntryRoute;

/**
 * How long the caller of one request waits, and when it is asked to come back.
 *
 * <p>Immutable. Times are those of the executor's clock, in nanoseconds.
 */
final class CallerDeadlines {
  /** Callers of a stream wait this long for its first event at least. */
  private static final Duration MIN_FIRST_EVENT_TIMEOUT = Duration.ofSeconds(2);

  /** The same as a multiple of the objective, and of that of the longest pause. */
  private static final int OBJECTIVES_PER_TIMEOUT = 4;

  private static final int PAUSES_PER_TIMEOUT = 8;

  /** A request that is refused is refused this long before its caller leaves. */
  private static final Duration REFUSAL_MARGIN = Duration.ofMillis(100);

  /** A caller that comes back on a new connection needs about this long anyway. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** Callers honour a time to come back up to this part of what they have left. */
  private static final int MAX_RETRY_AFTER_DIVISOR = 3;

  /** A time to come back lies between this part of the expected time and as much beyond it. */
  private static final double MIN_JITTER_FACTOR = 0.75;

  /** Callers return over this part of the time until an endpoint takes requests, after it. */
  private static final double BACKOFF_JITTER = 0.25;

  private final EntryRoute route;
  private final long startedAt;
  private final Duration limit;

  private CallerDeadlines(EntryRoute route, long startedAt, Duration limit) {
    this.route = route;
    this.startedAt = startedAt;
    this.limit = limit;
  }

  /**
   * Returns the patience for a request.
   *
   * @param told how long the caller says that it waits, if it does
   */
  static CallerDeadlines of(EntryRoute route, Optional<Duration> stated, long startedAt) {
    checkNotNull(route);
    Duration timeout = stated.orElse(route.timeout());
    Duration limit = timeout.compareTo(route.timeout()) < 0 ? timeout : route.timeout();
    return new CallerDeadlines(route, startedAt, limit);
  }

  /** Returns when the request is over in any case. */
  long endsAt() {
    return startedAt + limit.toNanos();
  }

  /**
   * Returns until when the request has to be sent to be in time.
   *
   * @param firstPartTime from sending to the first part of the answer
   */
  long onTimeUntil(Duration firstPartTime) {
    return startedAt + route.objective().toNanos() - firstPartTime.toNanos();
  }

  /** Returns until when the request may wait to be sent. */
  long waitsUntil(Duration firstPartTime) {
    long callerLeaves = Math.min(endsAt(), startedAt + firstPartTimeout().toNanos());
    return callerLeaves - REFUSAL_MARGIN.toNanos() - firstPartTime.toNanos();
  }

  private Duration firstPartTimeout() {
    if (!route.kind().streamed()) {
      return limit;
    }
    return Ordering.<Duration>natural()
        .max(
            MIN_FIRST_EVENT_TIMEOUT,
            route.objective().multipliedBy(OBJECTIVES_PER_TIMEOUT),
            route.pauseObjective().multipliedBy(PAUSES_PER_TIMEOUT));
  }

  /**
   * Returns after what time the caller is asked to come back, spread so that callers don't return
   * in one wave.
   *
   * @param expected when room is expected
   * @param untilOpen how long no endpoint takes a request; the caller is not asked back before
   * @param draw a number in [0, 1)
   */
  Duration retryAfter(Duration expected, Duration untilOpen, long now, double draw) {
    Duration soonest = Ordering.<Duration>natural().max(expected, MIN_RETRY_AFTER);
    long latest = Math.max(0, endsAt() - now) / MAX_RETRY_AFTER_DIVISOR;
    double share = MIN_JITTER_FACTOR + 2 * (1 - MIN_JITTER_FACTOR) * draw;
    long afterWait = Math.min(latest, (long) (soonest.toNanos() * share));
    long afterBackoff = (long) (untilOpen.toNanos() * (1 + BACKOFF_JITTER * draw));
    return Duration.ofNanos(Math.max(afterWait, afterBackoff));
  }
}
