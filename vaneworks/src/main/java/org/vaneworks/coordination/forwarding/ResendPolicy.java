package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.EntryRoute;

/**
 * Decides whether one request may be sent again, and to which endpoints, regardless of retry budget
 * and capacity.
 *
 * <p>The attempts of a route limit the endpoints on which a request runs, apart from those whose
 * process has ended. A caller that has a part of a stream can't send it again itself, so its stream
 * may return to endpoints that had it, which adds none. Other requests run at most as often as
 * their route has attempts.
 *
 * <p>Confined to the node's event loop.
 */
final class ResendPolicy {
  private final ForwardContext context;
  private final EntryRoute route;
  private final boolean sentByPeer;
  private final RequestQuarantine quarantine;
  private final PeerSends peerSends;
  private final PastAttempts past;
  private final CallerDeadlines deadlines;
  private boolean failurePassedOn;
  private int sends;

  /**
   * Creates the policy of a request that was not sent yet.
   *
   * @param sentByPeer whether a peer forwarded the request to this node
   * @param past the attempts of the request apart from the current one
   */
  ResendPolicy(
      ForwardContext context,
      EntryRoute route,
      boolean sentByPeer,
      RequestQuarantine quarantine,
      PeerSends peerSends,
      PastAttempts past,
      CallerDeadlines deadlines) {
    this.context = checkNotNull(context);
    this.route = checkNotNull(route);
    this.sentByPeer = sentByPeer;
    this.quarantine = checkNotNull(quarantine);
    this.peerSends = checkNotNull(peerSends);
    this.past = checkNotNull(past);
    this.deadlines = checkNotNull(deadlines);
  }

  /** Records that the caller got a failure, which no other endpoint can continue. */
  void recordFailurePassedOn() {
    failurePassedOn = true;
  }

  /** Records that the request is sent. */
  void recordSent() {
    sends++;
  }

  /** Returns the number of sends so far. */
  int sends() {
    return sends;
  }

  /**
   * Returns why the request may not be sent again, empty if it may.
   *
   * @param verdict whether the last send ran
   * @param running an attempt that counts as well
   * @param headSent whether the caller has a part of the response
   */
  Optional<ResendDenial> denial(
      Verdict verdict, Optional<RunningAttempt> running, boolean headSent) {
    // The IDs of the events of a stream that is too long are no place to resume it.
    boolean tooLong = past.lastFailure() == AttemptFailure.STREAM_TOO_LONG;
    if (headSent && (!isResumable() || tooLong)) {
      return Optional.of(ResendDenial.NOT_RESUMABLE);
    }
    if (quarantine.isQuarantined()) {
      return Optional.of(ResendDenial.QUARANTINED);
    }
    return limitReached(verdict, hasEndpointLeft(running, headSent));
  }

  /**
   * Returns why a request that an endpoint answered with a failure may not be sent again instead.
   */
  Optional<ResendDenial> denialAfterFailure(RunningAttempt failed) {
    return limitReached(Verdict.RAN, hasEndpointLeft(Optional.of(failed), false));
  }

  /**
   * Returns the endpoints to which the request may be sent if it may be sent again.
   *
   * @param inUse endpoints of other attempts
   * @param running an attempt that counts as well
   * @param headSent whether the caller has a part of the response
   */
  EndpointFilter eligible(
      ImmutableSet<TrackedEndpoint> inUse, Optional<RunningAttempt> running, boolean headSent) {
    boolean mayOnlyReturn = mayReturn(headSent) && past.countedEndpoints(running) >= attempts();
    return new EndpointFilter(
        inUse,
        mayOnlyReturn ? Optional.of(past.endpoints(running)) : Optional.empty(),
        past.lastEndpoint());
  }

  private boolean hasEndpointLeft(Optional<RunningAttempt> running, boolean headSent) {
    if (!mayReturn(headSent)) {
      return past.countedRuns(running) < attempts();
    }
    return past.countedEndpoints(running) < attempts() || !past.endpoints(running).isEmpty();
  }

  private boolean mayReturn(boolean headSent) {
    // An event that is too long would be read again from each of them.
    boolean tooLong = past.lastFailure() == AttemptFailure.EVENT_TOO_LONG;
    return headSent && isResumable() && !sentByPeer && !tooLong;
  }

  private boolean isResumable() {
    return route.kind().idempotent() && route.kind().streamed() && !failurePassedOn;
  }

  private Optional<ResendDenial> limitReached(Verdict verdict, boolean endpointLeft) {
    if (context.clock().currentTime(NANOSECONDS) >= deadlines.deadline()) {
      return Optional.of(ResendDenial.DEADLINE_EXCEEDED);
    }
    if (peerSends.isExhausted()) {
      return Optional.of(ResendDenial.SENDS_EXHAUSTED);
    }
    return ResendRule.denial(route.kind(), verdict, endpointLeft, sends - peerSends.uncounted());
  }

  /** What a peer runs is repeated by the node that forwarded it, if at all. */
  private int attempts() {
    return sentByPeer ? 1 : route.attempts();
  }
}
