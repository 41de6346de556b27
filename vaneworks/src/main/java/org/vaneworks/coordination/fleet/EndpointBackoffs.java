package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.util.HashSet;
import java.util.Set;
import org.vaneworks.state.StatedBackoff;
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

  /** Endpoints that asked for a time that can't be read; each is logged once. */
  private final Set<TrackedEndpoint> unreadable = new HashSet<>();

  EndpointBackoffs(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Takes what an endpoint's answer to this node says. */
  void heard(TrackedEndpoint endpoint, StatedBackoff stated) {
    if (stated.isUnreadable()) {
      noteUnreadable(endpoint);
    } else if (stated.isAsked()) {
      take(endpoint, stated);
    }
  }

  private void noteUnreadable(TrackedEndpoint endpoint) {
    counters.count(Metric.ENDPOINT_BACKOFFS, "unreadable");
    if (unreadable.add(endpoint)) {
      EventLog.warn(Event.ENDPOINT_BACKOFF_UNREADABLE, "endpoint", endpoint.endpoint().id());
    }
  }

  private void take(TrackedEndpoint endpoint, StatedBackoff stated) {
    Backoff backoff = endpoint.backoff();
    counters.count(Metric.ENDPOINT_BACKOFFS, "asked");
    EventLog.info(
        Event.ENDPOINT_BACKOFF,
        "endpoint",
        endpoint.endpoint().id(),
        "asked",
        stated,
        "callsDuringLast",
        backoff.calls());
    backoff.extend(stated.length(), now());
  }

  /** Counts a call to an endpoint that wants none. */
  void noteCall(TrackedEndpoint endpoint, CallPurpose purpose) {
    if (endpoint.backoff().isInForce(now())) {
      endpoint.backoff().noteCall();
      counters.count(Metric.BACKOFF_CALLS, purpose.label());
    }
  }

  void forget(TrackedEndpoint endpoint) {
    unreadable.remove(endpoint);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
