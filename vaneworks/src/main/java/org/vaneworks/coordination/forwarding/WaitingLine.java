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
 * Requests of one service that wait for room at its endpoints.
 *
 * <p>Order: streams whose caller already has a part come first, then requests that can still be in
 * time, then late ones; among these the more urgent, then the earlier. So a shortage makes few
 * requests late instead of all, and a late one is served while its caller waits if room is left. A
 * request waits only as long as it is expected to be served before its caller gives up, by how many
 * are before it and how many this node has lately started; otherwise, and while no endpoint could
 * run it at all, it is refused at once. Confined to the node's event loop.
 */
final class WaitingLine {
  /** Between two looks for room; a look costs a few searches for a path. */
  private static final Duration LOOK = Duration.ofMillis(20);

  /** Requests that find no room in one look before it ends: a smaller one behind may fit. */
  private static final int MISSES_A_LOOK = 3;

  /** Starts are averaged over this time: streams last one to three seconds. */
  private static final double RATE_NANOS = 1e9;

  /** Starts a second that are assumed at least, so that the first requests may wait. */
  private static final double LEAST_RATE = 2;

  /** Weight of a newer time to the first part against those before. */
  private static final double NEWER = 0.1;

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
    RequestSchedule openings();

    /** It won't be served: there is no room in time. */
    void refuse();

    /** Whether its caller has a part of the answer. */
    boolean continues();

    /** Until when it has to begin to be in time, on the executor's clock. */
    long inTimeUntil();

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
      return now <= waiter.inTimeUntil() ? Rank.IN_TIME : Rank.LATE;
    }
  }

  private final Executor clock;
  private final List<Entry> entries = new ArrayList<>();
  private boolean looking;
  private double startsASecond;
  private long ratedAt;
  private double firstPartNanos;
  private OptionalLong shortSince = OptionalLong.empty();

  WaitingLine(Executor clock) {
    this.clock = checkNotNull(clock);
    ratedAt = now();
  }

  /** Starts a request if there is room and none waits, lets it wait, or refuses it. */
  void join(Waiter waiter) {
    if (entries.isEmpty() && tryStart(waiter)) {
      shortSince = OptionalLong.empty();
      return;
    }
    if (shortSince.isEmpty()) {
      shortSince = OptionalLong.of(now());
    }
    Entry entry = new Entry(waiter, now());
    entries.add(entry);
    if (cannotBeServed(entry, ordered().indexOf(entry))) {
      entries.remove(entry);
      waiter.refuse();
      return;
    }
    lookLater();
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
    long lasted = shortSince.isPresent() ? now() - shortSince.getAsLong() : 0;
    return Duration.ofNanos(Math.max(lasted, (long) waitBehind(entries.size())));
  }

  /** Takes note of how long an answer's first part took since its request was sent. */
  void firstPartTook(long nanos) {
    firstPartNanos += NEWER * (nanos - firstPartNanos);
  }

  /** Returns the usual time from sending a request to the first part of its answer. */
  Duration firstPartTime() {
    return Duration.ofNanos((long) firstPartNanos);
  }

  private void lookLater() {
    if (!looking) {
      looking = true;
      clock.schedule(this::look, LOOK.toNanos(), NANOSECONDS);
    }
  }

  private void look() {
    looking = false;
    int misses = 0;
    int before = 0;
    for (Entry entry : ordered()) {
      if (!entries.remove(entry)) {
        continue;
      }
      if (!entry.waiter().mayStart()) {
        entry.waiter().refuse();
        continue;
      }
      if (misses < MISSES_A_LOOK && tryStart(entry.waiter())) {
        continue;
      }
      misses++;
      if (cannotBeServed(entry, before)) {
        entry.waiter().refuse();
      } else {
        entries.add(entry);
        before++;
      }
    }
    if (!entries.isEmpty()) {
      lookLater();
    }
  }

  private boolean tryStart(Waiter waiter) {
    if (!waiter.start()) {
      return false;
    }
    age();
    startsASecond += 1e9 / RATE_NANOS;
    return true;
  }

  private void age() {
    long now = now();
    startsASecond *= Math.exp(-(now - ratedAt) / RATE_NANOS);
    ratedAt = now;
  }

  private boolean cannotBeServed(Entry entry, int before) {
    Waiter waiter = entry.waiter();
    RequestSchedule openings = waiter.openings();
    if (!openings.allowsAny()) {
      return !waiter.continues() || now() + waitBehind(before) > waiter.waitsUntil();
    }
    double expected = Math.max(now() + waitBehind(before), openings.timeOf(before, now()));
    return expected > waiter.waitsUntil();
  }

  private double waitBehind(int requests) {
    age();
    return requests * 1e9 / Math.max(LEAST_RATE, startsASecond);
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
