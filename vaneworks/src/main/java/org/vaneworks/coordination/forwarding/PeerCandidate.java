package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.shared.PeerRelay;

/**
 * A peer that accepts forwarded requests, and what became of those that this node sent to it.
 *
 * <p>Confined to the node's event loop. Times are nanoseconds of the node's clock.
 */
final class PeerCandidate {
  /** Time for which the last outcome of a request is taken for that of the next one. */
  private static final Duration OUTCOME_VALIDITY = Duration.ofSeconds(10);

  /** Time after which a peer that has not declined a request may be about to serve it. */
  private static final Duration DECLINE_TIME = Duration.ofMillis(20);

  /** Time for which a peer that failed or fell silent is taken only if there is no other. */
  private static final Duration FAILURE_PENALTY_TIME = Duration.ofMillis(700);

  /** Time after which a peer that declined may be asked again, if there is no other. */
  private static final Duration DECLINE_AVOIDANCE = Duration.ofMillis(1500);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final TrackedEndpoint endpoint;
  private final PeerRelay relay;
  private final String dataCentre;
  private final boolean remote;
  private final int order;
  private long askedAt = NEVER;
  private long tookAt = NEVER;
  private long declinedAt = NEVER;
  private long failedAt = NEVER;

  /**
   * Creates a candidate that has received no request.
   *
   * @param remote whether it is in another data centre than this node
   * @param order random, so that nodes of a large fleet choose different peers
   */
  PeerCandidate(
      TrackedEndpoint endpoint, PeerRelay relay, String dataCentre, boolean remote, int order) {
    this.endpoint = checkNotNull(endpoint);
    this.relay = checkNotNull(relay);
    this.dataCentre = checkNotNull(dataCentre);
    this.remote = remote;
    this.order = order;
  }

  TrackedEndpoint endpoint() {
    return endpoint;
  }

  PeerRelay relay() {
    return relay;
  }

  String dataCentre() {
    return dataCentre;
  }

  boolean isRemote() {
    return remote;
  }

  int order() {
    return order;
  }

  /** Records that a request is sent to the peer. */
  void recordAsked(long now) {
    if (endpoint.inFlight() == 0) {
      askedAt = now;
    }
  }

  /** Records that the peer reaches endpoints, as it responded for one of them. */
  void recordTook(long now) {
    tookAt = now;
    declinedAt = NEVER;
    failedAt = NEVER;
  }

  /** Records that the peer can't forward requests either. */
  void recordDeclined(long now) {
    declinedAt = now;
    tookAt = NEVER;
  }

  /** Records that the peer could not be reached or did not respond. */
  void recordFailed(long now) {
    failedAt = now;
    tookAt = NEVER;
  }

  boolean hasFailed(long now) {
    return now - failedAt < FAILURE_PENALTY_TIME.toNanos();
  }

  boolean hasDeclined(long now) {
    return now - declinedAt < OUTCOME_VALIDITY.toNanos();
  }

  /** Returns whether a peer that has declined may be asked again. */
  boolean mayBeAskedAgain(long now) {
    return now - declinedAt >= DECLINE_AVOIDANCE.toNanos();
  }

  long declinedAt() {
    return declinedAt;
  }

  /** Returns whether the peer is known to take requests, as it has responded to one. */
  boolean takes(long now) {
    return !hasDeclined(now) && now - tookAt < OUTCOME_VALIDITY.toNanos();
  }

  /** Returns whether the peer has a request and has neither responded nor declined yet. */
  boolean isPending(long now) {
    return endpoint.inFlight() > 0 && !takes(now) && !hasDeclined(now) && !hasFailed(now);
  }

  /** Returns whether the peer may still decline a request. */
  boolean isAsked(long now) {
    return isPending(now) && now - askedAt < DECLINE_TIME.toNanos();
  }

  /** Returns whether nothing is known of the peer. */
  boolean isUnknown(long now) {
    return endpoint.inFlight() == 0 && !hasDeclined(now) && !hasFailed(now) && !takes(now);
  }
}
