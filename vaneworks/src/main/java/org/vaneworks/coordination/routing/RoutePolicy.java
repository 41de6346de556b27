package org.vaneworks.coordination.routing;

import org.vaneworks.coordination.endpoints.EndpointState;

/**
 * Computes the cost of one engine as part of a route; the planner chooses the cheapest sequence of
 * engines that covers the layers.
 *
 * <p>Implementations are called for every candidate of every decision, so they must be fast.
 */
@FunctionalInterface
public interface RoutePolicy {
  /** Returns the cost, which is not negative; infinity excludes the engine. */
  double cost(EndpointState engine, RouteQuery query);
}
