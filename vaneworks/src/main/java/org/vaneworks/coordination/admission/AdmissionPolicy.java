package org.vaneworks.coordination.admission;

import java.time.Duration;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RouteQuery;

/** Decides whether a planned route may take one more stream now. */
@FunctionalInterface
public interface AdmissionPolicy {
  /**
   * Returns whether the route may take the stream.
   *
   * @param route the cheapest route
   * @param query what it is wanted for
   * @param waited how long the request has waited already
   */
  boolean admits(RoutePlanner.PlannedRoute route, RouteQuery query, Duration waited);

  /** Returns the policy that admits while every hop holds fewer streams than a fixed cap. */
  static AdmissionPolicy fixedCap(int cap) {
    return (route, query, waited) ->
        route.engines().stream().allMatch(engine -> engine.inFlight() < cap);
  }

  /**
   * Returns the policy that admits while the predicted pace and first token hold their bounds.
   *
   * <p>An idle route is always good enough: waiting would not make it better.
   */
  static AdmissionPolicy withinBounds(EndpointLimits limits) {
    return (route, query, waited) -> {
      double pace = 0;
      double tails = 0;
      double first = waited.toNanos() / 1e6;
      boolean idle = true;
      for (EndpointState engine : route.engines()) {
        int mine = engine.inFlight();
        int cap = engine.hasLearnedStepTimes() ? limits.maxStreams() : limits.streamsWhileUnknown();
        if (mine >= cap) {
          return false;
        }
        double running = engine.estimatedRunning();
        idle &= mine == 0 && running < 1;
        pace += engine.predictedStepMillis(running + 1);
        tails += engine.stepTailMillis() * engine.stepTailMillis();
        first +=
            engine.predictedPromptMillis(
                query.promptTokens() * (1 - engine.cachedShare(query.prefixes())));
      }
      double slowPace = pace + Math.sqrt(tails);
      boolean paceHolds = slowPace <= query.betweenTokens().toMillis();
      boolean firstHolds = first <= query.firstToken().toMillis();
      return idle || (paceHolds && firstHolds);
    };
  }
}
