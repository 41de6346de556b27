package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Which endpoints say how many requests a second they take from all nodes together.
 *
 * <p>The newest statement of an endpoint counts, whichever node it was made to. Confined to the
 * node's event loop.
 */
public final class EndpointLimits {
  /** A statement is told to peers for this long: several of their rounds, also at 350 nodes. */
  private static final Duration TOLD_FOR = Duration.ofSeconds(5);

  /** So that a report of loads stays one datagram; some 10 bytes each. */
  private static final int MOST_TOLD = 200;

  private final Executor clock;
  private final Counters counters;

  /** Endpoints with a limit in force, and those whose limit ended a moment ago. */
  private final Set<TrackedEndpoint> known = new LinkedHashSet<>();

  /** Endpoints that named a limit that can't be read; each is logged once. */
  private final Set<TrackedEndpoint> unreadable = new HashSet<>();

  EndpointLimits(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Takes what an endpoint's answer to this node says. */
  public void heard(TrackedEndpoint endpoint, AdvertisedRateLimit stated) {
    if (stated.isUnreadable()) {
      noteUnreadable(endpoint);
    } else if (stated.isLimited() || known.contains(endpoint)) {
      endpoint.startLimit().toldThisNode(now());
      take(endpoint, stated, now(), "endpoint");
    }
  }

  private void noteUnreadable(TrackedEndpoint endpoint) {
    counters.count(Metric.ENDPOINT_LIMITS, "unreadable");
    if (unreadable.add(endpoint)) {
      EventLog.warn(Event.ENDPOINT_LIMIT_UNREADABLE, "endpoint", endpoint.endpoint().id());
    }
  }

  /**
   * Takes what an endpoint's answer to a peer said, unless a newer statement is known.
   *
   * @param heardAt when the peer had it, on this node's clock in nanoseconds
   */
  public void heardOfPeer(TrackedEndpoint endpoint, AdvertisedRateLimit stated, long heardAt) {
    if (heardAt > endpoint.startLimit().heardAt()) {
      take(endpoint, stated, heardAt, "peer");
    }
  }

  private void take(
      TrackedEndpoint endpoint, AdvertisedRateLimit stated, long heardAt, String toldBy) {
    log(endpoint, stated, toldBy);
    endpoint.startLimit().take(stated, heardAt);
    known.add(endpoint);
  }

  private void log(TrackedEndpoint endpoint, AdvertisedRateLimit stated, String toldBy) {
    StartLimit before = endpoint.startLimit();
    if (before.stated().isLimited() == stated.isLimited()) {
      return;
    }
    counters.count(Metric.ENDPOINT_LIMITS, stated.isLimited() ? "named" : "over");
    EventLog.info(
        Event.ENDPOINT_LIMIT,
        "endpoint",
        endpoint.endpoint().id(),
        "limit",
        stated,
        "toldBy",
        toldBy,
        "sentSinceLastChange",
        before.startsSinceChange());
  }

  /** Takes note of an endpoint that is found: its run may have named a limit before. */
  void found(TrackedEndpoint endpoint) {
    if (endpoint.startLimit().inForce()) {
      known.add(endpoint);
    }
  }

  void forget(TrackedEndpoint endpoint) {
    known.remove(endpoint);
    unreadable.remove(endpoint);
  }

  /** Returns the endpoints whose limit is in force. */
  public ImmutableList<TrackedEndpoint> inForce() {
    return known.stream()
        .filter(endpoint -> endpoint.startLimit().inForce())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the endpoints of which peers may not know yet: a limit, or the end of one. */
  public ImmutableList<TrackedEndpoint> news() {
    long oldest = now() - TOLD_FOR.toNanos();
    known.removeIf(
        endpoint -> !endpoint.startLimit().inForce() && endpoint.startLimit().changedAt() < oldest);
    return known.stream()
        .filter(endpoint -> endpoint.startLimit().heardAt() >= oldest)
        .limit(MOST_TOLD)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns those of the {@link #news} that endpoints told this node itself. */
  public ImmutableList<TrackedEndpoint> ownNews() {
    long oldest = now() - TOLD_FOR.toNanos();
    return news().stream()
        .filter(endpoint -> endpoint.startLimit().toldThisNodeAt() >= oldest)
        .collect(ImmutableList.toImmutableList());
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
