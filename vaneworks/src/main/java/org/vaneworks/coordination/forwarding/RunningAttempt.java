package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.EndpointTransport.EndpointCall;
import org.vaneworks.coordination.quarantine.CrashDetector;
import org.vaneworks.state.Verdict;

/**
 * An attempt in progress and its call to the endpoint. Times are those of the executor's clock, in
 * nanoseconds. Confined to the node's event loop.
 */
final class RunningAttempt {
  private final TrackedEndpoint endpoint;
  private final long sentAt;
  private final double roundsAtStart;
  private OptionalLong firstPartAt = OptionalLong.empty();
  private long receivedBytes;
  private boolean survived;
  private boolean stream;
  private boolean success;
  private boolean delayedByCaller;
  private boolean events;
  private Optional<EndpointCall> call = Optional.empty();
  private Optional<ResponseHead> heldHead = Optional.empty();

  RunningAttempt(TrackedEndpoint endpoint, long sentAt) {
    this.endpoint = checkNotNull(endpoint);
    this.sentAt = sentAt;
    this.roundsAtStart = endpoint.rounds();
  }

  /** Sets the call that carries the attempt. */
  void setCall(EndpointCall newCall) {
    call = Optional.of(newCall);
  }

  /** Returns the endpoint to which the request was sent. */
  TrackedEndpoint endpoint() {
    return endpoint;
  }

  /** Returns when the request was sent. */
  long sentAt() {
    return sentAt;
  }

  /**
   * Records that a part of the response arrived.
   *
   * @return whether this part shows that the endpoint did not crash because of the request's start
   */
  boolean recordPart(long now, int bytes) {
    receivedBytes += bytes;
    if (firstPartAt.isEmpty()) {
      firstPartAt = OptionalLong.of(now);
    }
    boolean survivesNow =
        !survived && now - firstPartAt.getAsLong() > CrashDetector.MAX_REQUEST_AGE.toNanos();
    survived |= survivesNow;
    return survivesNow;
  }

  /**
   * Records that the head of the response arrived.
   *
   * @param isStream whether the body is a stream of events
   * @param isSuccess whether the status means success
   */
  void recordHead(boolean isStream, boolean isSuccess) {
    stream = isStream;
    success = isSuccess;
  }

  /**
   * Records the service time of a replica at the end of its response. Errors tell nothing about it,
   * as they are often faster, nor do responses that the caller read slowly.
   */
  void recordServed(long now) {
    if (success && !delayedByCaller) {
      endpoint.recordServed(serviceNanos(now), now);
    }
  }

  /** Records that a replica had not answered when the request ended. */
  void recordUnfinished(long now) {
    if (!delayedByCaller && mayHaveArrived()) {
      endpoint.recordUnfinished(serviceNanos(now), now);
    }
  }

  /** Returns the time since the request was sent, per round of the replica's slots. */
  private double serviceNanos(long now) {
    return (now - sentAt) / ((roundsAtStart + endpoint.rounds()) / 2);
  }

  /** Returns whether the body is a stream of events. */
  boolean isStream() {
    return stream;
  }

  /** Records that an event of the stream is complete. */
  void recordEvent() {
    events = true;
  }

  /** Returns whether an event of the stream is complete. */
  boolean hasEvents() {
    return events;
  }

  /** Returns the number of bytes of the response's body that have arrived. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Holds a head that is to be passed on with the first event. */
  void holdHead(ResponseHead head) {
    heldHead = Optional.of(head);
  }

  /** Returns whether a head is held. */
  boolean hasHead() {
    return heldHead.isPresent();
  }

  /** Removes and returns the held head, if any. */
  Optional<ResponseHead> takeHead() {
    Optional<ResponseHead> head = heldHead;
    heldHead = Optional.empty();
    return head;
  }

  /** Returns the time since the first part of the response; empty if there was none. */
  Optional<Duration> sinceFirstPart(long now) {
    return firstPartAt.isPresent()
        ? Optional.of(Duration.ofNanos(now - firstPartAt.getAsLong()))
        : Optional.empty();
  }

  /** Returns whether the request may have reached the endpoint. */
  boolean mayHaveArrived() {
    return call.filter(EndpointCall::mayHaveArrived).isPresent();
  }

  /**
   * Returns whether the process to which the request was sent is known to have ended. A later
   * incarnation does not prove that, as it may have received the request itself.
   */
  boolean hasEndpointEnded() {
    return endpoint.refusedConnectionSince(sentAt);
  }

  /** Returns whether the request may have run if the attempt is abandoned now. */
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
    delayedByCaller = true;
    call.ifPresent(EndpointCall::pause);
  }

  void resume() {
    call.ifPresent(EndpointCall::resume);
  }
}
