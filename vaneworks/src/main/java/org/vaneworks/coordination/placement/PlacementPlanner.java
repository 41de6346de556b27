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
 * Computes which layers the engines should hold.
 *
 * <p>In each data centre the fastest engines form replicas of the model, each with capacity for a
 * number of requests. The remaining engines hold layers again, so that after the loss of an engine
 * a path still exists without any order. {@link InitialPlacement} searches the capacities of
 * replicas and spares: it builds some dozen placements and takes the one with the highest {@link
 * PlacementScorer} score. Ranges that engines hold already are changed only to cover layers that no
 * engine of the data centre holds any more, and no engine gives up layers that no other engine
 * serves yet. The planner is stateless.
 */
public final class PlacementPlanner {
  /**
   * Weight of the score after a loss when a new engine is placed. A new engine replaces one that
   * was lost, or starts before one of its kind leaves, so redundancy counts more than capacity.
   */
  private static final double NEW_ENGINE_FAILURE_WEIGHT = 0.75;

  private final ModelProfile model;
  private final EngineSizing sizes;
  private final Coverage coverage;

  private PlacementPlanner(ModelProfile model) {
    this.model = checkNotNull(model);
    sizes = new EngineSizing(model);
    coverage = new Coverage(model);
  }

  /** Returns a planner for the engines of one model. */
  public static PlacementPlanner of(ModelProfile model) {
    return new PlacementPlanner(model);
  }

  /**
   * Returns the ranges to order: for engines that hold nothing yet, and wider ranges where no
   * engine covers some layers. Engines that need no order are left out.
   *
   * @param requests number of requests whose path includes the engine with the given id; only
   *     decides which of several engines gives up its layers, since that engine has to wait for
   *     those requests
   */
  public ImmutableMap<String, LayerRange> plan(
      List<EngineSnapshot> engines, ToDoubleFunction<String> requests) {
    ImmutableListMultimap<String, EngineSnapshot> byDataCentre =
        Multimaps.index(engines, EngineSnapshot::dataCentre);
    ImmutableMap.Builder<String, LayerRange> orders = ImmutableMap.builder();
    for (String dataCentre : byDataCentre.keySet()) {
      orders.putAll(planDataCentre(byDataCentre.get(dataCentre), requests));
    }
    return orders.buildOrThrow();
  }

  private Map<String, LayerRange> planDataCentre(
      ImmutableList<EngineSnapshot> engines, ToDoubleFunction<String> requests) {
    ImmutableList<EngineSnapshot> available =
        engines.stream().filter(EngineSnapshot::available).collect(ImmutableList.toImmutableList());
    boolean noneHeld = available.stream().allMatch(engine -> engine.targetLayers().isEmpty());
    return noneHeld
        ? new InitialPlacement(model).plan(available)
        : placeNewEngines(available, requests);
  }

  /**
   * Assigns the least covered layers to engines that hold none, then covers layers that no engine
   * holds.
   */
  private Map<String, LayerRange> placeNewEngines(
      ImmutableList<EngineSnapshot> engines, ToDoubleFunction<String> requests) {
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    Map<String, LayerRange> assigned = new HashMap<>();
    for (EngineSnapshot engine : engines) {
      engine.targetLayers().ifPresent(range -> assigned.put(engine.id(), range));
    }
    for (EngineSnapshot engine : engines) {
      if (engine.targetLayers().isEmpty()) {
        LayerRange range = bestRange(engines, assigned, engine);
        orders.put(engine.id(), range);
        assigned.put(engine.id(), range);
      }
    }
    coverGaps(engines, assigned, orders, requests);
    return orders;
  }

  /**
   * Returns the range for a new engine: the range with the least capacity, or the range of an
   * engine of its own kind if that scores higher. In a planned replacement the new engine starts
   * before the old engine, usually one of its kind, announces that it leaves.
   */
  private LayerRange bestRange(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned, EngineSnapshot newEngine) {
    int layers =
        sizes.layersFor(newEngine.accelerator(), coverage.medianCapacity(engines, assigned));
    PlacementScorer scorer = new PlacementScorer(model, NEW_ENGINE_FAILURE_WEIGHT);
    LayerRange best = coverage.leastCoveredRange(engines, assigned, layers);
    double bestScore = scorer.score(engines, withRange(assigned, newEngine, best));
    for (LayerRange range : rangesOfSameKind(engines, assigned, newEngine)) {
      double score = scorer.score(engines, withRange(assigned, newEngine, range));
      if (score > bestScore) {
        best = range;
        bestScore = score;
      }
    }
    return best;
  }

  private static Map<String, LayerRange> withRange(
      Map<String, LayerRange> assigned, EngineSnapshot engine, LayerRange range) {
    Map<String, LayerRange> extended = new HashMap<>(assigned);
    extended.put(engine.id(), range);
    return extended;
  }

  private static ImmutableSet<LayerRange> rangesOfSameKind(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned, EngineSnapshot newEngine) {
    return engines.stream()
        .filter(engine -> engine.accelerator().equals(newEngine.accelerator()))
        .map(engine -> assigned.get(engine.id()))
        .filter(Objects::nonNull)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Covers layers that no engine holds or was ordered to hold: first with engines whose layers are
   * also served by others, then by widening an adjacent range. Each step covers a layer, so the
   * loop terminates.
   */
  private void coverGaps(
      List<EngineSnapshot> engines,
      Map<String, LayerRange> assigned,
      Map<String, LayerRange> orders,
      ToDoubleFunction<String> requests) {
    int gap = coverage.firstUncoveredLayer(assigned);
    while (gap >= 0) {
      Optional<EngineSnapshot> redundant = redundant(engines, assigned, requests);
      Optional<EngineSnapshot> neighbour =
          redundant.isPresent() ? Optional.empty() : bestNeighbour(engines, assigned, gap);
      if (redundant.isPresent()) {
        int layers =
            sizes.layersFor(
                redundant.get().accelerator(), coverage.medianCapacity(engines, assigned));
        int from = Math.min(gap, model.layers() - layers);
        order(redundant.get(), LayerRange.of(from, from + layers), assigned, orders);
      } else if (neighbour.isPresent()) {
        LayerRange range = assigned.get(neighbour.get().id());
        LayerRange wider =
            LayerRange.of(Math.min(range.from(), gap), Math.max(range.to(), gap + 1));
        order(neighbour.get(), wider, assigned, orders);
      } else {
        return;
      }
      gap = coverage.firstUncoveredLayer(assigned);
    }
  }

  private static void order(
      EngineSnapshot engine,
      LayerRange range,
      Map<String, LayerRange> assigned,
      Map<String, LayerRange> orders) {
    assigned.put(engine.id(), range);
    orders.put(engine.id(), range);
  }

  /**
   * Returns the engine with the fewest requests among those whose layers are all held by other
   * engines and whose served layers are all served by other engines; of several, the slowest. An
   * engine gives up its layers only after its requests have ended: with dozens of requests that
   * took 7 to 11 s, during which the gap stayed open.
   */
  private Optional<EngineSnapshot> redundant(
      List<EngineSnapshot> engines,
      Map<String, LayerRange> assigned,
      ToDoubleFunction<String> requests) {
    ImmutableMap<String, LayerRange> served = served(engines, assigned);
    int[] holderCounts = coverage.holderCounts(assigned);
    int[] serverCounts = coverage.holderCounts(served);
    return engines.stream()
        .filter(engine -> isReplicated(holderCounts, assigned, engine))
        .filter(
            engine ->
                !served.containsKey(engine.id()) || isReplicated(serverCounts, served, engine))
        .min(
            Comparator.comparingDouble((EngineSnapshot e) -> requests.applyAsDouble(e.id()))
                .thenComparingDouble(e -> -e.accelerator().stepFactor())
                .thenComparing(EngineSnapshot::id));
  }

  private static boolean isReplicated(
      int[] holderCounts, Map<String, LayerRange> assigned, EngineSnapshot engine) {
    LayerRange range = assigned.get(engine.id());
    return range != null && Coverage.isReplicated(holderCounts, range);
  }

  /**
   * Returns the layers that the engines serve now and continue to serve. Orders that are still in
   * progress do not count, because an order may fail or take long.
   */
  private static ImmutableMap<String, LayerRange> served(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    ImmutableMap.Builder<String, LayerRange> served = ImmutableMap.builder();
    for (EngineSnapshot engine : engines) {
      Optional.ofNullable(assigned.get(engine.id()))
          .flatMap(engine::retainedLayers)
          .ifPresent(range -> served.put(engine.id(), range));
    }
    return served.buildOrThrow();
  }

  private Optional<EngineSnapshot> bestNeighbour(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned, int gap) {
    EngineSnapshot best = null;
    double bestCapacity = -1;
    for (EngineSnapshot engine : engines) {
      LayerRange range = assigned.get(engine.id());
      if (range == null) {
        continue;
      }
      int wider = Math.max(range.to(), gap + 1) - Math.min(range.from(), gap);
      if (wider > sizes.maxLayers(engine.accelerator())) {
        continue;
      }
      int added = wider - range.size();
      double capacity = model.tokenCapacity(engine.accelerator(), wider) / added;
      if (capacity > bestCapacity) {
        best = engine;
        bestCapacity = capacity;
      }
    }
    return Optional.ofNullable(best);
  }
}
