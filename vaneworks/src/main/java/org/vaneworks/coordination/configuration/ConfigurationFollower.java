package org.vaneworks.coordination.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.store.PageSource;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StorePurpose;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Keeps asking the platform's store for newer heads.
 *
 * <p>A few nodes wait on a watch; the others poll slowly and hear of changes from their peers
 * meanwhile. Which nodes watch is for efficiency only: any number of watchers is safe.
 */
public final class ConfigurationFollower {
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final Duration POLL = Duration.ofSeconds(12);
  private static final Duration UNREADY_POLL = Duration.ofMillis(500);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);
  private static final int MAX_DOUBLINGS = 5;

  private final Executor executor;
  private final PlatformStore store;
  private final ActiveConfiguration board;
  private final BooleanSupplier watches;
  private final Random random;
  private volatile boolean stopped;
  private volatile long revision;
  private int failures;

  private ConfigurationFollower(
      Executor executor,
      PlatformStore store,
      ActiveConfiguration board,
      BooleanSupplier watches,
      Random random) {
    this.executor = checkNotNull(executor);
    this.store = checkNotNull(store);
    this.board = checkNotNull(board);
    this.watches = checkNotNull(watches);
    this.random = checkNotNull(random);
  }

  /**
   * Returns a follower that is yet to be started.
   *
   * @param watches whether this node is among those that hold a watch now
   */
  public static ConfigurationFollower create(
      Executor executor,
      PlatformStore store,
      ActiveConfiguration board,
      BooleanSupplier watches,
      Random random) {
    return new ConfigurationFollower(executor, store, board, watches, random);
  }

  /** Starts to follow. */
  public void start() {
    executor.execute(this::ask);
  }

  /** Stops to follow; a call on its way is let go. */
  public void stop() {
    stopped = true;
  }

  private void ask() {
    if (stopped) {
      return;
    }
    boolean watch = board.isLoaded() && watches.getAsBoolean();
    var answer =
        watch
            ? store.watch(ConfigurationHead.KEY, revision, WATCH)
            : store.read(ConfigurationHead.KEY, StorePurpose.HEAD);
    Async.onDone(answer, executor, (entry, failure) -> answered(watch, entry, failure));
  }

  private void answered(boolean watched, Optional<StoreEntry> entry, Throwable failure) {
    if (failure != null) {
      askAgain(backoff());
      return;
    }
    if (entry.isEmpty()) {
      if (!watched) {
        board.offerEmpty();
      }
      succeeded(watched);
      return;
    }
    Async.onDone(
        board.offer(entry.get().value(), hashes -> PageSource.of(store).pages(hashes)),
        executor,
        (done, unreadable) -> offered(watched, entry.get(), unreadable));
  }

  private void offered(boolean watched, StoreEntry entry, Throwable unreadable) {
    if (unreadable != null) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", unreadable);
      askAgain(backoff());
      return;
    }
    // Only now: a head whose pages could not be had must be seen again by the next watch.
    revision = Math.max(revision, entry.revision());
    succeeded(watched);
  }

  private void succeeded(boolean watched) {
    failures = 0;
    boolean watchNext = board.isLoaded() && watches.getAsBoolean();
    askAgain(
        watchNext || watched ? Duration.ZERO : jittered(board.isLoaded() ? POLL : UNREADY_POLL));
  }

  private Duration backoff() {
    failures++;
    return jittered(FIRST_BACKOFF.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS)));
  }

  private Duration jittered(Duration base) {
    return Duration.ofNanos((long) (base.toNanos() * (0.75 + random.nextDouble() / 2)));
  }

  private void askAgain(Duration delay) {
    executor.schedule(this::ask, delay);
  }
}
