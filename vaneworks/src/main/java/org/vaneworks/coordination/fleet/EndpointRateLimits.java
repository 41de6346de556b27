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
 * Tracks the endpoints that limit the requests per second they accept from all nodes together.
 *
 * <p>The newest limit that an endpoint announced applies, regardless of which node received it.
 * Confined to the node's event loop.
 */
public final class EndpointRateLimits {
  /**
   * How long a change is reported to peers: several rounds of load reports, even with 350 nodes.
   */
  private static final Duration REPORTED_FOR = Duration.ofSeconds(5);

  /** Keeps a load report within one datagram, at about 10 bytes per limit. */
  private static final int MAX_REPORTED = 200;

  private final ReportSelection reported = new ReportSelection(MAX_REPORTED);
  private final Executor clock;
  private final Counters counters;

  /** Endpoints with a limit in force, and those whose limit ended recently. */
  private final Set<TrackedEndpoint> known = new LinkedHashSet<>();

  /** Endpoints that announced an unreadable limit; each is logged once. */
  private final Set<TrackedEndpoint> unreadable = new HashSet<>();

  EndpointRateLimits(Executor clock, Counters counters) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
  }

  /** Processes the limit that an endpoint's answer to this node announces. */
  public void recordFromEndpoint(TrackedEndpoint endpoint, AdvertisedRateLimit limit) {
    if (limit.isUnreadable()) {
      recordUnreadable(endpoint);
    } else if (limit.isLimited() || known.contains(endpoint)) {
      endpoint.rateLimit().recordFirstHand(now());
      apply(endpoint, limit, now(), "endpoint");
    }
  }

  private void recordUnreadable(TrackedEndpoint endpoint) {
    counters.count(Metric.ENDPOINT_LIMITS, "unreadable");
    if (unreadable.add(endpoint)) {
      EventLog.warn(Event.ENDPOINT_LIMIT_UNREADABLE, "endpoint", endpoint.endpoint().id());
    }
  }

  /**
   * Processes the limit that an endpoint announced to a peer, unless a newer one is known.
   *
   * @param receivedAt when the peer received the limit, in nanoseconds on this node's clock
   */
  public void recordFromPeer(TrackedEndpoint endpoint, AdvertisedRateLimit limit, long receivedAt) {
    if (receivedAt > endpoint.rateLimit().receivedAt()) {
      apply(endpoint, limit, receivedAt, "peer");
    }
  }

  private void apply(
      TrackedEndpoint endpoint, AdvertisedRateLimit limit, long receivedAt, String source) {
    log(endpoint, limit, source);
    endpoint.rateLimit().update(limit, receivedAt);
    known.add(endpoint);
  }

  private void log(TrackedEndpoint endpoint, AdvertisedRateLimit limit, String source) {
    EndpointRateLimit current = endpoint.rateLimit();
    if (current.limit().isLimited() == limit.isLimited()) {
      return;
    }
    counters.count(Metric.ENDPOINT_LIMITS, limit.isLimited() ? "named" : "over");
    EventLog.info(
        Event.ENDPOINT_LIMIT,
        "endpoint",
        endpoint.endpoint().id(),
        "limit",
        limit,
        "toldBy",
        source,
        "sentSinceLastChange",
        current.requestsSinceChange());
  }

  /** Adds an endpoint that entered the table, if its incarnation announced a limit earlier. */
  void add(TrackedEndpoint endpoint) {
    if (endpoint.rateLimit().inForce()) {
      known.add(endpoint);
    }
  }

  void remove(TrackedEndpoint endpoint) {
    known.remove(endpoint);
    unreadable.remove(endpoint);
  }

  /** Returns the endpoints whose limit is in force. */
  public ImmutableList<TrackedEndpoint> inForce() {
    return known.stream()
        .filter(endpoint -> endpoint.rateLimit().inForce())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the endpoints whose limit was announced or withdrawn recently enough to be reported to
   * peers; a part in each round, if there are too many for one report.
   */
  public ImmutableList<TrackedEndpoint> recentChanges() {
    return reported.select(changedSince(oldestReported()));
  }

  /** Does so with the endpoints that announced that to this node directly. */
  public ImmutableList<TrackedEndpoint> recentOwnChanges() {
    long oldest = oldestReported();
    return reported.select(
        changedSince(oldest).stream()
            .filter(endpoint -> endpoint.rateLimit().receivedFirstHandAt() >= oldest)
            .collect(ImmutableList.toImmutableList()));
  }

  /** Starts a round in which this node reports to each peer once. */
  public void startReportRound() {
    reported.startRound();
  }

  private long oldestReported() {
    return now() - REPORTED_FOR.toNanos();
  }

  private ImmutableList<TrackedEndpoint> changedSince(long oldest) {
    known.removeIf(
        endpoint -> !endpoint.rateLimit().inForce() && endpoint.rateLimit().changedAt() < oldest);
    return known.stream()
        .filter(endpoint -> endpoint.rateLimit().receivedAt() >= oldest)
        .collect(ImmutableList.toImmutableList());
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
