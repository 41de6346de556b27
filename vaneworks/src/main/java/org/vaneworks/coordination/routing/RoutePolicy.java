package org.vaneworks.coordination.routing;

import org.vaneworks.coordination.endpoints.EndpointState;

/**
 * Prices one engine as part of a route; the planner takes the cheapest tiling.
 *
 * <p>Implementations are called for every candidate of every decision, so they must be cheap.
 */
@FunctionalInterface
public interface RoutePolicy {
  /** Returns the price, not negative; infinity rules the engine out. */
  double price(EndpointState engine, RouteQuery query);
}
