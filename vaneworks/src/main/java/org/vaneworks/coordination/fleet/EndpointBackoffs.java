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
 * Which endpoints want no calls from this node for a time.
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
   * Takes what an endpoint's answer to this node says.
   *
   * @param backoff of the run that answered, also if that has lapsed from the list
   */
  void heard(FleetEndpoint endpoint, Backoff backoff, RequestedBackoff stated) {
    if (stated.isUnreadable()) {
      counters.count(Metric.ENDPOINT_BACKOFFS, "unreadable");
      EventLog.warn(Event.ENDPOINT_BACKOFF_UNREADABLE, "endpoint", endpoint.id());
    } else if (stated.isRequested()) {
      take(endpoint, backoff, stated);
    }
  }

  private void take(FleetEndpoint endpoint, Backoff backoff, RequestedBackoff stated) {
    counters.count(Metric.ENDPOINT_BACKOFFS, "asked");
    if (!backoff.isInForce(now())) {
      EventLog.info(
          Event.ENDPOINT_BACKOFF,
          "endpoint",
          endpoint.id(),
          "asked",
          stated,
          "callsDuringLast",
          backoff.calls());
    }
    backoff.extend(stated.length(), now());
    lastEndsAt = Math.max(lastEndsAt, backoff.endsAt());
  }

  /** Returns whether any endpoint may want no calls. */
  boolean anyInForce() {
    return now() < lastEndsAt;
  }

  /** Returns whether an endpoint takes a call for a purpose now. */
  boolean admits(TrackedEndpoint endpoint, CallPurpose purpose) {
    Backoff backoff = endpoint.backoff();
    return purpose.isUrgent() ? backoff.admitsUrgentCall(now()) : !backoff.isInForce(now());
  }

  /** Counts a call to an endpoint that wants none. */
  void noteCall(TrackedEndpoint endpoint, CallPurpose purpose) {
    if (endpoint.backoff().isInForce(now())) {
      endpoint.backoff().noteCall();
      counters.count(Metric.BACKOFF_CALLS, purpose.label());
    }
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
