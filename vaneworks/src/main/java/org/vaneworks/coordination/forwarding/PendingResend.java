package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.state.Verdict;

/**
 * Decides whether and when a request whose attempt has ended is sent again.
 *
 * <p>Before that, the request waits until it is known whether its engine has crashed, if that
 * matters, and for the retry budget, if its caller has a part of the response or this process has
 * just started. The retry is reserved then, and withdrawn from the budget when the request is sent.
 * Confined to the node's event loop.
 */
final class PendingResend {
  /**
   * Time within which a crashed endpoint can be distinguished from a lost connection. Waiting for
   * it prevents a request that crashes endpoints from being sent to another one, and an interrupted
   * stream from being aborted because of runs that do not count.
   */
  static final Duration FAILURE_DETECTION_DELAY = Duration.ofMillis(100);

  /** Interval between polls for an endpoint to which a stream may return. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  /**
   * An attempt that ended without a complete response.
   *
   * @param arrived whether the request may have arrived at an endpoint
   * @param triedAt the endpoint
   * @param detail the cause, including whether a partial event was dropped
   */
  record EndedAttempt(
      Verdict verdict,
      boolean arrived,
      AttemptFailure failure,
      String cause,
      String triedAt,
      String detail) {}

  /** Operations of the request that is to be sent again. */
  interface Callbacks {
    /**
     * Returns why the request may not be sent again, regardless of retry budget and capacity.
     *
     * @param verdict whether the ended attempt ran
     */
    Optional<ResendDenial> denial(Verdict verdict);

    /** Returns whether engines run the request, as opposed to a plain service. */
    boolean runsOnEngines();

    /** Returns whether the caller has received a part of the response. */
    boolean isInterrupted();

    /** Returns whether the request may only be sent to endpoints on which it ran. */
    boolean mayOnlyReturn();

    /** Returns whether, of those endpoints, none is usable but the one that failed last. */
    boolean mayOnlyReturnToLast();

    /** Returns whether one more crash would quarantine the request. */
    boolean isOneCrashFromQuarantine();

    /** Returns until when the request may wait, in nanoseconds of the executor's clock. */
    long waitsUntil();

    /** Returns the priority; 0 is the most urgent. */
    int priority();

    /** Called when the request may be sent again, before an endpoint is acquired. */
    void allowed(EndedAttempt ended);

    /** Acquires an endpoint, or waits in the queue for capacity. */
    void acquireEndpoint();

    /** Sends the request if an endpoint has capacity now; returns whether it was sent. */
    boolean sendNow();

    /** Called when the request is not sent again. */
    void denied(EndedAttempt ended, ResendDenial denial);
  }

  private final ForwardContext context;
  private final ResendBudget budget;
  private final ResendQueue queue;
  private final RequestGuard guard;
  private final Callbacks callbacks;
  private final ResendQueue.Waiter waiter = new BudgetWaiter();
  private Optional<EndedAttempt> ended = Optional.empty();
  private Cancellable timer = () -> {};
  private boolean reserved;

  PendingResend(ForwardContext context, String service, RequestGuard guard, Callbacks callbacks) {
    this.context = checkNotNull(context);
    this.budget = context.budgets().of(service);
    this.queue = context.budgets().queueOf(service);
    this.guard = checkNotNull(guard);
    this.callbacks = checkNotNull(callbacks);
  }

  /** Sends the request again or denies it, now or later, unless cancelled before. */
  void start(EndedAttempt attempt) {
    ended = Optional.of(attempt);
    if (!attempt.arrived()) {
      sendUncharged();
      return;
    }
    Optional<ResendDenial> denial = callbacks.denial(attempt.verdict());
    boolean crashMatters =
        denial.isPresent()
            ? denial.get() == ResendDenial.ATTEMPTS_EXHAUSTED
            : callbacks.mayOnlyReturnToLast();
    if (crashMatters && callbacks.isInterrupted() && callbacks.runsOnEngines()) {
      // If the engine crashed, its run does not count.
      runDelayed(this::awaitBudget);
    } else {
      awaitBudget();
    }
  }

  /** Sends the request again without the retry budget, as the next arrival repeats none. */
  private void sendUncharged() {
    Optional<ResendDenial> denial = callbacks.denial(ended().verdict());
    if (denial.isPresent()) {
      callbacks.denied(ended(), denial.get());
    } else {
      callbacks.allowed(ended());
      acquire();
    }
  }

  /**
   * Acquires an endpoint. A request that may only return to certain ones does not wait in the
   * queue, where it would hold up requests that others can take.
   */
  private void acquire() {
    if (!callbacks.mayOnlyReturn()) {
      callbacks.acquireEndpoint();
    } else if (!maySend()) {
      awaitBudget();
    } else if (!callbacks.sendNow()) {
      awaitReturn();
    }
  }

  private void awaitReturn() {
    if (context.clock().currentTime(NANOSECONDS) > callbacks.waitsUntil()) {
      callbacks.denied(ended(), ResendDenial.ATTEMPTS_EXHAUSTED);
    } else {
      timer = context.clock().schedule(this::acquire, POLL_INTERVAL.toNanos(), NANOSECONDS);
    }
  }

  /** Returns whether the request may be sent: for the first time, or within the retry budget. */
  boolean maySend() {
    return !reserved || budget.canWithdrawReserved();
  }

  /**
   * Reserves a retry or denies the request; an interrupted stream waits for the budget, and so does
   * a request that may have run while the reserve of this process grows. A retry that was reserved
   * before is released.
   */
  void awaitBudget() {
    release();
    Optional<ResendDenial> denial = callbacks.denial(ended().verdict());
    if (denial.isPresent()) {
      callbacks.denied(ended(), denial.get());
    } else if (callbacks.isInterrupted() || waitsForGrowingReserve()) {
      queue.join(waiter);
    } else if (budget.tryReserve()) {
      reserved();
    } else {
      callbacks.denied(ended(), ResendDenial.BUDGET_EXHAUSTED);
    }
  }

  /** A request that has certainly not run is refused instead, as its caller can send it again. */
  private boolean waitsForGrowingReserve() {
    return ended().verdict() != Verdict.NOT_RUN && budget.reserveGrows();
  }

  /** The request while it waits for the retry budget. */
  private final class BudgetWaiter implements ResendQueue.Waiter {
    @Override
    public void granted() {
      reserved();
    }

    @Override
    public void refused() {
      callbacks.denied(ended(), ResendDenial.BUDGET_EXHAUSTED);
    }

    @Override
    public void fail(RuntimeException cause) {
      guard.fail(cause);
    }

    @Override
    public long waitsUntil() {
      return callbacks.waitsUntil();
    }

    @Override
    public boolean isInterrupted() {
      return callbacks.isInterrupted();
    }

    @Override
    public int priority() {
      return callbacks.priority();
    }
  }

  /** Acquires another endpoint, after a delay if this loss may quarantine the request. */
  private void reserved() {
    reserved = true;
    callbacks.allowed(ended());
    if (ended().verdict() == Verdict.NOT_RUN || !callbacks.isOneCrashFromQuarantine()) {
      acquire();
    } else {
      // If the endpoint crashed, the request is quarantined and refused in the meantime.
      runDelayed(this::acquire);
    }
  }

  /** Records that the request is sent; withdraws the reserved retry from the budget. */
  void sent() {
    if (reserved) {
      reserved = false;
      budget.withdrawReserved();
    }
  }

  /** Stops waiting and releases the reserved retry. */
  void cancel() {
    timer.cancel();
    queue.leave(waiter);
    release();
  }

  private void release() {
    if (reserved) {
      reserved = false;
      budget.releaseReserved();
    }
  }

  private void runDelayed(Runnable task) {
    timer = context.clock().schedule(task, FAILURE_DETECTION_DELAY.toNanos(), NANOSECONDS);
  }

  private EndedAttempt ended() {
    return ended.orElseThrow();
  }
}
