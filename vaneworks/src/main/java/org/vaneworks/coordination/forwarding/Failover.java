package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * The search for another place of a request whose endpoint gives no sign of life.
 *
 * <p>Silence proves nothing, so the attempt goes on until the other place is taken, and for good if
 * there is none: whatever the endpoint still says is passed on. Confined to the node's event loop.
 */
final class Failover {
  /**
   * Why the present attempt is to be left.
   *
   * @param silent the engine that gives no sign of life
   */
  record Trigger(AttemptFailure failure, TrackedEndpoint unresponsive, String cause) {}

  /** The request that seeks. */
  interface Callbacks {
    /** Returns why it may not be sent again if its attempt is left now. */
    Optional<ResendDenial> denialIfAbandoned();

    /** Seeks a place, or goes on waiting for one. */
    void acquireEndpoint();

    /** Waits for a place no longer. */
    void leaveQueue();

    /** Remains where it is, or is given up. */
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

  boolean isActive() {
    return trigger.isPresent();
  }

  /** Returns why the attempt is to be left; the search must be on. */
  Trigger trigger() {
    return trigger.orElseThrow();
  }

  /**
   * Begins, unless it is on.
   *
   * @param wait until another place may be sought
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

  /** Looks whether the request may go on elsewhere, if the search is on. */
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

  /** Takes note that the line has no place in time, or may give it none. */
  void capacityRefused() {
    callbacks.denied(trigger(), callbacks.denialIfAbandoned().orElse(ResendDenial.NO_CAPACITY));
  }

  /** Runs the action if it was not run since the search began. */
  void runOncePerFailover(Runnable action) {
    if (!actionRun) {
      actionRun = true;
      action.run();
    }
  }

  /** Ends if it was begun because of this engine, which answers again. */
  void engineRecovered(TrackedEndpoint engine) {
    if (trigger.filter(reason -> reason.unresponsive() == engine).isPresent()) {
      stop();
    }
  }

  /** Ends: the request makes progress, or its attempt is over. */
  void stop() {
    if (isActive()) {
      trigger = Optional.empty();
      actionRun = false;
      callbacks.leaveQueue();
    }
  }
}
