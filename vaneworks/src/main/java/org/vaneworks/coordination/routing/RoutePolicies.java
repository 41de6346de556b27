package org.vaneworks.coordination.routing;

import java.util.Random;

/** The policies of route choice: the default and baselines to compare it with. */
public final class RoutePolicies {
  /**
   * Costs within this share of each other count as equal, and a random factor decides between them.
   *
   * <p>All nodes read the same lagging reports; without the random factor they would all choose the
   * same engine.
   */
  private static final double NEAR_EQUAL_SHARE = 0.08;

  /** Maximum number of tokens after the first whose time counts towards the cost. */
  private static final int MAX_TOKENS_CONSIDERED = 48;

  /**
   * Cost added to every engine. It is the whole cost of an engine without learned times, which is
   * therefore tried.
   */
  private static final double BASE_COST = 1;

  private RoutePolicies() {}

  /**
   * Returns the policy whose cost is the time that the request is expected to spend on an engine.
   *
   * @param random seeded random source
   */
  public static RoutePolicy predictedTime(Random random) {
    return (engine, query) -> {
      double running = engine.estimatedRunning();
      double uncached = query.promptTokens() * (1 - engine.cachedShare(query.prefixes()));
      double promptMillis = engine.predictedPromptMillis(uncached);
      double stepMillis = engine.predictedStepMillis(running + 1);
      double tailStepMillis = stepMillis + engine.stepTailMillis();
      double cost =
          promptMillis + tailStepMillis * Math.min(query.newTokens(), MAX_TOKENS_CONSIDERED);
      return (BASE_COST + cost) * (1 + NEAR_EQUAL_SHARE * random.nextDouble());
    };
  }

  /** Returns the baseline that chooses any usable engine at random. */
  public static RoutePolicy random(Random random) {
    return (engine, query) -> random.nextDouble();
  }

  /** Returns the baseline that chooses engines in round-robin order. */
  public static RoutePolicy roundRobin() {
    return (engine, query) -> engine.streamsStarted();
  }

  /** Returns the baseline that chooses the engine with the fewest streams of this node. */
  public static RoutePolicy leastInFlight(Random random) {
    return (engine, query) -> 1 + engine.inFlight() + random.nextDouble() / 2;
  }
}
