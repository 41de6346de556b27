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
final class CallerPatience {
  /** Callers of a stream wait this long for its first event at least. */
  private static final Duration FIRST_EVENT_PATIENCE = Duration.ofSeconds(2);

  /** The same as a multiple of the objective, and of that of the longest pause. */
  private static final int OBJECTIVES_OF_PATIENCE = 4;

  private static final int PAUSES_OF_PATIENCE = 8;

  /** A request that is refused is refused this long before its caller leaves. */
  private static final Duration ON_THE_WAY = Duration.ofMillis(100);

  /** A caller that comes back on a new connection needs about this long anyway. */
  private static final Duration SOONEST_RETURN = Duration.ofMillis(100);

  /** Callers honour a time to come back up to this part of what they have left. */
  private static final int LATEST_RETURN_PART = 3;

  /** A time to come back lies between this part of the expected time and as much beyond it. */
  private static final double EARLIEST_SHARE = 0.75;

  /** Callers return over this part of the time until an endpoint takes requests, after it. */
  private static final double SPREAD_SHARE = 0.25;

  private final EntryRoute route;
  private final long startedAt;
  private final Duration limit;

  private CallerPatience(EntryRoute route, long startedAt, Duration limit) {
    this.route = route;
    this.startedAt = startedAt;
    this.limit = limit;
  }

  /**
   * Returns the patience for a request.
   *
   * @param told how long the caller says that it waits, if it does
   */
  static CallerPatience of(EntryRoute route, Optional<Duration> told, long startedAt) {
    checkNotNull(route);
    Duration patience = told.orElse(route.timeout());
    Duration limit = patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
    return new CallerPatience(route, startedAt, limit);
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
  long inTimeUntil(Duration firstPartTime) {
    return startedAt + route.objective().toNanos() - firstPartTime.toNanos();
  }

  /** Returns until when the request may wait to be sent. */
  long waitsUntil(Duration firstPartTime) {
    long callerLeaves = Math.min(endsAt(), startedAt + firstPartPatience().toNanos());
    return callerLeaves - ON_THE_WAY.toNanos() - firstPartTime.toNanos();
  }

  private Duration firstPartPatience() {
    if (!route.kind().streamed()) {
      return limit;
    }
    return Ordering.<Duration>natural()
        .max(
            FIRST_EVENT_PATIENCE,
            route.objective().multipliedBy(OBJECTIVES_OF_PATIENCE),
            route.pauseObjective().multipliedBy(PAUSES_OF_PATIENCE));
  }

  /**
   * Returns after what time the caller is asked to come back, spread so that callers don't return
   * in one wave.
   *
   * @param expected when room is expected
   * @param untilOpen how long no endpoint takes a request; the caller is not asked back before
   * @param draw a number in [0, 1)
   */
  Duration comeBack(Duration expected, Duration untilOpen, long now, double draw) {
    Duration soonest = Ordering.<Duration>natural().max(expected, SOONEST_RETURN);
    long latest = Math.max(0, endsAt() - now) / LATEST_RETURN_PART;
    double share = EARLIEST_SHARE + 2 * (1 - EARLIEST_SHARE) * draw;
    long whenRoom = Math.min(latest, (long) (soonest.toNanos() * share));
    long whenOpen = (long) (untilOpen.toNanos() * (1 + SPREAD_SHARE * draw));
    return Duration.ofNanos(Math.max(whenRoom, whenOpen));
  }
}
