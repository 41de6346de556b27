package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;

/**
 * Open-loop arrivals, all from one seed.
 *
 * @param shape how the rate moves
 * @param perSecond mean rate
 * @param length how long requests arrive
 * @param workspaces how many workspaces ask, evenly unless one floods
 * @param promptTokens shortest and longest prompt
 * @param newTokens shortest and longest answer
 * @param sharedPrefix share of prompts that begin with one of a few long prefixes
 * @param once share of requests that are not repeatable
 * @param seed source of chance
 */
public record LoadProfile(
    Shape shape,
    double perSecond,
    Duration length,
    int workspaces,
    Range promptTokens,
    Range newTokens,
    double sharedPrefix,
    double once,
    long seed) {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIXES = 8;
  private static final double BURST_FACTOR = 4;
  private static final double FLOOD_SHARE = 0.8;

  /** How the rate of arrivals moves. */
  public enum Shape {
    /** Poisson at the mean rate. */
    STEADY,
    /** From nothing to twice the mean. */
    RAMP,
    /** A shift change: four times the mean in the middle fifth, less before and after. */
    BURST,
    /** Four in five requests come from the first workspace. */
    FLOOD
  }

  /**
   * A range of whole numbers.
   *
   * @param least least value
   * @param most greatest value
   */
  public record Range(int least, int most) {
    /** Checks the order. */
    public Range {
      checkArgument(least > 0 && least <= most, "range %s to %s", least, most);
    }

    int pick(Random random) {
      return least + random.nextInt(most - least + 1);
    }
  }

  /**
   * One request.
   *
   * @param at when, from the start
   * @param workspace which workspace asks
   * @param prompt the prompt, unlike all others
   * @param tokens length of the answer
   * @param repeatable whether it may run more than once
   */
  public record Arrival(
      Duration at, int workspace, String prompt, int tokens, boolean repeatable) {}

  /** Checks the bounds. */
  public LoadProfile {
    checkArgument(perSecond > 0, "perSecond must be positive: %s", perSecond);
    checkArgument(workspaces > 0, "workspaces must be positive: %s", workspaces);
  }

  /** Returns the usual mix at a rate. */
  public static LoadProfile usual(Shape shape, double perSecond, Duration length, long seed) {
    return new LoadProfile(
        shape, perSecond, length, 10, new Range(30, 400), new Range(10, 100), 0.5, 0.1, seed);
  }

  /** Returns the requests, in order of time. */
  public ImmutableList<Arrival> arrivals() {
    Random random = new Random(seed);
    ImmutableList.Builder<Arrival> arrivals = ImmutableList.builder();
    double highest = perSecond * (shape == Shape.BURST ? BURST_FACTOR : 2);
    double at = 0;
    int number = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / highest;
      double share = at / (length.toNanos() / 1e9);
      if (share >= 1) {
        return arrivals.build();
      }
      // Thinning: candidates come at the highest rate and are kept in proportion to the rate now.
      if (random.nextDouble() * highest < rateAt(share)) {
        arrivals.add(arrival(Duration.ofNanos((long) (at * 1e9)), number++, random));
      }
    }
  }

  private double rateAt(double share) {
    return switch (shape) {
      case STEADY, FLOOD -> perSecond;
      case RAMP -> 2 * perSecond * share;
      case BURST -> share >= 0.4 && share < 0.6 ? BURST_FACTOR * perSecond : perSecond / 4;
    };
  }

  private Arrival arrival(Duration at, int number, Random random) {
    boolean floods = shape == Shape.FLOOD && random.nextDouble() < FLOOD_SHARE;
    int workspace = floods ? 0 : random.nextInt(workspaces);
    int characters = promptTokens.pick(random) * CHARACTERS_PER_TOKEN;
    boolean shared = random.nextDouble() < sharedPrefix;
    String kind = shared ? "prefix" + random.nextInt(PREFIXES) : "own" + number;
    StringBuilder prompt = new StringBuilder();
    while (prompt.length() < characters) {
      prompt.append(kind).append(' ').append(prompt.length()).append(' ');
    }
    prompt.append("request ").append(number);
    return new Arrival(
        at, workspace, prompt.toString(), newTokens.pick(random), random.nextDouble() >= once);
  }
}
