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
 * A lease in the store that is opened, renewed, and opened anew when the store ended it.
 *
 * <p>It counts as held until its lifetime after the last renewal was asked, by this node's clock;
 * the store may end it later, never sooner. Confined to the node's event loop.
 */
final class HeldLease {
  private final Executor clock;
  private final SharedStore store;
  private final SuspensionWatch suspensions;
  private final Duration lifetime;
  private final Duration renewal;
  private final LongConsumer onOpened;
  private final Consumer<String> onLost;
  private OptionalLong id = OptionalLong.empty();
  private long renewedAt = Long.MIN_VALUE / 2;
  private boolean wanted;

  /** Rises with each start and lease, so that calls of an earlier one change nothing. */
  private int start;

  /**
   * Makes a lease that is not open.
   *
   * @param suspensions after one the lease is not known to be held before it is renewed
   * @param renewal how often it is renewed; well below the lifetime
   * @param onOpened is told the id of each lease that is opened
   * @param onLost is told why a lease is over that was not released
   */
  HeldLease(
      Executor clock,
      SharedStore store,
      SuspensionWatch suspensions,
      Duration lifetime,
      Duration renewal,
      LongConsumer onOpened,
      Consumer<String> onLost) {
    this.clock = checkNotNull(clock);
    this.store = checkNotNull(store);
    this.suspensions = checkNotNull(suspensions);
    this.lifetime = checkNotNull(lifetime);
    this.renewal = checkNotNull(renewal);
    this.onOpened = checkNotNull(onOpened);
    this.onLost = checkNotNull(onLost);
    suspensions.onWake(this::renewNow);
  }

  /** Opens the lease and keeps it, if that is not under way. */
  void keep() {
    if (!wanted) {
      wanted = true;
      start++;
      renewOrOpen(start);
    }
  }

  /** Renews no longer; the store ends the lease in its time. */
  void release() {
    wanted = false;
    id = OptionalLong.empty();
  }

  /** Ends the lease at once, so that others need not wait for it to lapse. */
  void end() {
    id.ifPresent(open -> Async.ignore(store.endLease(open)));
    release();
  }

  /** Returns the id of the lease that was opened last and is not known to be over. */
  OptionalLong id() {
    return id;
  }

  /** Returns whether the store still keeps the lease for sure. */
  boolean isHeld() {
    long awakeSince = suspensions.awakeSince();
    long age = clock.currentTime(NANOSECONDS) - renewedAt;
    return id.isPresent() && renewedAt >= awakeSince && age < lifetime.toNanos();
  }

  private void renewNow() {
    if (wanted && id.isPresent()) {
      start++;
      renewOrOpen(start);
    }
  }

  /** Takes note that the store has ended the lease; another is opened after the wait. */
  void over(String cause, Duration wait) {
    if (!wanted || id.isEmpty()) {
      return;
    }
    id = OptionalLong.empty();
    start++;
    int began = start;
    onLost.accept(cause);
    clock.schedule(() -> renewOrOpen(began), wait.toNanos(), NANOSECONDS);
  }

  private void renewOrOpen(int began) {
    if (!wanted || began != start) {
      return;
    }
    // Before the time is read: what is asked after a suspension has to count as such.
    suspensions.awakeSince();
    long askedAt = clock.currentTime(NANOSECONDS);
    if (id.isPresent()) {
      Async.onDone(
          store.renew(id.getAsLong()),
          clock,
          (alive, failure) -> {
            if (!wanted || began != start) {
              return;
            }
            if (failure == null && !alive) {
              over("the store ended the lease", Duration.ZERO);
              return;
            }
            if (failure == null) {
              renewedAt = askedAt;
            }
            later(began);
          });
    } else {
      Async.onDone(
          store.openLease(lifetime),
          clock,
          (opened, failure) -> {
            if (wanted && began == start) {
              // A failure is counted by the store's own meters; the next renewal tries again.
              if (failure == null) {
                opened(askedAt, opened);
              }
              later(began);
            }
          });
    }
  }

  private void opened(long askedAt, long newId) {
    id = OptionalLong.of(newId);
    renewedAt = askedAt;
    onOpened.accept(newId);
  }

  private void later(int began) {
    clock.schedule(() -> renewOrOpen(began), renewal.toNanos(), NANOSECONDS);
  }
}
