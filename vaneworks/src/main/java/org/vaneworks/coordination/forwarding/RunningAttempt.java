package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.EndpointTransport.EndpointCall;
import org.vaneworks.state.Verdict;

/**
 * The attempt of a request that counts at present. Times are those of the executor's clock, in
 * nanoseconds. Confined to the node's event loop.
 */
final class RunningAttempt {
  private final TrackedEndpoint endpoint;
  private final long sentAt;
  private OptionalLong firstPartAt = OptionalLong.empty();
  private Optional<EndpointCall> call = Optional.empty();

  RunningAttempt(TrackedEndpoint endpoint, long sentAt) {
    this.endpoint = checkNotNull(endpoint);
    this.sentAt = sentAt;
  }

  /** Takes the call that was begun for it. */
  void setCall(EndpointCall begun) {
    call = Optional.of(begun);
  }

  /** Returns the endpoint that the request was sent to. */
  TrackedEndpoint endpoint() {
    return endpoint;
  }

  /** Returns when it was sent. */
  long sentAt() {
    return sentAt;
  }

  /** Notes that a part of the answer came. */
  void notePart(long now) {
    if (firstPartAt.isEmpty()) {
      firstPartAt = OptionalLong.of(now);
    }
  }

  /** Returns how long ago the first part of the answer came, empty if none did. */
  Optional<Duration> sinceFirstPart(long now) {
    return firstPartAt.isPresent()
        ? Optional.of(Duration.ofNanos(now - firstPartAt.getAsLong()))
        : Optional.empty();
  }

  /** Returns whether the endpoint may have the request. */
  boolean mayHaveArrived() {
    return call.filter(EndpointCall::mayHaveArrived).isPresent();
  }

  /** Returns what is known of it if it is left now. */
  Verdict verdictIfAbandoned() {
    return mayHaveArrived() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
  }

  void cancel() {
    call.ifPresent(EndpointCall::cancel);
  }

  void discard() {
    call.ifPresent(EndpointCall::discard);
  }

  void pause() {
    call.ifPresent(EndpointCall::pause);
  }

  void resume() {
    call.ifPresent(EndpointCall::resume);
  }
}
