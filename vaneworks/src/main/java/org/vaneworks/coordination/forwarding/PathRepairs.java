package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Set;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;

/**
 * Gives the layers of later engines of a running request's path to others.
 *
 * <p>The first engine has the request and stays. Confined to the node's event loop.
 */
final class PathRepairs {
  /** Orders for another path after the loss of one engine. */
  private static final int MAX_REPATHS = 5;

  /** The request whose path is repaired. */
  interface Owner {
    /** Returns the present attempt; there must be one. */
    RunningAttempt running();

    /** Returns whether an attempt is the present one. */
    boolean isPresent(RunningAttempt attempt);

    /** Returns whether the request may be broken off without a loss for good. */
    boolean mayBreakOff();

    /** Takes note that an engine of the path was lost. */
    void lost(TrackedEndpoint engine);

    /** Takes note that the request goes on over another path. */
    void repaired();

    /** Seeks another place, as the path lacks an engine and may take no other. */
    void leaveWithout(TrackedEndpoint lost, AttemptEnd end, String cause);
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final Place place;
  private final ContentGuard guard;
  private final Owner owner;

  /** Engines of the present attempt's path whose layers others are to run. */
  private final Set<TrackedEndpoint> beingReplaced = new HashSet<>();

  PathRepairs(
      ForwardContext context, CallerRequest request, Place place, ContentGuard guard, Owner owner) {
    this.context = checkNotNull(context);
    this.request = checkNotNull(request);
    this.place = checkNotNull(place);
    this.guard = checkNotNull(guard);
    this.owner = checkNotNull(owner);
  }

  /** Moves off an engine that will end soon. */
  void moveOff(TrackedEndpoint leaving) {
    // A request that is held back is not begun anywhere else while it runs.
    if (!guard.isHeldBack()) {
      replace(leaving, "leaving " + leaving);
    }
  }

  /** Goes on without an engine that is lost, unless that is under way. */
  void goOnWithout(TrackedEndpoint lost, String cause) {
    if (!beingReplaced.add(lost)) {
      return;
    }
    owner.lost(lost);
    if (guard.isHeldBack()) {
      leave(lost, AttemptEnd.HELD_BACK, cause);
    } else {
      replace(lost, cause);
    }
  }

  /** Forgets the path of an attempt that is over. */
  void attemptOver() {
    beingReplaced.clear();
  }

  private void leave(TrackedEndpoint lost, AttemptEnd end, String cause) {
    beingReplaced.remove(lost);
    owner.leaveWithout(lost, end, cause);
  }

  private void replace(TrackedEndpoint lost, String cause) {
    RunningAttempt attempt = owner.running();
    new PathReplacement(
            context,
            request,
            place,
            lost,
            cause,
            () -> owner.isPresent(attempt) && place.passes(lost),
            guard::isHeldBack,
            MAX_REPATHS,
            new Replacing(lost))
        .begin();
  }

  private final class Replacing implements PathReplacement.Owner {
    private final TrackedEndpoint lost;

    Replacing(TrackedEndpoint lost) {
      this.lost = lost;
    }

    @Override
    public void replaced(EnginePath next) {
      place.replace(next);
      beingReplaced.remove(lost);
      owner.repaired();
    }

    @Override
    public boolean mayBeginElsewhere(TrackedEndpoint engine) {
      // An engine that is only leaving still works; its end will show.
      boolean isLost = engine.suspected() || engine.hasEnded();
      return isLost && owner.mayBreakOff();
    }

    @Override
    public void beginElsewhere(AttemptEnd end) {
      leave(lost, end, "no other path was accepted");
    }
  }
}
