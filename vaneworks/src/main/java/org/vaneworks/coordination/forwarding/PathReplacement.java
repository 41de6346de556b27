package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;

/**
 * Replaces one engine on the path of a running request; the first engine is never replaced.
 *
 * <p>The present path remains in use until the first engine has accepted another one: a request
 * whose engine is only leaving still makes progress there, and aborting it would lose that
 * progress. Confined to the node's event loop.
 */
final class PathReplacement {
  /** Delay between path changes, within which capacity on other engines becomes available. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /**
   * Mean delay after the first refused path change, doubled with each further one. Without a delay,
   * path changes of streams that lost the same engine were refused up to 96 times a second.
   */
  private static final Duration REFUSAL_PAUSE = Duration.ofMillis(40);

  /** Operations of the request whose path is changed. */
  interface Callbacks {
    /** Called when the first engine has accepted the path. */
    void replaced(EnginePath next);

    /** Returns whether the request still needs another path; an engine may respond again. */
    boolean isNeeded();

    /** Returns whether the request may fail over to other engines instead. */
    boolean mayFailOver(TrackedEndpoint lost);

    /**
     * Fails over to other engines.
     *
     * @param failure why the current attempt is to be abandoned
     */
    void failOver(AttemptFailure failure);

    /** Called when no path change is requested any more and the request may not fail over. */
    void abandoned();
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final EndpointSelector selector;
  private final TrackedEndpoint lost;
  private final String cause;
  private final BooleanSupplier attemptCurrent;
  private final BooleanSupplier stillRelevant;
  private final BooleanSupplier quarantined;
  private final Callbacks callbacks;
  private int attemptsLeft;
  private int refusals;

  /**
   * Creates a replacement that is inactive until {@link #start}.
   *
   * @param lost the engine to replace
   * @param cause the reason, for the log
   * @param attemptCurrent whether the same attempt is current
   * @param stillRelevant whether the same attempt still uses that engine
   * @param quarantined whether the request must not start on other engines
   * @param attempts the maximum number of path changes to request
   */
  PathReplacement(
      ForwardContext context,
      CallerRequest request,
      EndpointSelector selector,
      TrackedEndpoint lost,
      String cause,
      BooleanSupplier attemptCurrent,
      BooleanSupplier stillRelevant,
      BooleanSupplier quarantined,
      int attempts,
      Callbacks callbacks) {
    this.context = context;
    this.request = request;
    this.selector = selector;
    this.lost = lost;
    this.cause = cause;
    this.attemptCurrent = attemptCurrent;
    this.stillRelevant = stillRelevant;
    this.quarantined = quarantined;
    this.attemptsLeft = attempts;
    this.callbacks = callbacks;
  }

  void start() {
    requestPathChange(ImmutableList.of(lost));
  }

  private void requestPathChange(ImmutableList<TrackedEndpoint> excluded) {
    if (!callbacks.isNeeded()) {
      callbacks.abandoned();
      return;
    }
    if (attemptsLeft <= 0 || quarantined.getAsBoolean()) {
      fail(AttemptFailure.PATH_LOST);
      return;
    }
    if (!context.fleet().signals().admits(selector.target(), CallPurpose.PATH_CHANGE)) {
      ForwardLog.pathChanged(request, cause, "first engine refuses path changes for now", "");
      failOverOrRetry();
      return;
    }
    attemptsLeft--;
    Optional<EnginePath> next = selector.alternativePath(excluded);
    if (next.isEmpty()) {
      ForwardLog.pathChanged(request, cause, "no other path", "");
      retryLater();
      return;
    }
    String pathText = next.get().text();
    // Other streams that lost the same engine choose before the outcome is known.
    Runnable withdrawal = selector.reserveAlternative(next.get());
    long orderedAt = now();
    context.fleet().signals().recordCall(selector.target(), CallPurpose.PATH_CHANGE);
    Async.onDone(
        context.control().repath(selector.target().endpoint(), request.id(), pathText),
        context.clock(),
        (outcome, failure) -> {
          withdrawal.run();
          // An accepted path is in use even if the engine has left the path in the meantime.
          boolean accepted = failure == null && outcome.kind() == RepathOutcome.Kind.ACCEPTED;
          if (accepted ? attemptCurrent.getAsBoolean() : stillRelevant.getAsBoolean()) {
            ForwardLog.pathChanged(request, cause, failure == null ? outcome : failure, pathText);
            onOutcome(next.get(), orderedAt, outcome, failure);
          }
        });
  }

  private void onOutcome(
      EnginePath next, long orderedAt, RepathOutcome outcome, Throwable failure) {
    if (failure != null) {
      retryLater();
      return;
    }
    Optional<TrackedEndpoint> obstacle = outcome.obstacle().flatMap(selector::engineAt);
    if (outcome.kind() == RepathOutcome.Kind.ACCEPTED) {
      next.parts().forEach(part -> part.engine().recordAcceptance(orderedAt, now()));
      callbacks.replaced(next);
    } else if (outcome.kind() == RepathOutcome.Kind.UNKNOWN_REQUEST) {
      fail(AttemptFailure.REQUEST_UNKNOWN);
    } else if (obstacle.isPresent()) {
      obstacle.get().recordPathObstacle(orderedAt, now());
      retryAfter(refusalPauseNanos(), ImmutableList.of(lost, obstacle.get()));
    } else {
      retryLater();
    }
  }

  private void fail(AttemptFailure failure) {
    if (callbacks.mayFailOver(lost)) {
      callbacks.failOver(failure);
    } else {
      callbacks.abandoned();
    }
  }

  private void failOverOrRetry() {
    if (callbacks.mayFailOver(lost)) {
      callbacks.failOver(AttemptFailure.PATH_LOST);
    } else {
      retryLater();
    }
  }

  private void retryLater() {
    retryAfter(RETRY_DELAY.toNanos(), ImmutableList.of(lost));
  }

  /** Returns a random pause, so that streams that were refused together do not return together. */
  private long refusalPauseNanos() {
    double mean = REFUSAL_PAUSE.toNanos() * Math.pow(2, refusals++);
    return (long) (mean * (0.5 + context.random().nextDouble()));
  }

  private void retryAfter(long nanos, ImmutableList<TrackedEndpoint> excluded) {
    context
        .clock()
        .schedule(
            () -> {
              if (stillRelevant.getAsBoolean()) {
                requestPathChange(excluded);
              }
            },
            nanos,
            NANOSECONDS);
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
