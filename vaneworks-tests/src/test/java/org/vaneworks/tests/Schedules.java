package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Runs random schedules, fails on the first problem and sums up the counts of all schedules.
 *
 * <p>{@code -Dvaneworks.schedules=N} runs about N schedules instead of the default. The failure
 * message contains the seed, with which the schedule's {@code run} reproduces the failure.
 */
public final class Schedules {
  /** Number of seeds that jqwik generates for a property. */
  public static final int TRIES = 200;

  /** The jqwik seed from which the seeds of the schedules are generated. */
  public static final String SEED = "20261202";

  private static final int SCHEDULES = Integer.getInteger("vaneworks.schedules", TRIES);

  private final String name;
  private final Map<String, Integer> totals = new TreeMap<>();
  private int count;

  public Schedules(String name) {
    this.name = name;
  }

  /** The result of one schedule: the problems found, and named counts to sum up. */
  public record Result(ImmutableList<String> problems, Map<String, Integer> counts) {}

  /**
   * Runs one schedule, or several with consecutive seeds if more than the default are requested.
   */
  public void run(long seed, LongFunction<Result> schedule) {
    for (int i = 0; i < Math.max(1, SCHEDULES / TRIES); i++) {
      long each = seed + i;
      Result result = schedule.apply(each);
      count++;
      result.counts().forEach((what, number) -> totals.merge(what, number, Integer::sum));
      assertEquals(ImmutableList.of(), result.problems(), () -> "seed " + each);
    }
  }

  /** Prints the number of schedules and the sums of their counts. */
  public void report() {
    System.out.println(name + " schedules: " + count + " " + totals);
  }
}
