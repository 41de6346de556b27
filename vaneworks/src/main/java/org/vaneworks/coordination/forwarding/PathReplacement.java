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
 * Gives the layers of one engine to others while a request runs; the first engine of its path
 * stays.
 *
 * <p>The present path counts until the first engine has accepted another: a request whose engine is
 * only leaving still makes progress on it, and breaking it off would lose that. Confined to the
 * node's event loop.
 */
final class PathReplacement {
  /** Places on other engines come free within this time. */
  private static final Duration RETRY = Duration.ofMillis(150);

  /** An engine that was in the way of a new path is avoided for its report's lag. */
  private static final Duration OBSTACLE_PAUSE = Duration.ofMillis(200);

  /** The node's request whose path is changed. */
  interface Owner {
    /** The first engine accepted the path. */
    void replaced(EnginePath next);

    /** Returns whether the request may be begun at other engines instead. */
    boolean mayBeginElsewhere(TrackedEndpoint lost);

    /**
     * Begins the request at other engines.
     *
     * @param end why the present attempt is to be left
     */
    void beginElsewhere(AttemptEnd end);
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final Place place;
  private final TrackedEndpoint lost;
  private final String cause;
  private final BooleanSupplier stillWanted;
  private final BooleanSupplier heldBack;
  private final Owner owner;
  private int triesLeft;

  /**
   * Makes a replacement that does nothing before {@link #begin}.
   *
   * @param lost the engine whose layers others are to run
   * @param cause for the log
   * @param stillWanted whether the same attempt still runs over that engine
   * @param heldBack whether the request must not be begun anywhere else
   * @param tries orders that may be given
   */
  PathReplacement(
      ForwardContext context,
      CallerRequest request,
      Place place,
      TrackedEndpoint lost,
      String cause,
      BooleanSupplier stillWanted,
      BooleanSupplier heldBack,
      int tries,
      Owner owner) {
    this.context = context;
    this.request = request;
    this.place = place;
    this.lost = lost;
    this.cause = cause;
    this.stillWanted = stillWanted;
    this.heldBack = heldBack;
    this.triesLeft = tries;
    this.owner = owner;
  }

  void begin() {
    order(ImmutableList.of(lost));
  }

  private void order(ImmutableList<TrackedEndpoint> without) {
    if (triesLeft <= 0 || heldBack.getAsBoolean()) {
      refused(AttemptEnd.PATH_LOST);
      return;
    }
    if (!context.fleet().signals().admits(place.target(), CallPurpose.PATH_CHANGE)) {
      ForwardLog.pathChanged(request, cause, "the first engine wants no calls", "");
      beginElsewhereOrRetry();
      return;
    }
    triesLeft--;
    Optional<EnginePath> next = place.another(without);
    if (next.isEmpty()) {
      ForwardLog.pathChanged(request, cause, "no other path", "");
      retryLater();
      return;
    }
    String text = next.get().text();
    context.fleet().signals().recordCall(place.target(), CallPurpose.PATH_CHANGE);
    Async.onDone(
        context.control().repath(place.target().endpoint(), request.id(), text),
        context.clock(),
        (outcome, failure) -> {
          if (stillWanted.getAsBoolean()) {
            ForwardLog.pathChanged(request, cause, failure == null ? outcome : failure, text);
            answered(next.get(), outcome, failure);
          }
        });
  }

  private void answered(EnginePath next, RepathOutcome outcome, Throwable failure) {
    if (failure != null) {
      retryLater();
      return;
    }
    Optional<TrackedEndpoint> obstacle = outcome.obstacle().flatMap(place::engineAt);
    if (outcome.kind() == RepathOutcome.Kind.ACCEPTED) {
      owner.replaced(next);
    } else if (outcome.kind() == RepathOutcome.Kind.UNKNOWN_REQUEST) {
      refused(AttemptEnd.REQUEST_UNKNOWN);
    } else if (obstacle.isPresent()) {
      long now = context.clock().currentTime(NANOSECONDS);
      obstacle.get().avoidUntil(now + OBSTACLE_PAUSE.toNanos());
      obstacle.get().recordShortage(now);
      order(ImmutableList.of(lost, obstacle.get()));
    } else {
      retryLater();
    }
  }

  private void refused(AttemptEnd end) {
    if (owner.mayBeginElsewhere(lost)) {
      owner.beginElsewhere(end);
    }
  }

  private void beginElsewhereOrRetry() {
    if (owner.mayBeginElsewhere(lost)) {
      owner.beginElsewhere(AttemptEnd.PATH_LOST);
    } else {
      retryLater();
    }
  }

  private void retryLater() {
    context
        .clock()
        .schedule(
            () -> {
              if (stillWanted.getAsBoolean()) {
                order(ImmutableList.of(lost));
              }
            },
            RETRY.toNanos(),
            NANOSECONDS);
  }
}
