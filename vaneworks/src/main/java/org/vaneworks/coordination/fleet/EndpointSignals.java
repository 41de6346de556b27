package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Executor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * The rate limits, backoffs and shutdown announcements that endpoints send with their answers.
 *
 * <p>A signal applies to the incarnation that sent it, even if the endpoint's list entry changes.
 * Confined to the node's event loop.
 */
public final class EndpointSignals {
  /** Four times the endpoints of the largest planned fleet; takes about 2 MB. */
  private static final int MAX_INCARNATIONS = 10_000;

  private final Counters counters;
  private final Executor clock;
  private final EndpointRateLimits rateLimits;
  private final EndpointBackoffs backoffs;
  private final Function<FleetEndpoint, Optional<TrackedEndpoint>> listed;
  private final Consumer<TrackedEndpoint> onLeaving;

  /** The signals of the newest incarnation of each endpoint, by endpoint ID. */
  private final Map<String, IncarnationSignals> byId = new LinkedHashMap<>();

  /**
   * Creates an instance without any signals.
   *
   * @param listed finds the table's endpoint of the same incarnation, if there is one
   * @param onLeaving called once for each listed endpoint whose answer announces its shutdown
   */
  EndpointSignals(
      Executor clock,
      Counters counters,
      Function<FleetEndpoint, Optional<TrackedEndpoint>> listed,
      Consumer<TrackedEndpoint> onLeaving) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    this.listed = checkNotNull(listed);
    this.onLeaving = checkNotNull(onLeaving);
    rateLimits = new EndpointRateLimits(clock, counters);
    backoffs = new EndpointBackoffs(clock, counters);
  }

  /**
   * Returns the signals of an endpoint's incarnation. Successive calls return the same object
   * unless a newer incarnation is known or the object was evicted.
   */
  IncarnationSignals of(FleetEndpoint endpoint) {
    Incarnation incarnation = endpoint.incarnation();
    IncarnationSignals known = byId.get(endpoint.id());
    if (known != null && known.belongTo(incarnation)) {
      return known;
    }
    IncarnationSignals created = new IncarnationSignals(incarnation);
    if (known == null || !known.supersede(incarnation)) {
      byId.put(endpoint.id(), created);
      evictOldest();
    }
    return created;
  }

  private void evictOldest() {
    if (byId.size() > MAX_INCARNATIONS) {
      byId.remove(byId.keySet().iterator().next());
    }
  }

  /** Adds an endpoint that entered the table; its incarnation may have sent signals earlier. */
  void add(TrackedEndpoint endpoint) {
    rateLimits.add(endpoint);
  }

  void remove(TrackedEndpoint endpoint) {
    rateLimits.remove(endpoint);
  }

  /** Processes the signals on an endpoint's answer to a request. */
  public void recordAnswer(TrackedEndpoint endpoint, EndpointSignal received) {
    // If the entry lapsed and reappeared in the meantime, the table has another object for it.
    rateLimits.recordFromEndpoint(
        listed.apply(endpoint.endpoint()).orElse(endpoint), received.limit());
    apply(endpoint.endpoint(), endpoint.signals(), received);
  }

  /** Processes the signals on an engine's answer to a report request or an order. */
  public void recordCallAnswer(FleetEndpoint engine, EndpointSignal received) {
    apply(engine, of(engine), received);
  }

  private void apply(FleetEndpoint endpoint, IncarnationSignals recorded, EndpointSignal received) {
    backoffs.recordAnswer(endpoint, recorded.backoff(), received.backoff());
    if (received.leaving() && !recorded.isLeaving()) {
      recorded.markLeaving();
      listed.apply(endpoint).ifPresent(onLeaving);
    }
  }

  /** Returns the rate limits of the endpoints. */
  public EndpointRateLimits rateLimits() {
    return rateLimits;
  }

  /** Returns whether any endpoint may accept fewer requests than its capacity allows. */
  boolean anyInForce() {
    return backoffs.anyInForce() || !rateLimits.inForce().isEmpty();
  }

  /**
   * Returns whether an endpoint's backoff permits a call for the given purpose now. Callers'
   * requests are sent only to {@link Fleet#usable} endpoints.
   */
  public boolean admits(TrackedEndpoint endpoint, CallPurpose purpose) {
    return backoffs.admits(endpoint, purpose);
  }

  /** Records a call of this node to an endpoint; must be called for every call. */
  public void recordCall(TrackedEndpoint endpoint, CallPurpose purpose) {
    if (purpose.countsAgainstLimit()) {
      endpoint.rateLimit().recordRequest(clock.currentTime(NANOSECONDS));
    }
    backoffs.recordCall(endpoint, purpose);
  }

  /** Counts a health or pace probe. */
  void recordProbe() {
    counters.count(Metric.ENGINE_QUESTIONS, "health");
  }

  /** Counts a probe timeout that is disregarded because this node itself was delayed. */
  void recordDisregardedTimeout() {
    counters.count(Metric.UNCOUNTED_SILENCES, "question");
  }
}
