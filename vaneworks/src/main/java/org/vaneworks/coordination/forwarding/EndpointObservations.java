package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.time.Duration;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.MalformedResponseException;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * Records what one request shows about the endpoints to which it is sent. Confined to the node's
 * event loop.
 */
final class EndpointObservations {
  /**
   * Time for which an endpoint gets no new requests after it refused a connection, and a plain
   * endpoint also after its connection failed.
   */
  private static final Duration FAILED_ENDPOINT_PAUSE = Duration.ofMillis(500);

  private static final int MISDIRECTED = 421;

  private final ForwardContext context;
  private final EndpointSelector selector;
  private final RequestQuarantine quarantine;

  EndpointObservations(
      ForwardContext context, EndpointSelector selector, RequestQuarantine quarantine) {
    this.context = checkNotNull(context);
    this.selector = checkNotNull(selector);
    this.quarantine = checkNotNull(quarantine);
  }

  /** Records the endpoint's signals, unless another endpoint may have responded in its place. */
  void recordSignal(ResponseHead head, TrackedEndpoint endpoint) {
    if (!endpoint.isPeer() && head.matches() && head.status() != MISDIRECTED) {
      context.fleet().signals().recordAnswer(endpoint, head.signal());
    }
  }

  /** Records that the current attempt failed at an endpoint other than a peer. */
  void recordFailure(
      RunningAttempt failed, boolean neverSent, Throwable cause, TrackedEndpoint endpoint) {
    if (cause instanceof MalformedResponseException) {
      recordMalformedResponse(failed);
    } else {
      recordDisconnect(cause, endpoint);
    }
    boolean replicaFails = !selector.runsOnEngines() && (endpoint.recordFailure() > 1 || neverSent);
    if (replicaFails || cause instanceof ConnectionRefusedException) {
      endpoint.avoidUntil(now() + FAILED_ENDPOINT_PAUSE.toNanos());
    }
  }

  /** Records that a response was malformed, or has an event of a size that none may have. */
  void recordMalformedResponse(RunningAttempt failed) {
    if (!failed.endpoint().isPeer()) {
      failed.endpoint().recordMalformedResponse(failed.sentAt(), now());
    }
  }

  /** Records that a connection to an endpoint failed. */
  void recordDisconnect(Throwable cause, TrackedEndpoint endpoint) {
    if (endpoint.isPeer() || cause instanceof MalformedResponseException) {
      return;
    }
    if (cause instanceof ConnectionRefusedException) {
      context.reachability().recordRefused(endpoint);
      context
          .reachability()
          .unlessIsolated(() -> context.fleet().recordConnectionRefused(endpoint));
    } else {
      context.reachability().recordUnanswered(endpoint);
    }
    if (selector.runsOnEngines()) {
      context.health().checkAfterDisconnect(endpoint);
    }
  }

  /** Records the loss of an endpoint that has the attempt or is on its path. */
  void recordLoss(RunningAttempt affected, TrackedEndpoint endpoint) {
    if (endpoint.isPeer() || context.reachability().isIsolated()) {
      return;
    }
    long now = now();
    Duration sinceSent = Duration.ofNanos(now - affected.sentAt());
    quarantine.recordLoss(endpoint, sinceSent, affected.sinceFirstPart(now));
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
