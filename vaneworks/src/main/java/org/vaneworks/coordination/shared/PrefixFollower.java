package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Supplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Keeps a listener up to date with all items under a key prefix.
 *
 * <p>Reads all items once, then watches for changes from the position of that read. If the store no
 * longer has the history since that position, all items are read again. {@link #confirmedAt}
 * returns the time at which the newest successful call was sent, not the time of its response, so
 * the view is at most that old. Confined to the node's event loop.
 */
public final class PrefixFollower {
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);

  /** After a failure the next watch returns immediately, so that the view is confirmed first. */
  private static final Duration IMMEDIATE_WAIT = Duration.ofMillis(1);

  private static final Duration MAX_BACKOFF = Duration.ofMillis(500);

  /** Receives the items under the prefix and their changes. */
  public interface Listener {
    /** Replaces all items. */
    void replace(ImmutableList<StoredItem> items);

    /** Applies one change; of several changes of a key in one response, only the last is passed. */
    void change(StoreChanges.Change change);

    /** Called after each failed call, except when the store has lost its history. */
    default void unavailable(StoreOutage outage) {}

    /**
     * Called when the store was restored from a backup, including the leases in that backup. A call
     * of {@link #replace} follows.
     */
    default void newEra(long era) {}

    /** Called after all changes in the response to a successful call have been applied. */
    default void upToDate() {}
  }

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final Counters counters;
  private final String prefix;
  private final Supplier<Duration> watchWait;
  private final Supplier<Duration> pause;
  private final Listener listener;
  private final SuspensionDetector suspensions;
  private Optional<StorePosition> position = Optional.empty();
  private OptionalLong newEraSince = OptionalLong.empty();
  private long confirmedAt = Long.MIN_VALUE / 2;
  private long startedAt;
  private Duration backoff = INITIAL_BACKOFF;
  private Optional<StoreOutage> outage = Optional.empty();
  private boolean started;
  private boolean stopped;
  private boolean confirmImmediately;

  /** Number of calls started; only the response to the latest is used. */
  private int pollCount;

  private PrefixFollower(
      Executor clock,
      Random random,
      SharedStore store,
      Counters counters,
      String prefix,
      Supplier<Duration> watchWait,
      Supplier<Duration> pause,
      Listener listener,
      SuspensionDetector suspensions) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.store = checkNotNull(store);
    this.counters = checkNotNull(counters);
    this.prefix = checkNotNull(prefix);
    this.watchWait = checkNotNull(watchWait);
    this.pause = checkNotNull(pause);
    this.listener = checkNotNull(listener);
    this.suspensions = checkNotNull(suspensions);
    suspensions.onWake(this::pollImmediately);
    store.onNewEra(this::newEra);
  }

  /**
   * Returns a follower that makes no calls before {@link #start}.
   *
   * @param watchWait how long the next watch waits for changes; bounds the age of the view while
   *     the store is available
   * @param pause time between a response and the next call, so that changes made shortly after one
   *     another are read in one call
   * @param suspensions after a suspension of the box, the view is confirmed immediately
   */
  public static PrefixFollower create(
      Executor clock,
      Random random,
      SharedStore store,
      Counters counters,
      String prefix,
      Supplier<Duration> watchWait,
      Supplier<Duration> pause,
      Listener listener,
      SuspensionDetector suspensions) {
    return new PrefixFollower(
        clock, random, store, counters, prefix, watchWait, pause, listener, suspensions);
  }

  /** Starts to follow the prefix. */
  public void start() {
    startedAt = clock.currentTime(NANOSECONDS);
    started = true;
    poll();
  }

  /** Stops following; no further calls are made. */
  public void stop() {
    stopped = true;
  }

  /** Returns when the newest successful call was sent, in nanoseconds on the executor's clock. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /** Returns whether the newest successful call was sent less than {@code age} ago. */
  public boolean isConfirmedWithin(Duration age) {
    long awakeSince = suspensions.awakeSince();
    long now = clock.currentTime(NANOSECONDS);
    return confirmedAt >= awakeSince && now - confirmedAt < age.toNanos();
  }

  /**
   * Reads all items again. After a restore the store reuses revisions that this node has already
   * seen, so a watch from the old position would miss changes.
   */
  private void newEra(long era) {
    position = Optional.empty();
    newEraSince = OptionalLong.of(clock.currentTime(NANOSECONDS));
    listener.newEra(era);
    pollImmediately();
  }

  /** Makes a call that does not wait for changes; the response to any pending call is ignored. */
  private void pollImmediately() {
    if (!stopped && started) {
      confirmImmediately = true;
      poll();
    }
  }

  private void schedulePoll(long nanos) {
    int scheduledAfter = pollCount;
    clock.schedule(
        () -> {
          if (pollCount == scheduledAfter) {
            poll();
          }
        },
        nanos,
        NANOSECONDS);
  }

  private void poll() {
    if (stopped) {
      return;
    }
    int pollNumber = ++pollCount;
    // Detects a suspension before the time is read, so that this call counts as made after it.
    suspensions.awakeSince();
    long requestedAt = clock.currentTime(NANOSECONDS);
    if (position.isEmpty()) {
      Async.onDone(
          store.list(prefix),
          clock,
          (view, failure) -> {
            if (pollNumber != pollCount) {
              return;
            }
            if (failure != null) {
              handleFailure(requestedAt, failure);
            } else {
              apply(() -> replaceView(view, requestedAt));
            }
          });
      return;
    }
    Async.onDone(
        store.watch(prefix, position.get(), nextWait()),
        clock,
        (changes, failure) -> {
          if (pollNumber != pollCount) {
            return;
          }
          if (failure != null) {
            handleFailure(requestedAt, failure);
          } else {
            apply(() -> changeView(changes, requestedAt));
          }
        });
  }

  private void replaceView(StoreSnapshot view, long requestedAt) {
    position = Optional.of(view.position());
    listener.replace(view.items());
    newEraSince.ifPresent(since -> logReread(since, view));
    newEraSince = OptionalLong.empty();
    handleSuccess(requestedAt, "whole");
  }

  private void changeView(StoreChanges changes, long requestedAt) {
    position = Optional.of(max(position.get(), changes.position()));
    changes.latestPerKey().forEach(listener::change);
    handleSuccess(requestedAt, changes.changes().size() + " changes");
  }

  /** Applies what was read. If the listener throws, the view counts as old and is read again. */
  private void apply(Runnable update) {
    try {
      update.run();
    } catch (RuntimeException e) {
      EventLog.error(Event.TASK_FAILED, e, "prefix", prefix);
      position = Optional.empty();
      retryLater();
    }
  }

  private void logReread(long since, StoreSnapshot view) {
    EventLog.info(
        Event.STORE_READ_ANEW,
        "prefix",
        prefix,
        "items",
        view.items().size(),
        "position",
        view.position(),
        "afterMs",
        NANOSECONDS.toMillis(clock.currentTime(NANOSECONDS) - since));
  }

  private static StorePosition max(StorePosition a, StorePosition b) {
    return b.isAfter(a) ? b : a;
  }

  private Duration nextWait() {
    return outage.isPresent() || confirmImmediately ? IMMEDIATE_WAIT : watchWait.get();
  }

  private void handleSuccess(long requestedAt, String read) {
    if (stopped) {
      return;
    }
    listener.upToDate();
    outage.ifPresent(ended -> logRecovery(ended, requestedAt, read));
    outage = Optional.empty();
    confirmedAt = Math.max(confirmedAt, requestedAt);
    backoff = INITIAL_BACKOFF;
    confirmImmediately = false;
    schedulePoll(pause.get().toNanos());
  }

  private void logRecovery(StoreOutage ended, long requestedAt, String read) {
    EventLog.info(
        Event.STORE_RECOVERED,
        "prefix",
        prefix,
        "silentMs",
        NANOSECONDS.toMillis(requestedAt - ended.lastConfirmedAt()),
        "failedCalls",
        ended.failedCalls(),
        "lastCallBegunMsAgo",
        NANOSECONDS.toMillis(clock.currentTime(NANOSECONDS) - ended.lastCallStartedAt()),
        "lastCause",
        ended.lastCause(),
        "read",
        read);
  }

  private void handleFailure(long requestedAt, Throwable failure) {
    recordFailure(requestedAt, failure);
    if (isHistoryLost(failure)) {
      position = Optional.empty();
      backoff = INITIAL_BACKOFF; // The store is available.
    } else {
      outage.ifPresent(listener::unavailable);
    }
    retryLater();
  }

  private void retryLater() {
    long jittered = (long) (backoff.toNanos() * (0.5 + random.nextDouble()));
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
    schedulePoll(jittered);
  }

  private void recordFailure(long requestedAt, Throwable failure) {
    counters.count(Metric.STORE_FAILURES, prefix);
    if (outage.isEmpty()) {
      EventLog.warn(Event.STORE_FAILED, "prefix", prefix, "cause", failure.getMessage());
    }
    StoreOutage before =
        outage.orElseGet(() -> StoreOutage.since(Math.max(confirmedAt, startedAt), position));
    outage = Optional.of(before.withFailure(requestedAt, String.valueOf(failure.getMessage())));
  }

  private static boolean isHistoryLost(Throwable failure) {
    return failure instanceof SharedStoreException lost
        && lost.kind() == SharedStoreException.Kind.HISTORY_LOST;
  }
}
