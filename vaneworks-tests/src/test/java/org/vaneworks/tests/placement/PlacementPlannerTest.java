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
import org.vaneworks.coordination.placement.Holding;
import org.vaneworks.coordination.placement.PlacementPlanner;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/** Checks which ranges the planner gives to engines. */
final class PlacementPlannerTest {
  private static final ModelProfile MODEL = Models.eightyLayers();

  /** Small but fast. */
  private static final AcceleratorProfile QUICK = new AcceleratorProfile("quick", 14_400, 5.3, 7.9);

  private static List<Holding> engines(int large, int middle, int small) {
    List<Holding> engines = new ArrayList<>();
    add(engines, "large", LARGE, large);
    add(engines, "middle", MIDDLE, middle);
    add(engines, "small", SMALL, small);
    return engines;
  }

  private static void add(
      List<Holding> engines, String name, AcceleratorProfile accelerator, int count) {
    for (int i = 0; i < count; i++) {
      engines.add(new Holding(name + i, "dc1", accelerator, Optional.empty(), true));
    }
  }

  private static ImmutableMap<String, LayerRange> plan(List<Holding> engines) {
    return PlacementPlanner.of(MODEL).plan(engines, id -> 0);
  }

  private static List<Holding> ordered(
      List<Holding> engines, ImmutableMap<String, LayerRange> orders) {
    return engines.stream()
        .map(
            engine ->
                new Holding(
                    engine.id(),
                    engine.dataCentre(),
                    engine.accelerator(),
                    Optional.ofNullable(orders.get(engine.id())).or(engine::layers),
                    engine.counts()))
        .toList();
  }

  private static int holders(List<Holding> engines, int layer) {
    return (int)
        engines.stream()
            .filter(Holding::counts)
            .filter(e -> e.layers().isPresent())
            .filter(e -> e.layers().get().from() <= layer && e.layers().get().to() > layer)
            .count();
  }

  private static List<Holding> without(List<Holding> engines, String lost) {
    return engines.stream().filter(engine -> !engine.id().equals(lost)).toList();
  }

  @Test
  void fastEnginesMakeTheFirstCopy() {
    List<Holding> engines = engines(1, 4, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    int layers = orders.get("large0").size();
    for (int i = 0; i < 4; i++) {
      layers += orders.get("middle" + i).size();
    }
    assertEquals(80, layers);
  }

  @Test
  void copyHasRoomForItsRequests() {
    ImmutableMap<String, LayerRange> orders = plan(engines(2, 2, 5));
    LayerRange range = orders.get("large0");
    double tokens = MODEL.tokenLayerCapacity(LARGE, range.size()) / range.size();
    assertTrue(tokens > 50_000, "room for " + tokens);
  }

  /** Of a fleet whose fast engines are mostly small: the layer with the least room, in requests. */
  @Test
  void noLayerIsShortOfRoomWhileFastEnginesAreLeftOver() {
    List<Holding> engines = new ArrayList<>();
    add(engines, "large", LARGE, 1);
    add(engines, "quick", QUICK, 10);
    add(engines, "small", SMALL, 4);
    List<Holding> held = ordered(engines, plan(engines));
    double least = Double.MAX_VALUE;
    for (int layer = 0; layer < 80; layer++) {
      least = Math.min(least, room(held, layer));
    }
    assertTrue(least >= 55, "least room: " + least);
  }

  private static double room(List<Holding> engines, int layer) {
    double requests = 0;
    for (Holding engine : engines) {
      LayerRange range = engine.layers().orElse(LayerRange.of(0, 1));
      if (engine.layers().isPresent() && range.from() <= layer && layer < range.to()) {
        double tokens = MODEL.tokenLayerCapacity(engine.accelerator(), range.size()) / range.size();
        requests += tokens / (MODEL.usualPrompt() + MODEL.usualAnswer());
      }
    }
    return requests;
  }

  @Test
  void restartedEngineGetsTheLayersItLeft() {
    List<Holding> engines = engines(2, 2, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    List<Holding> running = new ArrayList<>(without(ordered(engines, orders), "large0"));
    running.add(new Holding("new", "dc1", LARGE, Optional.empty(), true));
    ImmutableMap<String, LayerRange> next = plan(running);
    LayerRange left = orders.get("large0");
    LayerRange got = next.get("new");
    assertTrue(shared(left, got) >= left.size() * 3 / 4, left + " was left, " + got + " was given");
  }

  @Test
  void nothingIsOrderedWhileEveryLayerIsHeld() {
    List<Holding> engines = engines(1, 6, 5);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    assertTrue(plan(ordered(engines, orders)).isEmpty());
  }

  /** In a planned replacement the newcomer starts before the old one says that it leaves. */
  @Test
  void newcomerIsPlacedBesideAnEngineOfItsKind() {
    List<Holding> engines = new ArrayList<>();
    add(engines, "large", LARGE, 2);
    add(engines, "quick", QUICK, 6);
    add(engines, "small", SMALL, 4);
    List<Holding> held = new ArrayList<>(ordered(engines, plan(engines)));
    held.add(new Holding("new", "dc1", LARGE, Optional.empty(), true));
    LayerRange got = plan(held).get("new");
    boolean twinOfALargeOne =
        held.stream()
            .filter(e -> e.id().startsWith("large"))
            .anyMatch(e -> shared(e.layers().get(), got) >= e.layers().get().size() * 3 / 4);
    assertTrue(twinOfALargeOne, "the newcomer got " + got);
  }

  private static int shared(LayerRange one, LayerRange other) {
    return Math.min(one.to(), other.to()) - Math.max(one.from(), other.from());
  }

  @Test
  void holeIsCoveredByTheEngineThatFewestRequestsPass() {
    List<Holding> engines = new ArrayList<>();
    add(engines, "small", SMALL, 24);
    List<Holding> held = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int from = i % 8 * 10;
      Holding engine = engines.get(i);
      LayerRange range = LayerRange.of(from, from + 10);
      held.add(new Holding(engine.id(), "dc1", SMALL, Optional.of(range), i % 8 != 3));
    }
    ImmutableMap<String, LayerRange> orders =
        PlacementPlanner.of(MODEL).plan(held, id -> id.equals("small13") ? 2 : 30);
    assertTrue(orders.containsKey("small13"), orders.toString());
  }

  // Guards against layers that nobody serves: a planned holder counted as one that serves.
  @Test
  void engineGivesUpOnlyWhatAnotherServesAlready() {
    Optional<LayerRange> low = Optional.of(LayerRange.of(0, 37));
    Holding serving = new Holding("serving", "dc1", LARGE, low, true);
    Holding loading = new Holding("loading", "dc1", LARGE, low, Optional.empty(), true);
    Holding loaded = new Holding("loading", "dc1", LARGE, low, true);
    assertEquals(ImmutableSet.of("loading"), orderedIfOneIsBusy(serving, loading));
    assertEquals(ImmutableSet.of("serving"), orderedIfOneIsBusy(serving, loaded));
  }

  private static ImmutableSet<String> orderedIfOneIsBusy(Holding one, Holding busy) {
    return PlacementPlanner.of(MODEL)
        .plan(List.of(one, busy), id -> id.equals(busy.id()) ? 30 : 2)
        .keySet();
  }

  @Test
  void leavingEngineDoesNotCount() {
    List<Holding> engines = engines(1, 6, 0);
    List<Holding> held = ordered(engines, plan(engines));
    List<Holding> leaving =
        held.stream()
            .map(
                e ->
                    new Holding(
                        e.id(),
                        e.dataCentre(),
                        e.accelerator(),
                        e.layers(),
                        !e.id().equals("large0")))
            .toList();
    List<Holding> next = ordered(leaving, plan(leaving));
    for (int layer = 0; layer < 80; layer++) {
      assertTrue(holders(next, layer) >= 1, "layer " + layer);
    }
  }

  @Property(tries = 300, seed = "20261202")
  void noEngineIsOrderedMoreThanItHolds(
      @ForAll @IntRange(min = 0, max = 4) int large,
      @ForAll @IntRange(min = 0, max = 12) int middle,
      @ForAll @IntRange(min = 0, max = 22) int small) {
    List<Holding> engines = engines(large, middle, small);
    ImmutableMap<String, LayerRange> orders = plan(engines);
    for (Holding engine : engines) {
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
    List<Holding> engines = engines(large, middle, small);
    List<Holding> held = ordered(engines, plan(engines));
    List<Holding> left = without(held, engines.get(victim % engines.size()).id());
    List<Holding> next = ordered(left, plan(left));
    for (int layer = 0; layer < 80; layer++) {
      assertTrue(holders(next, layer) >= 1, "layer " + layer + " of " + next);
    }
    assertTrue(plan(next).isEmpty(), "orders do not settle");
  }
}
