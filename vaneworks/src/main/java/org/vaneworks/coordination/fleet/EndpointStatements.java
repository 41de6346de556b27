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
 * What endpoints say of themselves on their answers, and which calls they take by that.
 *
 * <p>What was said holds for the run of an endpoint's process, whatever the list says of the
 * endpoint meanwhile. Confined to the node's event loop.
 */
public final class EndpointStatements {
  /** Four times the endpoints of the largest fleet that is planned for; some 2 MB. */
  private static final int MOST_RUNS = 10_000;

  private final Counters counters;
  private final Executor clock;
  private final EndpointLimits limits;
  private final EndpointBackoffs backoffs;
  private final Function<FleetEndpoint, Optional<TrackedEndpoint>> listed;
  private final Consumer<TrackedEndpoint> onLeaving;

  /** The newest run of each endpoint, by its id. */
  private final Map<String, RunStatements> byId = new LinkedHashMap<>();

  /**
   * Makes one that knows no endpoint.
   *
   * @param listed finds the same run of an endpoint in the table, if it is there
   * @param onLeaving is told once of each listed endpoint whose answer announces its end
   */
  EndpointStatements(
      Executor clock,
      Counters counters,
      Function<FleetEndpoint, Optional<TrackedEndpoint>> listed,
      Consumer<TrackedEndpoint> onLeaving) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    this.listed = checkNotNull(listed);
    this.onLeaving = checkNotNull(onLeaving);
    limits = new EndpointLimits(clock, counters);
    backoffs = new EndpointBackoffs(clock, counters);
  }

  /** Returns what a run has said of itself: the same object each time, unless the run is over. */
  RunStatements of(FleetEndpoint endpoint) {
    Incarnation run = endpoint.incarnation();
    RunStatements known = byId.get(endpoint.id());
    if (known != null && known.areOf(run)) {
      return known;
    }
    RunStatements made = new RunStatements(run);
    if (known == null || !known.outdate(run)) {
      byId.put(endpoint.id(), made);
      forgetOldest();
    }
    return made;
  }

  private void forgetOldest() {
    if (byId.size() > MOST_RUNS) {
      byId.remove(byId.keySet().iterator().next());
    }
  }

  /** Takes note of an endpoint that is found: its run may have said something before. */
  void found(TrackedEndpoint endpoint) {
    limits.found(endpoint);
  }

  void forget(TrackedEndpoint endpoint) {
    limits.forget(endpoint);
  }

  /** Takes what an endpoint says of itself on its answer to a request. */
  public void answered(TrackedEndpoint endpoint, EndpointSignal said) {
    // If its entry has lapsed and come back meanwhile, it is known as another one by now.
    limits.heard(listed.apply(endpoint.endpoint()).orElse(endpoint), said.limit());
    take(endpoint.endpoint(), endpoint.statements(), said);
  }

  /** Takes what an engine says of itself on its answer to a question or an order. */
  public void answeredCall(FleetEndpoint engine, EndpointSignal said) {
    take(engine, of(engine), said);
  }

  private void take(FleetEndpoint endpoint, RunStatements before, EndpointSignal said) {
    backoffs.heard(endpoint, before.backoff(), said.backoff());
    if (said.leaving() && !before.isLeaving()) {
      before.announceEnd();
      listed.apply(endpoint).ifPresent(onLeaving);
    }
  }

  /** Returns which endpoints say how many requests a second they take. */
  public EndpointLimits limits() {
    return limits;
  }

  /** Returns whether any endpoint may take fewer requests than it has room for. */
  boolean anyBinds() {
    return backoffs.anyInForce() || !limits.inForce().isEmpty();
  }

  /**
   * Returns whether an endpoint takes a call for a purpose now. Requests go to {@link Fleet#usable}
   * endpoints only.
   */
  public boolean admits(TrackedEndpoint endpoint, CallPurpose purpose) {
    return backoffs.admits(endpoint, purpose);
  }

  /** Notes that this node calls an endpoint; every call is noted. */
  public void noteCall(TrackedEndpoint endpoint, CallPurpose purpose) {
    if (purpose.countsAgainstLimit()) {
      endpoint.startLimit().noteStart(clock.currentTime(NANOSECONDS));
    }
    backoffs.noteCall(endpoint, purpose);
  }

  /** Counts a report that is asked of an engine for a sign of life or its pace. */
  void noteAsked() {
    counters.count(Metric.ENGINE_QUESTIONS, "health");
  }

  /** Counts a question whose limit this node's own delay used up. */
  void noteUncounted() {
    counters.count(Metric.UNCOUNTED_SILENCES, "question");
  }
}
