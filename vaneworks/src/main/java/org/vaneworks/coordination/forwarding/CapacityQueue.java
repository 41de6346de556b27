package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.vaneworks.coordination.fleet.RequestSchedule;

/**
 * Queue of requests that wait for capacity at the endpoints of one service.
 *
 * <p>Interrupted streams come first, then requests that can still meet their objective, then late
 * ones; each group is ordered by priority and arrival. So a shortage delays few requests instead of
 * all, and late requests are served if capacity is left while their callers wait. A request waits
 * only while it is expected to start before its caller gives up, given its position and the recent
 * start rate of this node. Otherwise, and while no endpoint could run it at all, it is refused
 * immediately. An interrupted stream, which is lost if it is refused, waits as long as its caller.
 * Confined to the node's event loop.
 */
final class CapacityQueue {
  /** Interval between polls for capacity; each poll costs a few path searches. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  /** Failed starts after which a poll ends; more than one, as a smaller request may fit. */
  private static final int MAX_MISSES_PER_POLL = 3;

  /** Time constant of the start rate; streams last one to three seconds. */
  private static final double RATE_TIME_CONSTANT_NANOS = 1e9;

  /** Lower bound of the assumed start rate, so that the first requests may wait. */
  private static final double MIN_STARTS_PER_SECOND = 2;

  /** Weight of a new sample in the moving average of the time to the first part. */
  private static final double FIRST_PART_SMOOTHING = 0.1;

  /** Scheduling class of a request, most urgent first. */
  enum Rank {
    /** The caller has already received a part of the response. */
    CONTINUES,
    /** The request can still meet its objective. */
    ON_TIME,
    /** The request can no longer meet its objective. */
    LATE
  }

  /** A waiting request. */
  interface Waiter {
    /** Acquires an endpoint and starts; returns false if none has capacity. */
    boolean start();

    /**
     * Returns whether the request may still start; if not, the next poll refuses it regardless of
     * capacity.
     */
    default boolean mayStart() {
      return true;
    }

    /** Returns when the endpoints of the request accept requests again, capacity aside. */
    RequestSchedule requestSchedule();

    /** Refuses the request: no capacity is expected in time. */
    void refuse();

    /** Returns whether the caller has already received a part of the response. */
    boolean continues();

    /** Returns whether the caller has a part of the response and no attempt continues it. */
    boolean isInterrupted();

    /**
     * Returns the latest start time that meets the objective, in nanoseconds of the executor's
     * clock.
     */
    long onTimeUntil();

    /** Returns until when the request may wait, in nanoseconds of the executor's clock. */
    long waitsUntil();

    /** Returns the priority; 0 is the most urgent. */
    int priority();
  }

  private record Entry(Waiter waiter, long queuedAt) {
    Rank rank(long now) {
      if (waiter.continues()) {
        return Rank.CONTINUES;
      }
      return now <= waiter.onTimeUntil() ? Rank.ON_TIME : Rank.LATE;
    }
  }

  private final Executor clock;
  private final List<Entry> entries = new ArrayList<>();
  private boolean pollScheduled;
  private double startsPerSecond;
  private long rateUpdatedAt;
  private double averageFirstPartNanos;
  private OptionalLong shortageSince = OptionalLong.empty();

  CapacityQueue(Executor clock) {
    this.clock = checkNotNull(clock);
    rateUpdatedAt = now();
  }

  /**
   * Starts a request if there is capacity and the queue is empty; otherwise queues or refuses it.
   */
  void join(Waiter waiter) {
    if (entries.isEmpty() && tryStart(waiter)) {
      shortageSince = OptionalLong.empty();
      return;
    }
    if (shortageSince.isEmpty()) {
      shortageSince = OptionalLong.of(now());
    }
    Entry entry = new Entry(waiter, now());
    entries.add(entry);
    if (cannotBeServed(entry, ordered().indexOf(entry))) {
      entries.remove(entry);
      waiter.refuse();
      return;
    }
    schedulePoll();
  }

  /** Removes a request, for example because its caller disconnected. */
  void leave(Waiter waiter) {
    entries.removeIf(entry -> entry.waiter() == waiter);
  }

  /**
   * Returns the expected wait for capacity of a request that is refused now.
   *
   * <p>This is at least the time that the queued requests need. A shortage is also expected to last
   * as long again as it has lasted so far: most shortages follow the loss of an engine, whose
   * layers other engines load within seconds, so a caller that retries immediately would be refused
   * again.
   */
  Duration expectedWait() {
    long shortageNanos = shortageSince.isPresent() ? now() - shortageSince.getAsLong() : 0;
    return Duration.ofNanos(Math.max(shortageNanos, (long) waitBehind(entries.size())));
  }

  /** Records the time from sending a request to the first part of its response. */
  void recordFirstPartTime(long nanos) {
    averageFirstPartNanos += FIRST_PART_SMOOTHING * (nanos - averageFirstPartNanos);
  }

  /** Returns the average time from sending a request to the first part of its response. */
  Duration firstPartTime() {
    return Duration.ofNanos((long) averageFirstPartNanos);
  }

  private void schedulePoll() {
    if (!pollScheduled) {
      pollScheduled = true;
      clock.schedule(this::poll, POLL_INTERVAL.toNanos(), NANOSECONDS);
    }
  }

  private void poll() {
    pollScheduled = false;
    int misses = 0;
    int ahead = 0;
    for (Entry entry : ordered()) {
      if (!entries.remove(entry)) {
        continue;
      }
      if (!entry.waiter().mayStart()) {
        entry.waiter().refuse();
        continue;
      }
      if (misses < MAX_MISSES_PER_POLL && tryStart(entry.waiter())) {
        continue;
      }
      misses++;
      if (cannotBeServed(entry, ahead)) {
        entry.waiter().refuse();
      } else {
        entries.add(entry);
        ahead++;
      }
    }
    if (!entries.isEmpty()) {
      schedulePoll();
    }
  }

  private boolean tryStart(Waiter waiter) {
    if (!waiter.start()) {
      return false;
    }
    decayRate();
    startsPerSecond += 1e9 / RATE_TIME_CONSTANT_NANOS;
    return true;
  }

  private void decayRate() {
    long now = now();
    startsPerSecond *= Math.exp(-(now - rateUpdatedAt) / RATE_TIME_CONSTANT_NANOS);
    rateUpdatedAt = now;
  }

  private boolean cannotBeServed(Entry entry, int ahead) {
    Waiter waiter = entry.waiter();
    RequestSchedule schedule = waiter.requestSchedule();
    // The start rate is an estimate, and an interrupted response is lost if it is refused.
    double expectedWait = waiter.isInterrupted() ? 0 : waitBehind(ahead);
    if (!schedule.allowsAny()) {
      return !waiter.continues() || now() + expectedWait > waiter.waitsUntil();
    }
    double expected = Math.max(now() + expectedWait, schedule.timeOf(ahead, now()));
    return expected > waiter.waitsUntil();
  }

  private double waitBehind(int requests) {
    decayRate();
    return requests * 1e9 / Math.max(MIN_STARTS_PER_SECOND, startsPerSecond);
  }

  private ImmutableList<Entry> ordered() {
    long now = now();
    return ImmutableList.sortedCopyOf(
        Comparator.comparing((Entry entry) -> entry.rank(now))
            .thenComparingInt(entry -> entry.waiter().priority())
            .thenComparingLong(Entry::queuedAt),
        entries);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
