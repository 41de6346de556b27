package org.vaneworks.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.QueueSimulation.Engines;
import org.vaneworks.coordination.forwarding.QueueSimulation.Outcome;
import org.vaneworks.coordination.forwarding.QueueSimulation.Repeats;

/**
 * Tests a capacity queue under the loads of docs/OVERLOAD.md, part 3: 24 workspaces with skew 1.2,
 * whose demand is given in relation to what the engines can serve. Outcomes are those of requests
 * that arrived from {@link #MEASURED_FROM} to {@link #MEASURED_TO}, while the load was steady.
 */
final class WorkspaceLoadTest {
  private static final int WORKSPACES = 24;
  private static final double SKEW = 1.2;

  /** Engines that hold 66 requests each, as in the deployments. */
  private static final Engines LARGE_ENGINES = new Engines(2, 60_000);

  /** Engines on which a request of the largest tenth takes a quarter to a half of the memory. */
  private static final Engines SMALL_ENGINES = new Engines(8, 8_000);

  private static final Duration LOAD_END = Duration.ofSeconds(30);
  private static final Duration MEASURED_FROM = Duration.ofSeconds(5);
  private static final Duration MEASURED_TO = Duration.ofSeconds(25);
  private static final long SEED = 20261204;

  /** Interval at which a queue looks for capacity. */
  private static final int POLL_MILLIS = 20;

  /** Requests of one workspace below which a fraction served is not significant. */
  private static final int MIN_SAMPLE = 100;

  private static double demandOf(int workspace) {
    double total = IntStream.range(0, WORKSPACES).mapToDouble(i -> Math.pow(i + 1, -SKEW)).sum();
    return Math.pow(workspace + 1, -SKEW) / total;
  }

  /** A load in which one workspace sends a multiple of its usual demand; 0 for nothing. */
  private record Load(Engines engines, double demand, int special, double times, Repeats repeats) {
    Load withoutSpecial() {
      return new Load(engines, demand, special, 0, repeats);
    }

    List<Outcome> run(long seed, boolean shares) {
      QueueSimulation simulation = new QueueSimulation(engines, seed, shares);
      for (int i = 0; i < WORKSPACES; i++) {
        double perSecond = demand * demandOf(i) * engines.capacity();
        boolean isSpecial = i == special;
        if (!isSpecial || times > 0) {
          simulation.arrivals(
              "w" + i,
              isSpecial ? perSecond * times : perSecond,
              Duration.ZERO,
              LOAD_END,
              QueueSimulation::typicalSize,
              isSpecial ? repeats : Repeats.ONCE_WHEN_TOLD);
        }
      }
      simulation.run(LOAD_END);
      return simulation.outcomes(MEASURED_FROM, MEASURED_TO);
    }
  }

  private static double served(List<Outcome> outcomes, Predicate<Outcome> of) {
    return outcomes.stream().filter(of).filter(Outcome::served).count();
  }

  private static double fractionServed(List<Outcome> outcomes, Predicate<Outcome> of) {
    return served(outcomes, of) / outcomes.stream().filter(of).count();
  }

  private static Predicate<Outcome> of(int workspace) {
    return outcome -> outcome.workspace().equals("w" + workspace);
  }

  private static void assertOthersKeepTheirShare(Load load) {
    Predicate<Outcome> others = of(load.special()).negate();
    double byArrival =
        served(load.run(SEED, false), others)
            / served(load.withoutSpecial().run(SEED, false), others);
    List<Outcome> alone = load.withoutSpecial().run(SEED, true);
    List<Outcome> outcomes = load.run(SEED, true);
    double byShares = served(outcomes, others) / served(alone, others);
    System.out.printf("%s: others by arrival %.3f, by shares %.3f%n", load, byArrival, byShares);
    // The load must be one under which the order of arrival fails.
    assertTrue(byArrival < 0.9, load + ": by arrival " + byArrival);
    assertTrue(byShares >= 0.9, load + ": by shares " + byShares);
    for (int i = 0; i < WORKSPACES; i++) {
      if (i != load.special() && alone.stream().filter(of(i)).count() >= MIN_SAMPLE) {
        double part = served(outcomes, of(i)) / served(alone, of(i));
        assertTrue(part >= 0.9, load + ": w" + i + " " + part);
      }
    }
  }

  // Guards against a workspace that gets what it sends: the one with the most requests sends ten
  // times as many. 0.9 is the required part of what the others get without it.
  @Test
  void floodingWorkspaceTakesNothingFromTheOthers() {
    assertOthersKeepTheirShare(new Load(SMALL_ENGINES, 0.9, 0, 10, Repeats.ONCE_WHEN_TOLD));
    assertOthersKeepTheirShare(new Load(LARGE_ENGINES, 0.9, 0, 10, Repeats.ONCE_WHEN_TOLD));
  }

  // Guards against a workspace that gets more because it repeats each refused request at once until
  // its deadline, instead of once and when it was told to.
  @Test
  void workspaceThatRepeatsAtOnceTakesNothingFromTheOthers() {
    assertOthersKeepTheirShare(new Load(SMALL_ENGINES, 0.9, 0, 4, Repeats.AT_ONCE_UNTIL_DEADLINE));
  }

  // Guards against shares that leave nothing to the workspace with the greatest demand, which under
  // twice the load is far above its share. A quarter of all is the requirement.
  @Test
  void everyWorkspaceIsServedUnderTwiceTheLoad() {
    for (Engines engines : List.of(SMALL_ENGINES, LARGE_ENGINES)) {
      List<Outcome> outcomes = new Load(engines, 2, 0, 1, Repeats.ONCE_WHEN_TOLD).run(SEED, true);
      double all = fractionServed(outcomes, outcome -> true);
      for (int i = 0; i < WORKSPACES; i++) {
        double own = fractionServed(outcomes, of(i));
        assertTrue(own >= all / 4, engines + " w" + i + ": " + own + " of " + all);
      }
    }
  }

  /** Returns how often the largest tenth of requests is served in relation to all. */
  private static double largestTenth(List<Outcome> outcomes) {
    List<Outcome> bySize =
        outcomes.stream().sorted(Comparator.comparingInt(Outcome::tokens).reversed()).toList();
    List<Outcome> largest = bySize.subList(0, bySize.size() / 10);
    return fractionServed(largest, outcome -> true) / fractionServed(outcomes, outcome -> true);
  }

  // Guards against large requests that never start because smaller ones take all room that becomes
  // free; by arrival they are served 0.36 times as often as all. 0.7 is the requirement.
  @Test
  void largestTenthIsServedUnderTwiceTheLoad() {
    assertLargestTenthIsServed(LARGE_ENGINES, 0.7);
  }

  // The same where requests are large in relation to an engine.
  @Test
  void largestTenthIsServedUnderTwiceTheLoadOfSmallEngines() {
    assertLargestTenthIsServed(SMALL_ENGINES, 0.7);
  }

  private static void assertLargestTenthIsServed(Engines engines, double bound) {
    Load load = new Load(engines, 2, 0, 1, Repeats.ONCE_WHEN_TOLD);
    List<Outcome> byArrival = load.run(SEED, false);
    List<Outcome> byShares = load.run(SEED, true);
    double before = largestTenth(byArrival);
    double now = largestTenth(byShares);
    System.out.printf(
        "%s: largest tenth by arrival %.3f, by shares %.3f; all by arrival %.3f, by shares %.3f%n",
        load,
        before,
        now,
        fractionServed(byArrival, outcome -> true),
        fractionServed(byShares, outcome -> true));
    assertTrue(before < bound, load + ": by arrival " + before);
    assertTrue(now >= bound, load + ": by shares " + now);
  }

  // Guards against small requests that wait until a run of large ones of another workspace, which
  // arrived before them and do not fit, has started.
  @Test
  void smallRequestsDoNotWaitBehindRunOfLargeOnes() {
    QueueSimulation simulation = new QueueSimulation(SMALL_ENGINES, SEED, true);
    for (int i = 0; i < 40; i++) {
      simulation.arrival("large", 5_000, Duration.ofMillis(1), Repeats.ONCE_WHEN_TOLD);
    }
    for (int i = 0; i < 50; i++) {
      simulation.arrival("small", 200, Duration.ofMillis(10 + 20L * i), Repeats.ONCE_WHEN_TOLD);
    }
    simulation.run(Duration.ofSeconds(2));
    for (Outcome outcome : simulation.outcomes(Duration.ofMillis(5), Duration.ofSeconds(2))) {
      assertTrue(outcome.served(), "not served");
      assertTrue(outcome.waited().toMillis() <= POLL_MILLIS, outcome.waited().toString());
    }
  }

  // Guards against room that stays free for longer than the interval between polls although a
  // request waits that would fit. Requests are of equal size here: a smaller one may have to wait
  // for a larger one of its workspace.
  @Property(tries = 20, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void noRoomStaysFreeWhileRequestWaits(
      @ForAll @IntRange(min = 1, max = 1_000) int seed,
      @ForAll @IntRange(min = 50, max = 1_000) int tokens,
      @ForAll @IntRange(min = 1, max = 24) int workspaces) {
    QueueSimulation simulation = new QueueSimulation(new Engines(3, 5 * tokens), seed, true);
    for (int i = 0; i < workspaces; i++) {
      simulation.arrivals(
          "w" + i,
          60 * demandOf(i),
          Duration.ZERO,
          Duration.ofSeconds(4),
          random -> tokens,
          Repeats.ONCE_WHEN_TOLD);
    }
    simulation.run(Duration.ofSeconds(5));
    assertTrue(
        simulation.longestIdle().toMillis() <= POLL_MILLIS, simulation.longestIdle().toString());
  }
}
