package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.vaneworks.coordination.fleet.RequestSchedule;

/**
 * Queue of requests that wait for capacity at the endpoints of one service.
 *
 * <p>Interrupted streams come first, then requests that can still meet their objective, then late
 * ones; each group is ordered by priority and then by the shares of workspaces ({@link
 * WorkspaceShares}), which within a workspace means by arrival. So a shortage delays few requests
 * instead of all, a workspace that sends more than its share delays its own requests, and late
 * requests are served if capacity is left while their callers wait. A request waits only while it
 * is expected to start before its caller gives up, given its position and the recent start rate of
 * this node. Otherwise, and while no endpoint could run it at all, it is refused immediately. An
 * interrupted stream, which is lost if it is refused, waits as long as its caller. Confined to the
 * node's event loop.
 */
final class CapacityQueue {
  /** Interval between polls for capacity; each poll costs a few path searches. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

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
    /** The request can still meet its objective, or would if it were smaller. */
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

    /** Ends the request, one of whose other methods has thrown an exception. */
    default void fail(RuntimeException cause) {
      throw cause;
    }

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

    /** Returns what a start takes of the share of the request's workspace. */
    WorkspaceCharge charge();

    /** Returns whether an attempt of the request is in progress, which a start would replace. */
    boolean hasAttempt();

    /**
     * Called after a start.
     *
     * @param waited whether the request was queued before
     */
    default void started(boolean waited) {}
  }

  /** A request in the queue. */
  static final class Entry {
    private final Waiter waiter;
    private final WorkspaceCharge charge;
    private final long queuedAt;
    private final double arrivedAt;
    private int passesInWorkspace;
    private int passesByOthers;

    /**
     * Creates an entry.
     *
     * @param queuedAt arrival in nanoseconds of the executor's clock
     * @param arrivedAt arrival in virtual time of the request's priority
     */
    private Entry(Waiter waiter, long queuedAt, double arrivedAt) {
      this.waiter = waiter;
      this.charge = waiter.charge();
      this.queuedAt = queuedAt;
      this.arrivedAt = arrivedAt;
    }

    Waiter waiter() {
      return waiter;
    }

    WorkspaceCharge charge() {
      return charge;
    }

    /** Returns how often later requests of the same workspace have started before this one. */
    int passesInWorkspace() {
      return passesInWorkspace;
    }

    /** Records that a later request has started before this one. */
    void recordPass(boolean sameWorkspace) {
      if (sameWorkspace) {
        passesInWorkspace++;
      } else {
        passesByOthers++;
      }
    }

    Rank rank(long now) {
      if (waiter.continues()) {
        return Rank.CONTINUES;
      }
      // A large request that smaller ones of other workspaces keep passing over is late because of
      // its size. Behind all requests that are on time it would hardly ever start.
      boolean passedOver = passesByOthers >= PollAttempts.MAX_PASSES;
      return passedOver || now <= waiter.onTimeUntil() ? Rank.ON_TIME : Rank.LATE;
    }
  }

  private final Executor clock;
  private final List<Entry> entries = new ArrayList<>();
  private final WorkspaceShares shares = new WorkspaceShares();
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
    Entry entry = new Entry(waiter, now(), shares.virtualTime(waiter.priority()));
    if (entries.isEmpty() && tryStart(entry)) {
      waiter.started(false);
      shares.removePast();
      shortageSince = OptionalLong.empty();
      return;
    }
    if (shortageSince.isEmpty()) {
      shortageSince = OptionalLong.of(now());
    }
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
    try {
      pollEntries();
    } finally {
      if (!entries.isEmpty()) {
        schedulePoll();
      }
    }
  }

  private void pollEntries() {
    PollAttempts attempts = new PollAttempts();
    int ahead = 0;
    for (Entry entry : ordered()) {
      try {
        if (entries.remove(entry) && waits(entry, ahead, attempts)) {
          entries.add(entry);
          ahead++;
        }
      } catch (RuntimeException e) {
        entry.waiter().fail(e);
      }
    }
  }

  /** Starts or refuses a request, unless it is to wait; returns whether it is. */
  private boolean waits(Entry entry, int ahead, PollAttempts attempts) {
    if (!entry.waiter().mayStart()) {
      entry.waiter().refuse();
      return false;
    }
    if (attempts.mayTry(entry)) {
      if (tryStart(entry)) {
        attempts.started(entry);
        entry.waiter().started(true);
        return false;
      }
      attempts.missed(entry);
    }
    if (cannotBeServed(entry, ahead)) {
      entry.waiter().refuse();
      return false;
    }
    attempts.waits(entry);
    return true;
  }

  private boolean tryStart(Entry entry) {
    if (!entry.waiter().start()) {
      return false;
    }
    shares.recordStart(entry.waiter().priority(), entry.arrivedAt, entry.charge());
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

  /** An entry with its place in the order, which is computed once for all comparisons. */
  private static final class Position {
    private final Entry entry;
    private final Rank rank;
    private final int priority;
    private double startTag;

    Position(Entry entry, long now) {
      this.entry = entry;
      this.rank = entry.rank(now);
      this.priority = entry.waiter().priority();
    }

    static int byGroup(Position one, Position other) {
      int byRank = one.rank.compareTo(other.rank);
      return byRank != 0 ? byRank : Integer.compare(one.priority, other.priority);
    }

    static int byArrival(Position one, Position other) {
      int byGroup = byGroup(one, other);
      return byGroup != 0 ? byGroup : Long.compare(one.entry.queuedAt, other.entry.queuedAt);
    }

    static int byStartTag(Position one, Position other) {
      int byGroup = byGroup(one, other);
      return byGroup != 0 ? byGroup : Double.compare(one.startTag, other.startTag);
    }
  }

  private ImmutableList<Entry> ordered() {
    long now = now();
    List<Position> positions = new ArrayList<>(entries.size());
    for (Entry entry : entries) {
      positions.add(new Position(entry, now));
    }
    positions.sort(Position::byArrival);
    WorkspaceShares.Forecast forecast = shares.forecast();
    for (Position position : positions) {
      Entry entry = position.entry;
      position.startTag = forecast.next(position.priority, entry.arrivedAt, entry.charge);
    }
    // The sort is stable: entries with equal start tags stay ordered by arrival.
    positions.sort(Position::byStartTag);
    ImmutableList.Builder<Entry> ordered = ImmutableList.builderWithExpectedSize(entries.size());
    positions.forEach(position -> ordered.add(position.entry));
    return ordered.build();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
