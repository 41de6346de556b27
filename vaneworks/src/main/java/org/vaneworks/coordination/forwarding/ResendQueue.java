package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Queue of interrupted streams of a service that wait for this node's retry budget.
 *
 * <p>Streams are ordered by priority and arrival. No other request of the service gets a retry
 * while one waits: an interrupted stream is lost if it is refused, a request without any part of a
 * response can be retried by its caller, and a stream that fails over still has an attempt. A
 * stream waits while its caller does, and only if the budget can allow a retry again. While the
 * reserve of a process that has just started grows, requests without any part of a response wait as
 * well, behind the streams. Confined to the node's event loop.
 */
final class ResendQueue {
  /** Interval between polls of the budget. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  /** A waiting stream or request. */
  interface Waiter {
    /** Called once a retry has been reserved, which the stream must withdraw or release. */
    void granted();

    /** Called when no retry is available in time. */
    void refused();

    /** Ends the stream, one of whose other methods has thrown an exception. */
    void fail(RuntimeException cause);

    /** Returns until when the stream may wait, in nanoseconds of the executor's clock. */
    long waitsUntil();

    /** Returns whether the caller has received a part of the response. */
    boolean isInterrupted();

    /** Returns the priority; 0 is the most urgent. */
    int priority();
  }

  private static final Comparator<Waiter> ORDER =
      Comparator.comparing(Waiter::isInterrupted, Comparator.reverseOrder())
          .thenComparingInt(Waiter::priority);

  private final Executor clock;
  private final ResendBudget budget;

  /** The waiting streams, in the order of arrival. */
  private final List<Waiter> waiters = new ArrayList<>();

  private boolean pollScheduled;

  ResendQueue(Executor clock, ResendBudget budget) {
    this.clock = checkNotNull(clock);
    this.budget = checkNotNull(budget);
  }

  /** Grants a retry if the budget allows one; otherwise queues or refuses the stream. */
  void join(Waiter waiter) {
    waiters.add(waiter);
    budget.startAwaiting();
    serve();
  }

  /** Removes a stream, for example because its caller disconnected. */
  void leave(Waiter waiter) {
    if (waiters.remove(waiter)) {
      budget.stopAwaiting();
    }
  }

  private void serve() {
    for (Waiter waiter : ordered()) {
      try {
        serve(waiter);
      } catch (RuntimeException e) {
        waiter.fail(e);
      }
    }
    if (!waiters.isEmpty() && !pollScheduled) {
      pollScheduled = true;
      clock.schedule(this::poll, POLL_INTERVAL.toNanos(), NANOSECONDS);
    }
  }

  private void serve(Waiter waiter) {
    // A waiter that is granted a retry may fail immediately and join again.
    if (!waiters.contains(waiter)) {
      return;
    }
    if (budget.tryReserveAwaited()) {
      waiters.remove(waiter);
      waiter.granted();
    } else if (!budget.canRecover() || now() > waiter.waitsUntil()) {
      leave(waiter);
      waiter.refused();
    }
  }

  private void poll() {
    pollScheduled = false;
    serve();
  }

  private ImmutableList<Waiter> ordered() {
    return ImmutableList.sortedCopyOf(ORDER, waiters);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
