package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Tracks the endpoints that asked this node for a backoff.
 *
 * <p>Confined to the node's event loop.
 */
final class EndpointBackoffs {
  private final Executor clock;
  private final Counters counters;
  private long lastEndsAt = Long.MIN_VALUE;

  EndpointBackoffs(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /**
   * Processes the backoff that an endpoint's answer to this node asks for.
   *
   * @param backoff the backoff of the incarnation that answered, even if that incarnation is no
   *     longer listed
   */
  void recordAnswer(FleetEndpoint endpoint, Backoff backoff, RequestedBackoff requested) {
    if (requested.isUnreadable()) {
      counters.count(Metric.ENDPOINT_BACKOFFS, "unreadable");
      EventLog.warn(Event.ENDPOINT_BACKOFF_UNREADABLE, "endpoint", endpoint.id());
    } else if (requested.isRequested()) {
      apply(endpoint, backoff, requested);
    }
  }

  private void apply(FleetEndpoint endpoint, Backoff backoff, RequestedBackoff requested) {
    counters.count(Metric.ENDPOINT_BACKOFFS, "asked");
    if (!backoff.isInForce(now())) {
      EventLog.info(
          Event.ENDPOINT_BACKOFF,
          "endpoint",
          endpoint.id(),
          "asked",
          requested,
          "callsDuringLast",
          backoff.calls());
    }
    backoff.extend(requested.length(), now());
    lastEndsAt = Math.max(lastEndsAt, backoff.endsAt());
  }

  /** Returns whether a backoff of any endpoint may be in force. */
  boolean anyInForce() {
    return now() < lastEndsAt;
  }

  /** Returns whether an endpoint's backoff permits a call for the given purpose now. */
  boolean admits(TrackedEndpoint endpoint, CallPurpose purpose) {
    Backoff backoff = endpoint.backoff();
    return purpose.isUrgent() ? backoff.admitsUrgentCall(now()) : !backoff.isInForce(now());
  }

  /** Counts a call that is made to an endpoint during its backoff. */
  void recordCall(TrackedEndpoint endpoint, CallPurpose purpose) {
    if (endpoint.backoff().isInForce(now())) {
      endpoint.backoff().recordCall();
      counters.count(Metric.BACKOFF_CALLS, purpose.label());
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
