package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Computes which layers engines should hold.
 *
 * <p>In each data centre the fastest engines make whole copies of the model, each with room for a
 * number of requests; engines that are left over hold the layers again, so that the loss of an
 * engine leaves a path without an order. How much room copies and spares get is searched: of some
 * dozen placements the one of the highest {@link PlacementValue} is taken ({@link FirstPlacement}).
 * What engines hold already is never changed except to cover layers that no engine of the data
 * centre holds any more, and no engine gives up what no other serves yet. Pure: no state, no clock.
 */
public final class PlacementPlanner {
  /**
   * Weight of the worth after a loss for a newcomer. It comes for an engine that was lost, or
   * before one of its kind leaves: a range that would be missed is worth more than more room.
   */
  private static final double NEWCOMER_AFTER_LOSS = 0.75;

  private final ModelProfile model;
  private final EngineSizes sizes;
  private final Coverage coverage;

  private PlacementPlanner(ModelProfile model) {
    this.model = checkNotNull(model);
    sizes = new EngineSizes(model);
    coverage = new Coverage(model);
  }

  /** Returns a planner for the engines of one model. */
  public static PlacementPlanner of(ModelProfile model) {
    return new PlacementPlanner(model);
  }

  /**
   * Returns the ranges of engines that hold nothing yet, and wider ranges where no engine covers
   * some layers; engines that need no order are left out.
   *
   * @param passing requests that pass an engine, by its id; decides only which of several engines
   *     gives its layers up, since it has to wait for those requests
   */
  public ImmutableMap<String, LayerRange> plan(
      List<Holding> engines, ToDoubleFunction<String> passing) {
    ImmutableListMultimap<String, Holding> byCentre = Multimaps.index(engines, Holding::dataCentre);
    ImmutableMap.Builder<String, LayerRange> orders = ImmutableMap.builder();
    for (String centre : byCentre.keySet()) {
      orders.putAll(planCentre(byCentre.get(centre), passing));
    }
    return orders.buildOrThrow();
  }

  private Map<String, LayerRange> planCentre(
      ImmutableList<Holding> engines, ToDoubleFunction<String> passing) {
    ImmutableList<Holding> counted =
        engines.stream().filter(Holding::counts).collect(ImmutableList.toImmutableList());
    boolean nothingHeld = counted.stream().allMatch(engine -> engine.layers().isEmpty());
    return nothingHeld ? new FirstPlacement(model).of(counted) : fill(counted, passing);
  }

  /** Gives empty engines the layers that are covered worst, then covers what no engine holds. */
  private Map<String, LayerRange> fill(
      ImmutableList<Holding> engines, ToDoubleFunction<String> passing) {
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    Map<String, LayerRange> held = new HashMap<>();
    for (Holding engine : engines) {
      engine.layers().ifPresent(range -> held.put(engine.id(), range));
    }
    for (Holding engine : engines) {
      if (engine.layers().isEmpty()) {
        LayerRange range = mostValuable(engines, held, engine);
        orders.put(engine.id(), range);
        held.put(engine.id(), range);
      }
    }
    cover(engines, held, orders, passing);
    return orders;
  }

  /**
   * Returns the range of a newcomer: the one with the least room, or, if it is worth more, beside
   * an engine of its own kind. In a planned replacement the newcomer starts before the old engine,
   * most often one of its kind, says that it leaves.
   */
  private LayerRange mostValuable(
      List<Holding> engines, Map<String, LayerRange> held, Holding newcomer) {
    int layers = sizes.layersFor(newcomer.accelerator(), coverage.typicalRoom(engines, held));
    PlacementValue value = new PlacementValue(model, NEWCOMER_AFTER_LOSS);
    LayerRange best = coverage.weakest(engines, held, layers);
    double bestValue = value.of(engines, with(held, newcomer, best));
    for (LayerRange range : rangesOfItsKind(engines, held, newcomer)) {
      double worth = value.of(engines, with(held, newcomer, range));
      if (worth > bestValue) {
        best = range;
        bestValue = worth;
      }
    }
    return best;
  }

  private static Map<String, LayerRange> with(
      Map<String, LayerRange> held, Holding engine, LayerRange range) {
    Map<String, LayerRange> more = new HashMap<>(held);
    more.put(engine.id(), range);
    return more;
  }

  private static ImmutableSet<LayerRange> rangesOfItsKind(
      List<Holding> engines, Map<String, LayerRange> held, Holding newcomer) {
    return engines.stream()
        .filter(engine -> engine.accelerator().equals(newcomer.accelerator()))
        .map(engine -> held.get(engine.id()))
        .filter(Objects::nonNull)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Covers layers that no engine holds or is ordered to hold: first by engines whose layers others
   * serve too, then by wider ranges beside the hole. Each step covers a layer, so the loop ends.
   */
  private void cover(
      List<Holding> engines,
      Map<String, LayerRange> held,
      Map<String, LayerRange> orders,
      ToDoubleFunction<String> passing) {
    int hole = coverage.firstHole(held);
    while (hole >= 0) {
      Optional<Holding> redundant = redundant(engines, held, passing);
      Optional<Holding> neighbour =
          redundant.isPresent() ? Optional.empty() : roomiestBeside(engines, held, hole);
      if (redundant.isPresent()) {
        int layers =
            sizes.layersFor(redundant.get().accelerator(), coverage.typicalRoom(engines, held));
        int from = Math.min(hole, model.layers() - layers);
        order(redundant.get(), LayerRange.of(from, from + layers), held, orders);
      } else if (neighbour.isPresent()) {
        LayerRange range = held.get(neighbour.get().id());
        LayerRange wider =
            LayerRange.of(Math.min(range.from(), hole), Math.max(range.to(), hole + 1));
        order(neighbour.get(), wider, held, orders);
      } else {
        return;
      }
      hole = coverage.firstHole(held);
    }
  }

  private static void order(
      Holding engine,
      LayerRange range,
      Map<String, LayerRange> held,
      Map<String, LayerRange> orders) {
    held.put(engine.id(), range);
    orders.put(engine.id(), range);
  }

  /**
   * Returns the engine with the fewest requests among those whose layers are all held by others
   * too, and what it serves of them is served by others; of several the slowest. It gives its
   * layers up only once those requests have ended: with dozens of them that took 7 to 11 s, in
   * which the hole stayed open.
   */
  private Optional<Holding> redundant(
      List<Holding> engines, Map<String, LayerRange> held, ToDoubleFunction<String> passing) {
    ImmutableMap<String, LayerRange> served = served(engines, held);
    int[] holders = coverage.holders(held);
    int[] servers = coverage.holders(served);
    return engines.stream()
        .filter(engine -> isHeldTwice(holders, held, engine))
        .filter(engine -> !served.containsKey(engine.id()) || isHeldTwice(servers, served, engine))
        .min(
            Comparator.comparingDouble((Holding e) -> passing.applyAsDouble(e.id()))
                .thenComparingDouble(e -> -e.accelerator().stepFactor())
                .thenComparing(Holding::id));
  }

  private static boolean isHeldTwice(int[] holders, Map<String, LayerRange> held, Holding engine) {
    LayerRange range = held.get(engine.id());
    return range != null && Coverage.heldTwice(holders, range);
  }

  /** Returns what engines serve now and are not to give up: an order may fail, or take long. */
  private static ImmutableMap<String, LayerRange> served(
      List<Holding> engines, Map<String, LayerRange> held) {
    ImmutableMap.Builder<String, LayerRange> served = ImmutableMap.builder();
    for (Holding engine : engines) {
      Optional.ofNullable(held.get(engine.id()))
          .flatMap(engine::servedOf)
          .ifPresent(range -> served.put(engine.id(), range));
    }
    return served.buildOrThrow();
  }

  private Optional<Holding> roomiestBeside(
      List<Holding> engines, Map<String, LayerRange> held, int hole) {
    Holding best = null;
    double bestRoom = -1;
    for (Holding engine : engines) {
      LayerRange range = held.get(engine.id());
      if (range == null) {
        continue;
      }
      int wider = Math.max(range.to(), hole + 1) - Math.min(range.from(), hole);
      if (wider > sizes.most(engine.accelerator())) {
        continue;
      }
      int added = wider - range.size();
      double room = model.tokenCapacity(engine.accelerator(), wider) / added;
      if (room > bestRoom) {
        best = engine;
        bestRoom = room;
      }
    }
    return Optional.ofNullable(best);
  }
}
