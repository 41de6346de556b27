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
 * Fetches new configuration heads from the platform's store.
 *
 * <p>A few nodes keep a watch open. The others poll at a long interval and receive changes from
 * their peers in between. The number of watchers affects only efficiency, not correctness.
 */
public final class ConfigurationFollower {
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(12);
  private static final Duration INITIAL_POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);
  private static final int MAX_DOUBLINGS = 5;

  private final Executor executor;
  private final PlatformStore store;
  private final ActiveConfiguration configuration;
  private final BooleanSupplier shouldWatch;
  private final Random random;
  private volatile boolean stopped;
  private volatile long revision;
  private int failures;

  private ConfigurationFollower(
      Executor executor,
      PlatformStore store,
      ActiveConfiguration configuration,
      BooleanSupplier shouldWatch,
      Random random) {
    this.executor = checkNotNull(executor);
    this.store = checkNotNull(store);
    this.configuration = checkNotNull(configuration);
    this.shouldWatch = checkNotNull(shouldWatch);
    this.random = checkNotNull(random);
  }

  /**
   * Returns a follower that has not been started.
   *
   * @param shouldWatch whether this node should currently keep a watch open
   */
  public static ConfigurationFollower create(
      Executor executor,
      PlatformStore store,
      ActiveConfiguration configuration,
      BooleanSupplier shouldWatch,
      Random random) {
    return new ConfigurationFollower(executor, store, configuration, shouldWatch, random);
  }

  /** Starts to follow the head. */
  public void start() {
    executor.execute(this::poll);
  }

  /** Stops following the head; the result of a pending call is ignored. */
  public void stop() {
    stopped = true;
  }

  private void poll() {
    if (stopped) {
      return;
    }
    boolean watch = configuration.isLoaded() && shouldWatch.getAsBoolean();
    var answer =
        watch
            ? store.watch(ConfigurationHead.KEY, revision, WATCH_WAIT)
            : store.read(ConfigurationHead.KEY, StorePurpose.HEAD);
    Async.onDone(answer, executor, (entry, failure) -> handleResponse(watch, entry, failure));
  }

  private void handleResponse(boolean watched, Optional<StoreEntry> entry, Throwable failure) {
    if (failure != null) {
      schedulePoll(nextBackoff());
      return;
    }
    if (entry.isEmpty()) {
      if (!watched) {
        configuration.offerEmpty();
      }
      handleSuccess(watched);
      return;
    }
    Async.onDone(
        configuration.offer(entry.get().value(), hashes -> PageSource.of(store).pages(hashes)),
        executor,
        (done, offerFailure) -> handleOffered(watched, entry.get(), offerFailure));
  }

  private void handleOffered(boolean watched, StoreEntry entry, Throwable offerFailure) {
    if (offerFailure != null) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", offerFailure);
      schedulePoll(nextBackoff());
      return;
    }
    // Set only after success, so that the next watch returns a head whose pages were not fetched.
    revision = Math.max(revision, entry.revision());
    handleSuccess(watched);
  }

  private void handleSuccess(boolean watched) {
    failures = 0;
    boolean watchNext = configuration.isLoaded() && shouldWatch.getAsBoolean();
    schedulePoll(
        watchNext || watched
            ? Duration.ZERO
            : jittered(configuration.isLoaded() ? POLL_INTERVAL : INITIAL_POLL_INTERVAL));
  }

  private Duration nextBackoff() {
    failures++;
    return jittered(INITIAL_BACKOFF.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS)));
  }

  private Duration jittered(Duration base) {
    return Duration.ofNanos((long) (base.toNanos() * (0.75 + random.nextDouble() / 2)));
  }

  private void schedulePoll(Duration delay) {
    executor.schedule(this::poll, delay);
  }
}
