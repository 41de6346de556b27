package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.ModelProfile;

/** Plans the placement of a model in a data centre whose engines hold no layers yet. */
final class InitialPlacement {
  /**
   * Capacities that are tried for replicas and for spares, in requests of usual size. The steps are
   * about a third: an engine holds a few whole layers, so finer steps give the same ranges.
   */
  private static final double[] CAPACITIES = {20, 27, 36, 48, 64, 85, 113, 150, 200};

  /**
   * Weight of the score after the loss of one engine: about the share of a bad day during which a
   * data centre lacks one of a dozen engines.
   */
  private static final double FAILURE_WEIGHT = 0.25;

  private final ModelProfile model;
  private final EngineSizing sizes;
  private final Coverage coverage;

  InitialPlacement(ModelProfile model) {
    this.model = checkNotNull(model);
    sizes = new EngineSizing(model);
    coverage = new Coverage(model);
  }

  /** Returns the placement with the highest score over all combinations of capacities. */
  Map<String, LayerRange> plan(List<EngineSnapshot> engines) {
    List<EngineSnapshot> fastestFirst = new ArrayList<>(engines);
    fastestFirst.sort(
        Comparator.comparingDouble((EngineSnapshot e) -> e.accelerator().stepFactor())
            .thenComparingDouble(e -> -e.accelerator().megabytes())
            .thenComparing(EngineSnapshot::id));
    PlacementScorer scorer = new PlacementScorer(model, FAILURE_WEIGHT);
    Map<String, LayerRange> best = replicasAndSpares(fastestFirst, CAPACITIES[0], CAPACITIES[0]);
    double bestScore = scorer.score(engines, best);
    // Similar capacities often give the same ranges.
    Set<Map<String, LayerRange>> evaluated = new HashSet<>();
    for (double replicaCapacity : CAPACITIES) {
      for (double spareCapacity : CAPACITIES) {
        Map<String, LayerRange> ranges =
            replicasAndSpares(fastestFirst, replicaCapacity, spareCapacity);
        if (!evaluated.add(ranges)) {
          continue;
        }
        double score = scorer.score(engines, ranges);
        if (score > bestScore) {
          best = ranges;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /**
   * Builds replicas of the model from the fastest engines, then distributes the remaining engines
   * over the layers with the least capacity.
   */
  private Map<String, LayerRange> replicasAndSpares(
      List<EngineSnapshot> fastestFirst, double replicaCapacity, double spareCapacity) {
    Map<String, LayerRange> ranges = new LinkedHashMap<>();
    int next = 0;
    int end = endOfReplica(fastestFirst, next, tokens(replicaCapacity));
    if (end < 0) {
      partition(fastestFirst, ranges);
      return ranges;
    }
    while (end > 0) {
      partition(fastestFirst.subList(next, end), ranges);
      next = end;
      end = endOfReplica(fastestFirst, next, tokens(replicaCapacity));
    }
    Map<String, LayerRange> assigned = new HashMap<>(ranges);
    for (EngineSnapshot spare : fastestFirst.subList(next, fastestFirst.size())) {
      int layers = sizes.layersFor(spare.accelerator(), tokens(spareCapacity));
      LayerRange range = coverage.leastCoveredRange(fastestFirst, assigned, layers);
      ranges.put(spare.id(), range);
      assigned.put(spare.id(), range);
    }
    return ranges;
  }

  private double tokens(double requests) {
    return requests * model.usualTokens();
  }

  /**
   * Returns the index after the last engine of a replica that starts at {@code first} and has the
   * given capacity, or -1 if the engines do not suffice.
   */
  private int endOfReplica(List<EngineSnapshot> engines, int first, double tokens) {
    double layers = 0;
    for (int i = first; i < engines.size(); i++) {
      layers += sizes.layersWithCapacity(engines.get(i).accelerator(), tokens);
      if (layers >= model.layers()) {
        return i + 1;
      }
    }
    return -1;
  }

  /** Assigns consecutive ranges to the engines in proportion to their memory. */
  private void partition(List<EngineSnapshot> group, Map<String, LayerRange> ranges) {
    double memory = group.stream().mapToDouble(e -> e.accelerator().megabytes()).sum();
    double cumulativeMemory = 0;
    int from = 0;
    for (EngineSnapshot engine : group) {
      cumulativeMemory += engine.accelerator().megabytes();
      int to = (int) Math.round(model.layers() * cumulativeMemory / memory);
      to = Math.min(to, from + sizes.maxLayers(engine.accelerator()));
      if (to > from) {
        ranges.put(engine.id(), LayerRange.of(from, to));
        from = to;
      }
    }
  }
}
