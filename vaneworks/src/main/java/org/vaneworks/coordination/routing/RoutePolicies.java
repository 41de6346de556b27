package org.vaneworks.coordination.routing;

import java.util.Random;

/** The policies of route choice: the product's own, and baselines to measure it against. */
public final class RoutePolicies {
  /**
   * Routes within this share of each other count as equal, and chance picks among them.
   *
   * <p>All nodes read the same lagging reports; without it they would all pick the same engine.
   */
  private static final double NEAR_EQUAL = 0.08;

  /** How many coming tokens' pace counts beside the first token. */
  private static final int TOKENS_AHEAD = 48;

  /** Price of an engine of which nothing is known, so that it gets tried. */
  private static final double UNKNOWN_PRICE = 1;

  private RoutePolicies() {}

  /**
   * Returns the policy that prices an engine at the time that the request would spend there.
   *
   * @param random seeded source of chance
   */
  public static RoutePolicy predictedTime(Random random) {
    return (engine, query) -> {
      double running = engine.estimatedRunning();
      double uncached = query.promptTokens() * (1 - engine.cachedShare(query.prefixes()));
      double prompt = engine.predictedPromptMillis(uncached);
      double pace = engine.predictedStepMillis(running + 1);
      double slowPace = pace + engine.stepTailMillis();
      double price = prompt + slowPace * Math.min(query.newTokens(), TOKENS_AHEAD);
      return (UNKNOWN_PRICE + price) * (1 + NEAR_EQUAL * random.nextDouble());
    };
  }

  /** Returns the baseline that takes any usable engine. */
  public static RoutePolicy random(Random random) {
    return (engine, query) -> random.nextDouble();
  }

  /** Returns the baseline that takes the engines in turn. */
  public static RoutePolicy roundRobin() {
    return (engine, query) -> engine.uses();
  }

  /** Returns the baseline that takes the engine with the fewest of this node's streams. */
  public static RoutePolicy leastInFlight(Random random) {
    return (engine, query) -> 1 + engine.inFlight() + random.nextDouble() / 2;
  }
}
