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
 * Keeps a listener up to date with all items under a prefix.
 *
 * <p>One whole read, then watches from its position; a whole read again when the store has
 * forgotten what changed. {@link #confirmedAt} is the age of the view: the time at which the newest
 * answered call was asked, never that of its answer. Confined to the node's event loop.
 */
public final class PrefixFollower {
  private static final Duration FIRST_BACK_OFF = Duration.ofMillis(50);

  /** After a failure the view is confirmed first, before a watch waits for changes again. */
  private static final Duration NO_WAIT = Duration.ofMillis(1);

  private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(500);

  /** Is told what a follower sees. */
  public interface Listener {
    /** Takes everything that there is. */
    void replace(ImmutableList<StoredItem> items);

    /** Takes one change; of several changes of a key in one answer only the last is handed over. */
    void change(StoreChanges.Change change);

    /** Takes note that the store is silent; called at each failed call. */
    default void silent(StoreSilence silence) {}

    /**
     * Takes note that the store has come back from an older copy, with leases of then; a whole read
     * follows.
     */
    default void newEra(long era) {}

    /** Takes note that everything up to an answered call has been handed over. */
    default void upToDate() {}
  }

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final Counters counters;
  private final String prefix;
  private final Supplier<Duration> wait;
  private final Supplier<Duration> pause;
  private final Listener listener;
  private final SuspensionWatch suspensions;
  private Optional<StorePosition> position = Optional.empty();
  private OptionalLong newEraSince = OptionalLong.empty();
  private long confirmedAt = Long.MIN_VALUE / 2;
  private long startedAt;
  private Duration backOff = FIRST_BACK_OFF;
  private Optional<StoreSilence> silence = Optional.empty();
  private boolean started;
  private boolean stopped;
  private boolean confirmAtOnce;

  /** Calls begun; the answer to all but the last is ignored. */
  private int asks;

  private PrefixFollower(
      Executor clock,
      Random random,
      SharedStore store,
      Counters counters,
      String prefix,
      Supplier<Duration> wait,
      Supplier<Duration> pause,
      Listener listener,
      SuspensionWatch suspensions) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.store = checkNotNull(store);
    this.counters = checkNotNull(counters);
    this.prefix = checkNotNull(prefix);
    this.wait = checkNotNull(wait);
    this.pause = checkNotNull(pause);
    this.listener = checkNotNull(listener);
    this.suspensions = checkNotNull(suspensions);
    suspensions.onWake(this::askAnew);
    store.onNewEra(this::newEra);
  }

  /**
   * Returns a follower that asks nothing before {@link #start}.
   *
   * @param wait how long the next watch waits; bounds the age of the view while the store answers
   * @param pause between an answer and the next call, so that changes that come together cost one
   * @param suspensions after one the view is confirmed at once
   */
  public static PrefixFollower create(
      Executor clock,
      Random random,
      SharedStore store,
      Counters counters,
      String prefix,
      Supplier<Duration> wait,
      Supplier<Duration> pause,
      Listener listener,
      SuspensionWatch suspensions) {
    return new PrefixFollower(
        clock, random, store, counters, prefix, wait, pause, listener, suspensions);
  }

  /** Begins to follow. */
  public void start() {
    startedAt = clock.currentTime(NANOSECONDS);
    started = true;
    ask();
  }

  /** Asks nothing more. */
  public void stop() {
    stopped = true;
  }

  /** Returns when the newest answered call was asked, on the clock. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /** Returns whether the view was confirmed by a call that was asked within that time. */
  public boolean isConfirmedWithin(Duration age) {
    long awakeSince = suspensions.awakeSince();
    long now = clock.currentTime(NANOSECONDS);
    return confirmedAt >= awakeSince && now - confirmedAt < age.toNanos();
  }

  /**
   * Reads all anew: the store gives out numbers again that were seen already, so that changes since
   * would not be told.
   */
  private void newEra(long era) {
    position = Optional.empty();
    newEraSince = OptionalLong.of(clock.currentTime(NANOSECONDS));
    listener.newEra(era);
    askAnew();
  }

  /** Asks without a wait; the answer to what was asked before is not waited for any more. */
  private void askAnew() {
    if (!stopped && started) {
      confirmAtOnce = true;
      ask();
    }
  }

  private void askLater(long nanos) {
    int after = asks;
    clock.schedule(
        () -> {
          if (asks == after) {
            ask();
          }
        },
        nanos,
        NANOSECONDS);
  }

  private void ask() {
    if (stopped) {
      return;
    }
    int ask = ++asks;
    // Before the time is read: what is asked after a suspension has to count as such.
    suspensions.awakeSince();
    long askedAt = clock.currentTime(NANOSECONDS);
    if (position.isEmpty()) {
      Async.onDone(
          store.list(prefix),
          clock,
          (view, failure) -> {
            if (ask != asks) {
              return;
            }
            if (failure != null) {
              retry(askedAt, failure);
            } else {
              position = Optional.of(view.position());
              listener.replace(view.items());
              newEraSince.ifPresent(since -> tellReadAnew(since, view));
              newEraSince = OptionalLong.empty();
              answered(askedAt, "whole");
            }
          });
      return;
    }
    Async.onDone(
        store.watch(prefix, position.get(), nextWait()),
        clock,
        (changes, failure) -> {
          if (ask != asks) {
            return;
          }
          if (failure != null) {
            retry(askedAt, failure);
          } else {
            position = Optional.of(later(position.get(), changes.position()));
            changes.newestOfEachKey().forEach(listener::change);
            answered(askedAt, changes.changes().size() + " changes");
          }
        });
  }

  private void tellReadAnew(long since, StoreView view) {
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

  private static StorePosition later(StorePosition one, StorePosition other) {
    return other.isAfter(one) ? other : one;
  }

  private Duration nextWait() {
    return silence.isPresent() || confirmAtOnce ? NO_WAIT : wait.get();
  }

  private void answered(long askedAt, String read) {
    if (stopped) {
      return;
    }
    listener.upToDate();
    silence.ifPresent(over -> tellRecovery(over, askedAt, read));
    silence = Optional.empty();
    confirmedAt = Math.max(confirmedAt, askedAt);
    backOff = FIRST_BACK_OFF;
    confirmAtOnce = false;
    askLater(pause.get().toNanos());
  }

  private void tellRecovery(StoreSilence over, long askedAt, String read) {
    EventLog.info(
        Event.STORE_RECOVERED,
        "prefix",
        prefix,
        "silentMs",
        NANOSECONDS.toMillis(askedAt - over.lastAnswerAskedAt()),
        "failedCalls",
        over.failedCalls(),
        "lastCallBegunMsAgo",
        NANOSECONDS.toMillis(clock.currentTime(NANOSECONDS) - over.lastCallBegunAt()),
        "lastCause",
        over.lastCause(),
        "read",
        read);
  }

  private void retry(long askedAt, Throwable failure) {
    noteFailure(askedAt, failure);
    if (historyLost(failure)) {
      position = Optional.empty();
      backOff = FIRST_BACK_OFF; // The store did answer.
    } else {
      silence.ifPresent(listener::silent);
    }
    long jittered = (long) (backOff.toNanos() * (0.5 + random.nextDouble()));
    Duration doubled = backOff.multipliedBy(2);
    backOff = doubled.compareTo(LONGEST_BACK_OFF) > 0 ? LONGEST_BACK_OFF : doubled;
    askLater(jittered);
  }

  private void noteFailure(long askedAt, Throwable failure) {
    counters.count(Metric.STORE_FAILURES, prefix);
    if (silence.isEmpty()) {
      EventLog.warn(Event.STORE_FAILED, "prefix", prefix, "cause", failure.getMessage());
    }
    StoreSilence before =
        silence.orElseGet(() -> StoreSilence.since(Math.max(confirmedAt, startedAt), position));
    silence = Optional.of(before.and(askedAt, String.valueOf(failure.getMessage())));
  }

  private static boolean historyLost(Throwable failure) {
    return failure instanceof SharedStoreException lost
        && lost.kind() == SharedStoreException.Kind.HISTORY_LOST;
  }
}
