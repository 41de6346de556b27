package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.util.HashMap;
import java.util.Map;
import org.vaneworks.state.StatedBackoff;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Which endpoints want no calls from this node for a time.
 *
 * <p>It holds for the run of an endpoint's process, also if its entry lapses meanwhile and the
 * endpoint is found anew. Confined to the node's event loop.
 */
final class EndpointBackoffs {
  private record Kept(Incarnation run, Backoff backoff) {}

  private final Executor clock;
  private final Counters counters;

  /** Those in force, by the endpoint's id. */
  private final Map<String, Kept> kept = new HashMap<>();

  private long lastEndsAt = Long.MIN_VALUE;

  EndpointBackoffs(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Returns the backoff of a run that is found, for the first time or anew. */
  Backoff of(FleetEndpoint found) {
    Kept known = kept.get(found.id());
    boolean sameRun = known != null && known.run().equals(found.incarnation());
    return sameRun ? known.backoff() : new Backoff();
  }

  /**
   * Takes what an endpoint's answer to this node says.
   *
   * @param backoff of the run that answered, also if that has lapsed from the list
   */
  void heard(FleetEndpoint endpoint, Backoff backoff, StatedBackoff stated) {
    if (stated.isUnreadable()) {
      counters.count(Metric.ENDPOINT_BACKOFFS, "unreadable");
      EventLog.warn(Event.ENDPOINT_BACKOFF_UNREADABLE, "endpoint", endpoint.id());
    } else if (stated.isAsked()) {
      take(endpoint, backoff, stated);
    }
  }

  private void take(FleetEndpoint endpoint, Backoff backoff, StatedBackoff stated) {
    counters.count(Metric.ENDPOINT_BACKOFFS, "asked");
    EventLog.info(
        Event.ENDPOINT_BACKOFF,
        "endpoint",
        endpoint.id(),
        "asked",
        stated,
        "callsDuringLast",
        backoff.calls());
    backoff.extend(stated.length(), now());
    lastEndsAt = Math.max(lastEndsAt, backoff.endsAt());
    keep(endpoint, backoff);
  }

  private void keep(FleetEndpoint endpoint, Backoff backoff) {
    long now = now();
    kept.values().removeIf(other -> !other.backoff().isInForce(now));
    kept.put(endpoint.id(), new Kept(endpoint.incarnation(), backoff));
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
