package org.vaneworks.coordination.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.Route;

/**
 * Finds the cheapest route over the engines' layer ranges.
 *
 * <p>Layer boundaries are the vertices and engines the edges of an acyclic graph. The edges are
 * already sorted by their start, so one pass finds the shortest path in time linear in the number
 * of engines of the model plus the number of layers. Thread-safe.
 */
public final class RoutePlanner {
  /**
   * Cost added for an engine that is a last resort; above the cost of any route of usable engines.
   */
  private static final double LAST_RESORT_COST = 1e12;

  private final EndpointTable table;
  private final RoutePolicy policy;

  private RoutePlanner(EndpointTable table, RoutePolicy policy) {
    this.table = checkNotNull(table);
    this.policy = checkNotNull(policy);
  }

  /** Returns a planner over the table's engines. */
  public static RoutePlanner create(EndpointTable table, RoutePolicy policy) {
    return new RoutePlanner(table, policy);
  }

  /**
   * Returns the cheapest route of usable engines. If these do not cover the span, returns a route
   * with as few last-resort engines as possible, or empty if there is none.
   */
  public Optional<PlannedRoute> plan(RouteQuery query) {
    LayerRange span = query.span();
    double[] cost = new double[span.size() + 1];
    EndpointState[] via = new EndpointState[span.size() + 1];
    Arrays.fill(cost, Double.POSITIVE_INFINITY);
    cost[0] = 0;
    for (EndpointState engine : table.serving(query.model())) {
      relax(query, engine, cost, via);
    }
    if (via[span.size()] == null) {
      return Optional.empty();
    }
    return Optional.of(PlannedRoute.of(span, backtrack(span, via)));
  }

  private void relax(RouteQuery query, EndpointState engine, double[] cost, EndpointState[] via) {
    LayerRange span = query.span();
    LayerRange range = engine.endpoint().layers().orElse(null);
    if (range == null || range.from() < span.from() || range.to() > span.to()) {
      return;
    }
    int from = range.from() - span.from();
    int to = range.to() - span.from();
    boolean usable = engine.isUsable();
    if (cost[from] == Double.POSITIVE_INFINITY
        || query.excluded().contains(engine.endpoint().id())
        || !(usable || engine.isLastResort())) {
      return;
    }
    double surcharge = usable ? 0 : LAST_RESORT_COST;
    double candidate = cost[from] + surcharge + policy.cost(engine, query);
    if (candidate < cost[to]) {
      cost[to] = candidate;
      via[to] = engine;
    }
  }

  private static List<EndpointState> backtrack(LayerRange span, EndpointState[] via) {
    Deque<EndpointState> hops = new ArrayDeque<>();
    int boundary = span.size();
    while (boundary > 0) {
      EndpointState hop = via[boundary];
      hops.addFirst(hop);
      boundary = hop.endpoint().layers().get().from() - span.from();
    }
    return ImmutableList.copyOf(hops);
  }

  /** A route with the states of its engines. */
  public static final class PlannedRoute {
    private final Route route;
    private final ImmutableList<EndpointState> engines;

    private PlannedRoute(Route route, ImmutableList<EndpointState> engines) {
      this.route = route;
      this.engines = engines;
    }

    static PlannedRoute of(LayerRange span, List<EndpointState> engines) {
      List<Endpoint> hops = engines.stream().map(EndpointState::endpoint).toList();
      return new PlannedRoute(Route.tiling(span, hops), ImmutableList.copyOf(engines));
    }

    /** Returns the route. */
    public Route route() {
      return route;
    }

    /** Returns whether the route contains an engine that is used only as a last resort. */
    public boolean isLastResort() {
      return !engines.stream().allMatch(EndpointState::isUsable);
    }

    /** Returns the engines in layer order. */
    public ImmutableList<EndpointState> engines() {
      return engines;
    }
  }
}
