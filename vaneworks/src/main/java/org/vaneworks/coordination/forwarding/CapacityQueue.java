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
import org.vaneworks.coordination.fleet.Openings;

/**
 * Requests of one service that wait for room at its endpoints.
 *
 * <p>Order: streams whose caller already has a part come first, then requests that can still be in
 * time, then late ones; among these the more urgent, then the earlier. So a shortage makes few
 * requests late instead of all, and a late one is served while its caller waits if room is left. A
 * request waits only as long as it is expected to be served before its caller gives up, by how many
 * are before it and how many this node has lately started; otherwise, and while no endpoint could
 * run it at all, it is refused at once. Confined to the node's event loop.
 */
final class CapacityQueue {
  /** Between two looks for room; a look costs a few searches for a path. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  /** Requests that find no room in one look before it ends: a smaller one behind may fit. */
  private static final int MAX_MISSES_PER_POLL = 3;

  /** Starts are averaged over this time: streams last one to three seconds. */
  private static final double RATE_TIME_CONSTANT_NANOS = 1e9;

  /** Starts a second that are assumed at least, so that the first requests may wait. */
  private static final double MIN_STARTS_PER_SECOND = 2;

  /** Weight of a newer time to the first part against those before. */
  private static final double FIRST_PART_SMOOTHING = 0.1;

  /** How a request stands to its caller. */
  enum Rank {
    /** Its caller has a part of the answer. */
    CONTINUES,
    /** It can still be in time. */
    IN_TIME,
    /** It can't be in time any more. */
    LATE
  }

  /** A request that waits. */
  interface Waiter {
    /** Takes a place and begins, or returns false if there is none. */
    boolean start();

    /**
     * Whether it may still begin; if not, it is refused at the next look, whatever room there is.
     */
    default boolean mayStart() {
      return true;
    }

    /** Returns when requests may begin at its endpoints if they have room. */
    Openings openings();

    /** It won't be served: there is no room in time. */
    void refuse();

    /** Whether its caller has a part of the answer. */
    boolean continues();

    /** Until when it has to begin to be in time, on the executor's clock. */
    long onTimeUntil();

    /** Until when its caller waits for it, on the executor's clock. */
    long waitsUntil();

    /** 0 is the most urgent. */
    int priority();
  }

  private record Entry(Waiter waiter, long since) {
    Rank rank(long now) {
      if (waiter.continues()) {
        return Rank.CONTINUES;
      }
      return now <= waiter.onTimeUntil() ? Rank.IN_TIME : Rank.LATE;
    }
  }

  private final Executor clock;
  private final List<Entry> entries = new ArrayList<>();
  private boolean pollScheduled;
  private double startsPerSecond;
  private long rateUpdatedAt;
  private double firstPartNanos;
  private OptionalLong shortageSince = OptionalLong.empty();

  CapacityQueue(Executor clock) {
    this.clock = checkNotNull(clock);
    rateUpdatedAt = now();
  }

  /** Starts a request if there is room and none waits, lets it wait, or refuses it. */
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

  /** Takes a request out, for example because its caller left. */
  void leave(Waiter waiter) {
    entries.removeIf(entry -> entry.waiter() == waiter);
  }

  /**
   * Returns when room is expected for a request that is refused now.
   *
   * <p>At least the time that those before it take. A shortage is also expected to last as long
   * again as it has lasted: most follow the loss of an engine, whose layers others load within some
   * seconds, so a caller that comes back at once is refused again.
   */
  Duration expectedWait() {
    long lasted = shortageSince.isPresent() ? now() - shortageSince.getAsLong() : 0;
    return Duration.ofNanos(Math.max(lasted, (long) waitBehind(entries.size())));
  }

  /** Takes note of how long an answer's first part took since its request was sent. */
  void recordFirstPartTime(long nanos) {
    firstPartNanos += FIRST_PART_SMOOTHING * (nanos - firstPartNanos);
  }

  /** Returns the usual time from sending a request to the first part of its answer. */
  Duration firstPartTime() {
    return Duration.ofNanos((long) firstPartNanos);
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
    Openings openings = waiter.openings();
    if (!openings.any()) {
      return !waiter.continues() || now() + waitBehind(ahead) > waiter.waitsUntil();
    }
    double expected = Math.max(now() + waitBehind(ahead), openings.at(ahead, now()));
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
            .thenComparingLong(Entry::since),
        entries);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
