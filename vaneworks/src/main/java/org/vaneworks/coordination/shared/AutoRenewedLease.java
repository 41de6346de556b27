package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.vaneworks.coordination.concurrent.Async;

/**
 * A lease in the store that is renewed periodically, and opened again after the store ended it.
 *
 * <p>The lease counts as held until its lifetime has passed since the last successful renewal was
 * requested, on this node's clock. The store starts counting later and so never ends the lease
 * sooner. Confined to the node's event loop.
 */
final class AutoRenewedLease {
  private final Executor clock;
  private final SharedStore store;
  private final SuspensionDetector suspensions;
  private final Duration lifetime;
  private final Duration renewalInterval;
  private final LongConsumer onOpened;
  private final Consumer<String> onLost;
  private OptionalLong id = OptionalLong.empty();
  private long renewedAt = Long.MIN_VALUE / 2;
  private boolean started;

  /**
   * Incremented by each start and each lost lease; callbacks of an older generation are ignored.
   */
  private int generation;

  /**
   * Creates a lease that is not open yet.
   *
   * @param suspensions after a suspension of the box, the lease does not count as held until it has
   *     been renewed
   * @param renewalInterval interval between renewals; well below the lifetime
   * @param onOpened receives the id of each lease that is opened
   * @param onLost receives the cause when a lease ends without having been released
   */
  AutoRenewedLease(
      Executor clock,
      SharedStore store,
      SuspensionDetector suspensions,
      Duration lifetime,
      Duration renewalInterval,
      LongConsumer onOpened,
      Consumer<String> onLost) {
    this.clock = checkNotNull(clock);
    this.store = checkNotNull(store);
    this.suspensions = checkNotNull(suspensions);
    this.lifetime = checkNotNull(lifetime);
    this.renewalInterval = checkNotNull(renewalInterval);
    this.onOpened = checkNotNull(onOpened);
    this.onLost = checkNotNull(onLost);
    suspensions.onWake(this::renewImmediately);
  }

  /** Opens the lease and starts to renew it; does nothing if already started. */
  void start() {
    if (!started) {
      started = true;
      generation++;
      renewOrOpen(generation);
    }
  }

  /** Stops renewing the lease; the store ends it when its lifetime has passed. */
  void release() {
    started = false;
    id = OptionalLong.empty();
  }

  /** Ends the lease immediately, so that other nodes need not wait for it to expire. */
  void end() {
    id.ifPresent(open -> Async.ignore(store.endLease(open)));
    release();
  }

  /** Returns the id of the most recently opened lease, unless it is known to have ended. */
  OptionalLong id() {
    return id;
  }

  /** Returns whether the store is certain to still hold the lease. */
  boolean isHeld() {
    long awakeSince = suspensions.awakeSince();
    long age = clock.currentTime(NANOSECONDS) - renewedAt;
    return id.isPresent() && renewedAt >= awakeSince && age < lifetime.toNanos();
  }

  private void renewImmediately() {
    if (started && id.isPresent()) {
      generation++;
      renewOrOpen(generation);
    }
  }

  /** Records that the store has ended the lease, and opens another one after the delay. */
  void markLost(String cause, Duration delay) {
    if (!started || id.isEmpty()) {
      return;
    }
    id = OptionalLong.empty();
    generation++;
    int startedGeneration = generation;
    onLost.accept(cause);
    clock.schedule(() -> renewOrOpen(startedGeneration), delay.toNanos(), NANOSECONDS);
  }

  private void renewOrOpen(int startedGeneration) {
    if (!started || startedGeneration != generation) {
      return;
    }
    // Detects a suspension before the time is read, so that this request counts as made after it.
    suspensions.awakeSince();
    long requestedAt = clock.currentTime(NANOSECONDS);
    if (id.isPresent()) {
      Async.onDone(
          store.renew(id.getAsLong()),
          clock,
          (alive, failure) -> {
            if (!started || startedGeneration != generation) {
              return;
            }
            if (failure == null && !alive) {
              markLost("the store ended the lease", Duration.ZERO);
              return;
            }
            if (failure == null) {
              renewedAt = requestedAt;
            }
            scheduleRenewal(startedGeneration);
          });
    } else {
      Async.onDone(
          store.openLease(lifetime),
          clock,
          (opened, failure) -> {
            if (started && startedGeneration == generation) {
              // Failures are counted by MeasuredStore; the next renewal retries.
              if (failure == null) {
                recordOpened(requestedAt, opened);
              }
              scheduleRenewal(startedGeneration);
            }
          });
    }
  }

  private void recordOpened(long requestedAt, long newId) {
    id = OptionalLong.of(newId);
    renewedAt = requestedAt;
    onOpened.accept(newId);
  }

  private void scheduleRenewal(int startedGeneration) {
    clock.schedule(() -> renewOrOpen(startedGeneration), renewalInterval.toNanos(), NANOSECONDS);
  }
}
