package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;

/**
 * A reproducible open-loop sequence of request arrivals.
 *
 * @param shape how the arrival rate changes over time
 * @param ratePerSecond mean arrival rate, in requests per second
 * @param length duration in which requests arrive
 * @param workspaces number of workspaces; they send equal shares except for {@link Shape#FLOOD}
 * @param promptTokens range of prompt lengths, in tokens
 * @param newTokens range of answer lengths, in tokens
 * @param sharedPrefix share of prompts that start with one of a few long prefixes
 * @param nonRepeatableShare share of requests that are not repeatable
 * @param seed seed of the random numbers
 */
public record LoadProfile(
    Shape shape,
    double ratePerSecond,
    Duration length,
    int workspaces,
    Range promptTokens,
    Range newTokens,
    double sharedPrefix,
    double nonRepeatableShare,
    long seed) {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIXES = 8;
  private static final double BURST_FACTOR = 4;
  private static final double FLOOD_SHARE = 0.8;

  /** How the arrival rate changes over time. */
  public enum Shape {
    /** Poisson arrivals at the mean rate. */
    STEADY,
    /** A linear increase from zero to twice the mean rate. */
    RAMP,
    /** A shift change: four times the mean rate in the middle fifth, a quarter of it otherwise. */
    BURST,
    /** Poisson arrivals at the mean rate, four fifths of them from the first workspace. */
    FLOOD
  }

  /**
   * A range of integers.
   *
   * @param min smallest value, inclusive
   * @param max largest value, inclusive
   */
  public record Range(int min, int max) {
    /** Validates the range. */
    public Range {
      checkArgument(min > 0 && min <= max, "invalid range: %s to %s", min, max);
    }

    int pick(Random random) {
      return min + random.nextInt(max - min + 1);
    }
  }

  /**
   * The arrival of one request.
   *
   * @param at arrival time, relative to the start
   * @param workspace index of the workspace that sends the request
   * @param prompt the prompt, which is unique
   * @param tokens length of the answer, in tokens
   * @param repeatable whether the request may run more than once
   */
  public record Arrival(
      Duration at, int workspace, String prompt, int tokens, boolean repeatable) {}

  /** Validates the components. */
  public LoadProfile {
    checkArgument(ratePerSecond > 0, "ratePerSecond must be positive: %s", ratePerSecond);
    checkArgument(workspaces > 0, "workspaces must be positive: %s", workspaces);
  }

  /** Returns a profile with the default mix of requests. */
  public static LoadProfile withDefaults(
      Shape shape, double ratePerSecond, Duration length, long seed) {
    return new LoadProfile(
        shape, ratePerSecond, length, 10, new Range(30, 400), new Range(10, 100), 0.5, 0.1, seed);
  }

  /** Returns the arrivals, ordered by time. */
  public ImmutableList<Arrival> arrivals() {
    Random random = new Random(seed);
    ImmutableList.Builder<Arrival> arrivals = ImmutableList.builder();
    double peakRate = ratePerSecond * (shape == Shape.BURST ? BURST_FACTOR : 2);
    double at = 0;
    int number = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / peakRate;
      double progress = at / (length.toNanos() / 1e9);
      if (progress >= 1) {
        return arrivals.build();
      }
      // Thinning: candidates arrive at the peak rate and are kept in proportion to the current
      // rate.
      if (random.nextDouble() * peakRate < rateAt(progress)) {
        arrivals.add(arrival(Duration.ofNanos((long) (at * 1e9)), number++, random));
      }
    }
  }

  private double rateAt(double progress) {
    return switch (shape) {
      case STEADY, FLOOD -> ratePerSecond;
      case RAMP -> 2 * ratePerSecond * progress;
      case BURST ->
          progress >= 0.4 && progress < 0.6 ? BURST_FACTOR * ratePerSecond : ratePerSecond / 4;
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
        at,
        workspace,
        prompt.toString(),
        newTokens.pick(random),
        random.nextDouble() >= nonRepeatableShare);
  }
}
