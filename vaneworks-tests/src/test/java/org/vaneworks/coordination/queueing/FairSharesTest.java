package org.vaneworks.coordination.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests how start tags divide starts among flows. */
final class FairSharesTest {
  private static final int STARTS = 5_000;

  private final FairShares<Integer> shares = FairShares.create();

  /** Starts the request with the smallest start tag of flows that always have one waiting. */
  private int startNext(List<Double> weights, List<Double> costs, double arrivedAt) {
    int next =
        IntStream.range(0, weights.size())
            .boxed()
            .min(Comparator.comparingDouble(flow -> shares.startTag(flow, arrivedAt)))
            .orElseThrow();
    shares.serve(shares.charge(next, arrivedAt, costs.get(next), weights.get(next)));
    return next;
  }

  // Guards against flows that get more or less than their weight among flows that always wait, and
  // against shares that do not add up to one.
  @Property(tries = 60, seed = "20261204")
  void waitingFlowsAreServedInProportionToTheirWeights(
      @ForAll @Size(min = 2, max = 24) List<@DoubleRange(min = 0.25, max = 8) Double> weights,
      @ForAll @Size(min = 24, max = 24) List<@DoubleRange(min = 1, max = 20) Double> costs) {
    FairSharesTest run = new FairSharesTest();
    Map<Integer, Double> served = new HashMap<>();
    for (int i = 0; i < STARTS; i++) {
      int flow = run.startNext(weights, costs, 0);
      served.merge(flow, costs.get(flow), Double::sum);
    }
    double total = served.values().stream().mapToDouble(Double::doubleValue).sum();
    double totalWeight = weights.stream().mapToDouble(Double::doubleValue).sum();
    double sumOfShares = 0;
    for (int flow = 0; flow < weights.size(); flow++) {
      double share = served.getOrDefault(flow, 0.0) / total;
      sumOfShares += share;
      // Start-time fair queueing differs from the exact share by about one request of each flow.
      double bound = costs.stream().mapToDouble(Double::doubleValue).sum() / total;
      assertEquals(weights.get(flow) / totalWeight, share, bound);
    }
    assertEquals(1, sumOfShares, 1e-9);
  }

  // Guards against starvation: between two starts of a waiting flow, another flow gets no more than
  // its weight's part of the first one's cost, and one request.
  @Property(tries = 60, seed = "20261204")
  void waitingFlowIsPassedOverBoundedlyOften(
      @ForAll @Size(min = 2, max = 24) List<@DoubleRange(min = 0.25, max = 8) Double> weights,
      @ForAll @Size(min = 24, max = 24) List<@DoubleRange(min = 1, max = 20) Double> costs) {
    FairSharesTest run = new FairSharesTest();
    Map<Integer, Integer> sinceStartOfFirst = new HashMap<>();
    for (int i = 0; i < STARTS; i++) {
      int flow = run.startNext(weights, costs, 0);
      if (flow == 0) {
        sinceStartOfFirst.clear();
        continue;
      }
      int starts = sinceStartOfFirst.merge(flow, 1, Integer::sum);
      double allowed = costs.get(0) / weights.get(0) * weights.get(flow) / costs.get(flow);
      assertTrue(starts <= allowed + 2, () -> starts + " starts, allowed " + allowed);
    }
  }

  // Guards against a flow that saves up credit while it is idle and then takes all capacity.
  @Property(tries = 60, seed = "20261204")
  void idleFlowHasNoCredit(@ForAll @IntRange(min = 1, max = 1_000) int startsOfOther) {
    FairShares<Integer> idleThenBusy = FairShares.create();
    for (int i = 0; i < startsOfOther; i++) {
      idleThenBusy.serve(idleThenBusy.charge(1, idleThenBusy.virtualTime(), 1, 1));
    }
    double arrivedAt = idleThenBusy.virtualTime();
    int startsInARow = 0;
    while (idleThenBusy.startTag(2, arrivedAt) < idleThenBusy.startTag(1, arrivedAt)) {
      idleThenBusy.serve(idleThenBusy.charge(2, arrivedAt, 1, 1));
      startsInARow++;
    }
    assertEquals(1, startsInARow);
  }

  // Guards against a forecast that orders waiting requests other than they then start.
  @Property(tries = 60, seed = "20261204")
  void forecastEqualsTheTagsOfTheStarts(
      @ForAll @Size(max = 60) List<@IntRange(max = 5) Integer> flows,
      @ForAll @Size(min = 60, max = 60) List<@DoubleRange(min = 1, max = 20) Double> costs) {
    FairShares<Integer> charged = FairShares.create();
    charged.serve(charged.charge(3, 0, 7, 2));
    FairShares<Integer>.Forecast forecast = charged.forecast();
    for (int i = 0; i < flows.size(); i++) {
      double expected = forecast.next(flows.get(i), 0, costs.get(i), 2);
      assertEquals(expected, charged.charge(flows.get(i), 0, costs.get(i), 2));
    }
  }

  // Guards against flows that are kept forever after their workspaces have left, and against the
  // removal of one that is still ahead of the others.
  @Test
  void onlyFlowsWithoutEffectAreRemoved() {
    shares.serve(shares.charge(1, 0, 1, 1));
    shares.serve(shares.charge(2, 0, 10, 1));
    shares.serve(shares.charge(1, 0, 1, 1));
    assertEquals(1, shares.virtualTime());
    shares.serve(shares.charge(3, shares.virtualTime(), 1, 1));
    shares.serve(shares.charge(3, shares.virtualTime(), 1, 1));
    assertEquals(2, shares.virtualTime());
    shares.removePast();
    assertEquals(2, shares.flows());
    assertEquals(2, shares.startTag(1, 2));
    assertEquals(10, shares.startTag(2, 2));
  }

  // Guards against tags that are infinite or go backwards and put one flow before all others.
  @Test
  void costsAndWeightsMustBePositive() {
    assertThrows(IllegalArgumentException.class, () -> shares.charge(1, 0, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> shares.charge(1, 0, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> shares.charge(1, 0, Double.NaN, 1));
  }
}
