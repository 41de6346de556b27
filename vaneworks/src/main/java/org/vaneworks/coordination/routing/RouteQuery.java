package org.vaneworks.coordination.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.LayerRange;

/**
 * The input of a route search.
 *
 * @param model the model's name
 * @param span the layers to cover
 * @param promptTokens number of positions to process before the first new token
 * @param newTokens number of tokens still to generate
 * @param prefixes hashes of the prompt's growing prefixes, shortest first
 * @param firstToken bound on the time to the first token
 * @param betweenTokens bound on the time between tokens
 * @param excluded engines that must not be used
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
  /** Checks that model, span, prefixes and excluded engines are given. */
  public RouteQuery {
    checkNotNull(model);
    checkNotNull(span);
    checkNotNull(prefixes);
    checkNotNull(excluded);
  }

  /** Returns a copy of this query with other layers and other excluded engines. */
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

  /** Returns a copy of this query with another amount of work. */
  public RouteQuery withWork(int positions, int tokens) {
    return new RouteQuery(
        model, span, positions, tokens, prefixes, firstToken, betweenTokens, excluded);
  }
}
