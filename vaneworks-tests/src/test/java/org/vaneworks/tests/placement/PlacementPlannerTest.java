package org.vaneworks.tests.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.vaneworks.tests.placement.Models.LARGE;
import static org.vaneworks.tests.placement.Models.MIDDLE;
import static org.vaneworks.tests.placement.Models.SMALL;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.placement.EngineSnapshot;
import org.vaneworks.coordination.placement.PlacementPlanner;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/** Tests for {@link PlacementPlanner}. */
final class PlacementPlannerTest {
  private static final ModelProfile MODEL = Models.eightyLayers();

  /** A small but fast accelerator. */
  private static final AcceleratorProfile QUICK = new AcceleratorProfile("quick", 14_400, 5.3, 7.9);

  private static List<EngineSnapshot> engines(int large, int middle, int small) {
    List<EngineSnapshot> engines = new ArrayList<>();
    add(engines, "large", LARGE, large);
    add(engines, "middle", MIDDLE, middle);
    add(engines, "small", SMALL, small);
    return engines;
  }

  private static void add(
      List<EngineSnapshot> engines, String name, AcceleratorProfile accelerator, int count) {
    for (int i = 0; i < count; i++) {
      engines.add(new EngineSnapshot(name + i, "dc1", accelerator, Optional.empty(), true));
    }
  }

  private static ImmutableMap<String, LayerRange> plan(List<EngineSnapshot> engines) {
    return PlacementPlanner.of(MODEL).plan(engines, id -> 0);
  }

  private static List<EngineSnapshot> ordered(
      List<EngineSnapshot> engines, ImmutableMap<String, LayerRange> orders) {
    return engines.stream()
        .map(
            engine ->
                new EngineSnapshot(
                    engine.id(),
                    engine.dataCentre(),
                    engine.accelerator(),
                    Optional.ofNullable(orders.get(engine.id())).or(engine::targetLayers),
                    engine.available()))
        .toList();
  }

  private static int holders(List<EngineSnapshot> engines, int layer) {
    return (int)
        engines.stream()
            .filter(EngineSnapshot::available)
            .filter(e -> e.targetLayers().isPresent())
            .filter(
                e -> e.targetLayers().get().from() <= layer && e.targetLayers().get().to() > layer)
            .count();
  }

  private static List<EngineSnapshot> withoutEngine(List<EngineSnapshot> engines, String lost) {
    return engines.stream().filter(engine -> !engine.id().equals(lost)).toList();
  }

  @Test
  void fastEnginesFormTheFirstReplica() {
    List<EngineSnapshot> engines = engines(1, 4, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    int layers = orders.get("large0").size();
    for (int i = 0; i < 4; i++) {
      layers += orders.get("middle" + i).size();
    }
    assertEquals(80, layers);
  }

  @Test
  void replicaHasCapacityForItsRequests() {
    ImmutableMap<String, LayerRange> orders = plan(engines(2, 2, 5));
    LayerRange range = orders.get("large0");
    double tokens = MODEL.tokenLayerCapacity(LARGE, range.size()) / range.size();
    assertTrue(tokens > 50_000, "capacity for " + tokens);
  }

  /**
   * Checks the smallest layer capacity, in requests, of a fleet whose fast engines are mostly
   * small.
   */
  @Test
  void everyLayerHasEnoughCapacityWhenFastEnginesAreSmall() {
    List<EngineSnapshot> engines = new ArrayList<>();
    add(engines, "large", LARGE, 1);
    add(engines, "quick", QUICK, 10);
    add(engines, "small", SMALL, 4);
    List<EngineSnapshot> held = ordered(engines, plan(engines));
    double smallest = Double.MAX_VALUE;
    for (int layer = 0; layer < 80; layer++) {
      smallest = Math.min(smallest, capacity(held, layer));
    }
    assertTrue(smallest >= 55, "smallest capacity: " + smallest);
  }

  private static double capacity(List<EngineSnapshot> engines, int layer) {
    double requests = 0;
    for (EngineSnapshot engine : engines) {
      LayerRange range = engine.targetLayers().orElse(LayerRange.of(0, 1));
      if (engine.targetLayers().isPresent() && range.from() <= layer && layer < range.to()) {
        double tokens = MODEL.tokenLayerCapacity(engine.accelerator(), range.size()) / range.size();
        requests += tokens / (MODEL.usualPrompt() + MODEL.usualAnswer());
      }
    }
    return requests;
  }

  @Test
  void restartedEngineGetsItsFormerLayers() {
    List<EngineSnapshot> engines = engines(2, 2, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    List<EngineSnapshot> running =
        new ArrayList<>(withoutEngine(ordered(engines, orders), "large0"));
    running.add(new EngineSnapshot("new", "dc1", LARGE, Optional.empty(), true));
    ImmutableMap<String, LayerRange> next = plan(running);
    LayerRange former = orders.get("large0");
    LayerRange assigned = next.get("new");
    assertTrue(
        overlap(former, assigned) >= former.size() * 3 / 4,
        former + " was held before, " + assigned + " was assigned");
  }

  @Test
  void nothingIsOrderedWhileEveryLayerIsHeld() {
    List<EngineSnapshot> engines = engines(1, 6, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    assertTrue(plan(ordered(engines, orders)).isEmpty());
  }

  /** In a planned replacement the new engine starts before the old one announces that it leaves. */
  @Test
  void newEngineIsPlacedLikeAnEngineOfItsKind() {
    List<EngineSnapshot> engines = new ArrayList<>();
    add(engines, "large", LARGE, 2);
    add(engines, "quick", QUICK, 6);
    add(engines, "small", SMALL, 4);
    List<EngineSnapshot> held = new ArrayList<>(ordered(engines, plan(engines)));
    held.add(new EngineSnapshot("new", "dc1", LARGE, Optional.empty(), true));
    LayerRange assigned = plan(held).get("new");
    boolean matchesALargeEngine =
        held.stream()
            .filter(e -> e.id().startsWith("large"))
            .anyMatch(
                e ->
                    overlap(e.targetLayers().get(), assigned)
                        >= e.targetLayers().get().size() * 3 / 4);
    assertTrue(matchesALargeEngine, "the new engine was assigned " + assigned);
  }

  private static int overlap(LayerRange one, LayerRange other) {
    return Math.min(one.to(), other.to()) - Math.max(one.from(), other.from());
  }

  @Test
  void gapIsCoveredByTheEngineWithFewestRequests() {
    List<EngineSnapshot> engines = new ArrayList<>();
    add(engines, "small", SMALL, 24);
    List<EngineSnapshot> held = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int from = i % 8 * 10;
      EngineSnapshot engine = engines.get(i);
      LayerRange range = LayerRange.of(from, from + 10);
      held.add(new EngineSnapshot(engine.id(), "dc1", SMALL, Optional.of(range), i % 8 != 3));
    }
    ImmutableMap<String, LayerRange> orders =
        PlacementPlanner.of(MODEL).plan(held, id -> id.equals("small13") ? 2 : 30);
    assertTrue(orders.containsKey("small13"), orders.toString());
  }

  // Guards against unserved layers: an engine that was only ordered to load layers was counted as
  // serving them.
  @Test
  void engineGivesUpOnlyLayersThatAnotherServes() {
    Optional<LayerRange> low = Optional.of(LayerRange.of(0, 37));
    EngineSnapshot serving = new EngineSnapshot("serving", "dc1", LARGE, low, true);
    EngineSnapshot loading =
        new EngineSnapshot("loading", "dc1", LARGE, low, Optional.empty(), true);
    EngineSnapshot loaded = new EngineSnapshot("loading", "dc1", LARGE, low, true);
    assertEquals(ImmutableSet.of("loading"), orderedIfSecondIsBusy(serving, loading));
    assertEquals(ImmutableSet.of("serving"), orderedIfSecondIsBusy(serving, loaded));
  }

  private static ImmutableSet<String> orderedIfSecondIsBusy(
      EngineSnapshot one, EngineSnapshot busy) {
    return PlacementPlanner.of(MODEL)
        .plan(List.of(one, busy), id -> id.equals(busy.id()) ? 30 : 2)
        .keySet();
  }

  @Test
  void leavingEngineIsNotCountedAsHolder() {
    List<EngineSnapshot> engines = engines(1, 6, 0);
    List<EngineSnapshot> held = ordered(engines, plan(engines));
    List<EngineSnapshot> leaving =
        held.stream()
            .map(
                e ->
                    new EngineSnapshot(
                        e.id(),
                        e.dataCentre(),
                        e.accelerator(),
                        e.targetLayers(),
                        !e.id().equals("large0")))
            .toList();
    List<EngineSnapshot> next = ordered(leaving, plan(leaving));
    for (int layer = 0; layer < 80; layer++) {
      assertTrue(holders(next, layer) >= 1, "layer " + layer);
    }
  }

  @Property(tries = 300, seed = "20261202")
  void noEngineIsOrderedToHoldMoreThanItsMemory(
      @ForAll @IntRange(min = 0, max = 4) int large,
      @ForAll @IntRange(min = 0, max = 12) int middle,
      @ForAll @IntRange(min = 0, max = 22) int small) {
    List<EngineSnapshot> engines = engines(large, middle, small);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    for (EngineSnapshot engine : engines) {
      LayerRange range = orders.get(engine.id());
      if (range != null) {
        double used = range.size() * MODEL.layerMegabytes();
        assertTrue(used < engine.accelerator().megabytes(), engine.id() + " " + range);
        assertTrue(range.to() <= MODEL.layers());
      }
    }
  }

  @Property(tries = 300, seed = "20261202")
  void afterAnyLossEveryLayerIsHeldAgainAndThenNothingMoreIsOrdered(
      @ForAll @IntRange(min = 1, max = 3) int large,
      @ForAll @IntRange(min = 3, max = 9) int middle,
      @ForAll @IntRange(min = 4, max = 9) int small,
      @ForAll @IntRange(min = 0, max = 20) int victim) {
    List<EngineSnapshot> engines = engines(large, middle, small);
    List<EngineSnapshot> held = ordered(engines, plan(engines));
    List<EngineSnapshot> left = withoutEngine(held, engines.get(victim % engines.size()).id());
    List<EngineSnapshot> next = ordered(left, plan(left));
    for (int layer = 0; layer < 80; layer++) {
      assertTrue(holders(next, layer) >= 1, "layer " + layer + " of " + next);
    }
    assertTrue(plan(next).isEmpty(), "orders do not settle");
  }
}
