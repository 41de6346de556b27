package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * Failover of one request whose endpoint does not respond.
 *
 * <p>A missing response does not prove that the endpoint is dead. The present attempt therefore
 * continues, and its data is passed on, until another endpoint is acquired; if there is none, the
 * attempt continues. Confined to the node's event loop.
 */
final class Failover {
  /**
   * Why the present attempt is to be abandoned.
   *
   * @param failure the failure to report for the attempt
   * @param unresponsive the engine that does not respond
   * @param cause details for the log
   */
  record Trigger(AttemptFailure failure, TrackedEndpoint unresponsive, String cause) {}

  /** Operations of the request that fails over. */
  interface Callbacks {
    /** Returns why the request may not be sent again if its attempt is abandoned now. */
    Optional<ResendDenial> denialIfAbandoned();

    /** Acquires an endpoint, or waits in the queue for capacity. */
    void acquireEndpoint();

    /** Leaves the queue. */
    void leaveQueue();

    /** Called when the request can't fail over now: it stays at its endpoint or fails. */
    void denied(Trigger trigger, ResendDenial denial);
  }

  private final Executor clock;
  private final Callbacks callbacks;
  private Optional<Trigger> trigger = Optional.empty();
  private long notBefore;
  private boolean actionRun;

  Failover(Executor clock, Callbacks callbacks) {
    this.clock = checkNotNull(clock);
    this.callbacks = checkNotNull(callbacks);
  }

  /** Returns whether a failover is in progress. */
  boolean isActive() {
    return trigger.isPresent();
  }

  /** Returns why the attempt is to be abandoned; a failover must be in progress. */
  Trigger trigger() {
    return trigger.orElseThrow();
  }

  /**
   * Starts a failover unless one is in progress.
   *
   * @param wait the delay before another endpoint may be acquired
   */
  void start(Trigger reason, Duration wait) {
    if (isActive()) {
      return;
    }
    trigger = Optional.of(reason);
    notBefore = clock.currentTime(NANOSECONDS) + wait.toNanos();
    if (wait.isZero()) {
      retry();
    } else {
      clock.schedule(this::retry, wait.toNanos(), NANOSECONDS);
    }
  }

  /** Tries again to acquire another endpoint if a failover is in progress. */
  void retry() {
    if (!isActive() || clock.currentTime(NANOSECONDS) < notBefore) {
      return;
    }
    Optional<ResendDenial> denial = callbacks.denialIfAbandoned();
    if (denial.isPresent()) {
      callbacks.denied(trigger(), denial.get());
    } else {
      callbacks.acquireEndpoint();
    }
  }

  /**
   * Called when the queue refuses the request: no capacity in time, or it may not be sent again.
   */
  void capacityRefused() {
    callbacks.denied(trigger(), callbacks.denialIfAbandoned().orElse(ResendDenial.NO_CAPACITY));
  }

  /** Runs the action if none has run since the failover started. */
  void runOncePerFailover(Runnable action) {
    if (!actionRun) {
      actionRun = true;
      action.run();
    }
  }

  /** Stops the failover if this engine, which responds again, triggered it. */
  void engineRecovered(TrackedEndpoint engine) {
    if (trigger.filter(reason -> reason.unresponsive() == engine).isPresent()) {
      stop();
    }
  }

  /** Stops the failover, because the request makes progress or its attempt has ended. */
  void stop() {
    if (isActive()) {
      trigger = Optional.empty();
      actionRun = false;
      callbacks.leaveQueue();
    }
  }
}
