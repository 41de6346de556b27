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
  private static final int MAX_PATH_CHANGES = 5;

  /** The request whose path is repaired. */
  interface Callbacks {
    /** Returns the present attempt; there must be one. */
    RunningAttempt running();

    /** Returns whether an attempt is the present one. */
    boolean isCurrent(RunningAttempt attempt);

    /** Returns whether the request may be broken off without a loss for good. */
    boolean mayAbort();

    /** Takes note that an engine of the path was lost. */
    void lost(TrackedEndpoint engine);

    /** Takes note that the request goes on over another path. */
    void repaired();

    /** Seeks another place, as the path lacks an engine and may take no other. */
    void failOverFrom(TrackedEndpoint lost, AttemptFailure failure, String cause);
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final EndpointSelector selector;
  private final RequestQuarantine quarantine;
  private final Callbacks callbacks;

  /** Engines of the present attempt's path whose layers others are to run. */
  private final Set<TrackedEndpoint> beingReplaced = new HashSet<>();

  PathRepairs(
      ForwardContext context,
      CallerRequest request,
      EndpointSelector selector,
      RequestQuarantine quarantine,
      Callbacks callbacks) {
    this.context = checkNotNull(context);
    this.request = checkNotNull(request);
    this.selector = checkNotNull(selector);
    this.quarantine = checkNotNull(quarantine);
    this.callbacks = checkNotNull(callbacks);
  }

  /** Moves off an engine that will end soon. */
  void migrateFrom(TrackedEndpoint leaving) {
    // A request that is held back is not begun anywhere else while it runs.
    if (!quarantine.isQuarantined()) {
      replace(leaving, "leaving " + leaving);
    }
  }

  /** Goes on without an engine that is lost, unless that is under way. */
  void bypass(TrackedEndpoint lost, String cause) {
    if (!beingReplaced.add(lost)) {
      return;
    }
    callbacks.lost(lost);
    if (quarantine.isQuarantined()) {
      startFailover(lost, AttemptFailure.QUARANTINED, cause);
    } else {
      replace(lost, cause);
    }
  }

  /** Forgets the path of an attempt that is over. */
  void attemptEnded() {
    beingReplaced.clear();
  }

  private void startFailover(TrackedEndpoint lost, AttemptFailure failure, String cause) {
    beingReplaced.remove(lost);
    callbacks.failOverFrom(lost, failure, cause);
  }

  private void replace(TrackedEndpoint lost, String cause) {
    RunningAttempt attempt = callbacks.running();
    new PathReplacement(
            context,
            request,
            selector,
            lost,
            cause,
            () -> callbacks.isCurrent(attempt) && selector.uses(lost),
            quarantine::isQuarantined,
            MAX_PATH_CHANGES,
            new ReplacementCallbacks(lost))
        .start();
  }

  private final class ReplacementCallbacks implements PathReplacement.Callbacks {
    private final TrackedEndpoint lost;

    ReplacementCallbacks(TrackedEndpoint lost) {
      this.lost = lost;
    }

    @Override
    public void replaced(EnginePath next) {
      selector.replace(next);
      beingReplaced.remove(lost);
      callbacks.repaired();
    }

    @Override
    public boolean mayFailOver(TrackedEndpoint engine) {
      // An engine that is only leaving still works; its end will show.
      boolean isLost = engine.suspected() || engine.hasEnded();
      return isLost && callbacks.mayAbort();
    }

    @Override
    public void failOver(AttemptFailure failure) {
      startFailover(lost, failure, "no other path was accepted");
    }
  }
}
