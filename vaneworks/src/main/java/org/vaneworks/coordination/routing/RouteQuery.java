package org.vaneworks.coordination.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.LayerRange;

/**
 * What a route is wanted for.
 *
 * @param model the model's name
 * @param span the layers to cover
 * @param promptTokens positions to run before the first new token
 * @param newTokens tokens still to make
 * @param prefixes hashes of the prompt's growing prefixes, shortest first
 * @param firstToken bound on the first token
 * @param betweenTokens bound between tokens
 * @param excluded engines not to use
 */
public record RouteQuery(
    String model,
    LayerRange span,
    int promptTokens,
    int newTokens,
    ImmutableList<Long> prefixes,
    Duration firstToken,
    Duration betweenTokens,
    ImmutableSet<EndpointId> excluded) {
  /** Checks that every part is given. */
  public RouteQuery {
    checkNotNull(model);
    checkNotNull(span);
    checkNotNull(prefixes);
    checkNotNull(excluded);
  }

  /** Returns the query for other layers, with other engines excluded. */
  public RouteQuery covering(LayerRange layers, Iterable<EndpointId> without) {
    return new RouteQuery(
        model,
        layers,
        promptTokens,
        newTokens,
        prefixes,
        firstToken,
        betweenTokens,
        ImmutableSet.copyOf(without));
  }

  /** Returns the query for other amounts of work. */
  public RouteQuery withWork(int positions, int tokens) {
    return new RouteQuery(
        model, span, positions, tokens, prefixes, firstToken, betweenTokens, excluded);
  }
}
