package org.vaneworks.coordination.admission;

import java.time.Duration;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RouteQuery;

/** Decides whether a planned route may accept one more stream now. */
@FunctionalInterface
public interface AdmissionPolicy {
  /**
   * Returns whether the route may accept the stream.
   *
   * @param route the route with the lowest cost
   * @param query the query that the route was planned for
   * @param waited how long the request has already waited in the queue
   */
  boolean admits(RoutePlanner.PlannedRoute route, RouteQuery query, Duration waited);

  /** Returns a policy that admits a stream if every engine has fewer than {@code cap} streams. */
  static AdmissionPolicy fixedCap(int cap) {
    return (route, query, waited) ->
        route.engines().stream().allMatch(engine -> engine.inFlight() < cap);
  }

  /**
   * Returns a policy that admits a stream if the predicted time to the first token and the
   * predicted time between tokens are within the bounds of the query.
   *
   * <p>An idle route is always accepted, since waiting would not improve the prediction.
   */
  static AdmissionPolicy withinBounds(EndpointLimits limits) {
    return (route, query, waited) -> {
      double stepMillis = 0;
      double squaredTails = 0;
      double firstTokenMillis = waited.toNanos() / 1e6;
      boolean idle = true;
      for (EndpointState engine : route.engines()) {
        int inFlight = engine.inFlight();
        int cap = engine.hasLearnedStepTimes() ? limits.maxStreams() : limits.streamsWhileUnknown();
        if (inFlight >= cap) {
          return false;
        }
        double running = engine.estimatedRunning();
        idle &= inFlight == 0 && running < 1;
        stepMillis += engine.predictedStepMillis(running + 1);
        squaredTails += engine.stepTailMillis() * engine.stepTailMillis();
        firstTokenMillis +=
            engine.predictedPromptMillis(
                query.promptTokens() * (1 - engine.cachedShare(query.prefixes())));
      }
      double slowStepMillis = stepMillis + Math.sqrt(squaredTails);
      boolean meetsBetweenTokens = slowStepMillis <= query.betweenTokens().toMillis();
      boolean meetsFirstToken = firstTokenMillis <= query.firstToken().toMillis();
      return idle || (meetsBetweenTokens && meetsFirstToken);
    };
  }
}
