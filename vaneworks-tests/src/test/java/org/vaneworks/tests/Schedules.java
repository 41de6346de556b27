package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Runs random schedules and adds up what they came to.
 *
 * <p>{@code -Dvaneworks.schedules=N} runs more of them; a failing seed is printed and replays with
 * the schedule's {@code run}.
 */
public final class Schedules {
  /** How many seeds a property is tried with. */
  public static final int TRIES = 200;

  /** The seed that the properties' seeds come from. */
  public static final String SEED = "20261202";

  private static final int SCHEDULES = Integer.getInteger("vaneworks.schedules", TRIES);

  private final String name;
  private final Map<String, Integer> totals = new TreeMap<>();
  private int count;

  public Schedules(String name) {
    this.name = name;
  }

  /** What one schedule came to: what is wrong, and counts to add up. */
  public record Result(ImmutableList<String> problems, Map<String, Integer> counts) {}

  /** Runs the share of the schedules that falls to one try. */
  public void run(long seed, LongFunction<Result> schedule) {
    for (int i = 0; i < Math.max(1, SCHEDULES / TRIES); i++) {
      long each = seed + i;
      Result result = schedule.apply(each);
      count++;
      result.counts().forEach((what, number) -> totals.merge(what, number, Integer::sum));
      assertEquals(ImmutableList.of(), result.problems(), () -> "seed " + each);
    }
  }

  /** Prints the sums. */
  public void report() {
    System.out.println(name + " schedules: " + count + " " + totals);
  }
}
