package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.relay.EnginePath;

/**
 * Reassigns the layers of later engines on the path of a running request to other engines.
 *
 * <p>The first engine holds the request and is never replaced. Confined to the node's event loop.
 */
final class PathRepairs {
  /** Maximum number of path changes requested after the loss of one engine. */
  private static final int MAX_PATH_CHANGES = 5;

  /** Time after which the replacement of an engine may be tried again. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  /** Operations of the request whose path is repaired. */
  interface Callbacks {
    /** Returns the current attempt; there must be one. */
    RunningAttempt running();

    /** Returns whether an attempt is the current one. */
    boolean isCurrent(RunningAttempt attempt);

    /** Returns whether the request makes no progress. */
    boolean isStalled();

    /** Returns whether the attempt may be aborted without losing the request. */
    boolean mayAbort();

    /** Called when an engine of the path was lost. */
    void engineLost(TrackedEndpoint engine);

    /** Called when the request continues over another path. */
    void repaired();

    /** Fails over to another endpoint, as the path lost an engine and can't be changed. */
    void failOverFrom(TrackedEndpoint lost, AttemptFailure failure, String cause);
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final EndpointSelector selector;
  private final RequestQuarantine quarantine;
  private final Callbacks callbacks;

  /** Engines of the current path that are being replaced. */
  private final Set<TrackedEndpoint> beingReplaced = new HashSet<>();

  /** When engines of the current path whose replacement failed may be replaced again. */
  private final Map<TrackedEndpoint, Long> retryAt = new HashMap<>();

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

  /** Migrates from an engine that is about to stop. */
  void migrateFrom(TrackedEndpoint leaving) {
    // A quarantined request that is running is not started on other engines.
    if (!quarantine.isQuarantined()) {
      replace(leaving, "leaving " + leaving);
    }
  }

  /** Allows the replacement of an engine again, if it failed before the engine was suspected. */
  void engineSuspected(TrackedEndpoint engine) {
    retryAt.remove(engine);
  }

  /**
   * Replaces an engine that was lost or blocks the request, unless that is in progress or failed a
   * short time ago.
   */
  void bypass(TrackedEndpoint lost, String cause) {
    boolean failedRecently = now() < retryAt.getOrDefault(lost, Long.MIN_VALUE);
    if (failedRecently || !beingReplaced.add(lost)) {
      return;
    }
    callbacks.engineLost(lost);
    if (quarantine.isQuarantined()) {
      startFailover(lost, AttemptFailure.QUARANTINED, cause);
    } else {
      replace(lost, cause);
    }
  }

  /** Clears the state of an attempt that has ended. */
  void attemptEnded() {
    beingReplaced.clear();
    retryAt.clear();
  }

  private void replacementFailed(TrackedEndpoint lost) {
    beingReplaced.remove(lost);
    retryAt.put(lost, now() + RETRY_INTERVAL.toNanos());
  }

  private static boolean isLost(TrackedEndpoint engine) {
    return engine.suspected() || engine.hasEnded();
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }

  private void startFailover(TrackedEndpoint lost, AttemptFailure failure, String cause) {
    replacementFailed(lost);
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
            () -> callbacks.isCurrent(attempt),
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
      // The replacements of other engines that the path has left end without a result.
      beingReplaced.removeIf(engine -> !selector.uses(engine));
      callbacks.repaired();
    }

    @Override
    public boolean mayFailOver(TrackedEndpoint engine) {
      // An engine that is only leaving still works; its end will be detected.
      return isLost(engine) && callbacks.mayAbort();
    }

    @Override
    public void failOver(AttemptFailure failure) {
      startFailover(lost, failure, "no other path was accepted");
    }

    @Override
    public boolean isNeeded() {
      return isLost(lost) || lost.endpoint().leaving() || callbacks.isStalled();
    }

    @Override
    public void abandoned() {
      replacementFailed(lost);
    }
  }
}
