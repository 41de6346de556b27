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

/** Places the model on the engines of a data centre of which none holds anything yet. */
final class FirstPlacement {
  /**
   * Rooms that are tried for copies and for spares, in requests of the usual size. Steps of a
   * third: an engine holds a few whole layers, so finer ones give the same ranges.
   */
  private static final double[] ROOMS = {20, 27, 36, 48, 64, 85, 113, 150, 200};

  /**
   * Weight of the worth after a loss: about the part of a bad day in which a data centre misses one
   * of a dozen engines.
   */
  private static final double AFTER_LOSS = 0.25;

  private final ModelProfile model;
  private final EngineSizes sizes;
  private final Coverage coverage;

  FirstPlacement(ModelProfile model) {
    this.model = checkNotNull(model);
    sizes = new EngineSizes(model);
    coverage = new Coverage(model);
  }

  /** Returns the most valuable of the placements with different rooms. */
  Map<String, LayerRange> of(List<Holding> engines) {
    List<Holding> fastestFirst = new ArrayList<>(engines);
    fastestFirst.sort(
        Comparator.comparingDouble((Holding e) -> e.accelerator().stepFactor())
            .thenComparingDouble(e -> -e.accelerator().megabytes())
            .thenComparing(Holding::id));
    PlacementValue value = new PlacementValue(model, AFTER_LOSS);
    Map<String, LayerRange> best = copiesAndSpares(fastestFirst, ROOMS[0], ROOMS[0]);
    double bestValue = value.of(engines, best);
    // Rooms that differ by little often give the same ranges.
    Set<Map<String, LayerRange>> judged = new HashSet<>();
    for (double copyRoom : ROOMS) {
      for (double spareRoom : ROOMS) {
        Map<String, LayerRange> ranges = copiesAndSpares(fastestFirst, copyRoom, spareRoom);
        if (!judged.add(ranges)) {
          continue;
        }
        double worth = value.of(engines, ranges);
        if (worth > bestValue) {
          best = ranges;
          bestValue = worth;
        }
      }
    }
    return best;
  }

  /** Makes copies out of the fastest engines, then spreads the others over the layers again. */
  private Map<String, LayerRange> copiesAndSpares(
      List<Holding> fastestFirst, double copyRoom, double spareRoom) {
    Map<String, LayerRange> ranges = new LinkedHashMap<>();
    int next = 0;
    int end = endOfCopy(fastestFirst, next, tokens(copyRoom));
    if (end < 0) {
      tile(fastestFirst, ranges);
      return ranges;
    }
    while (end > 0) {
      tile(fastestFirst.subList(next, end), ranges);
      next = end;
      end = endOfCopy(fastestFirst, next, tokens(copyRoom));
    }
    Map<String, LayerRange> held = new HashMap<>(ranges);
    for (Holding spare : fastestFirst.subList(next, fastestFirst.size())) {
      int layers = sizes.layersFor(spare.accelerator(), tokens(spareRoom));
      LayerRange range = coverage.weakest(fastestFirst, held, layers);
      ranges.put(spare.id(), range);
      held.put(spare.id(), range);
    }
    return ranges;
  }

  private double tokens(double requests) {
    return requests * model.usualTokens();
  }

  /**
   * Returns the index after the engines, from the first, that hold a copy with that room; or -1.
   */
  private int endOfCopy(List<Holding> engines, int first, double tokens) {
    double layers = 0;
    for (int i = first; i < engines.size(); i++) {
      layers += sizes.layersWithRoom(engines.get(i).accelerator(), tokens);
      if (layers >= model.layers()) {
        return i + 1;
      }
    }
    return -1;
  }

  /** Gives the engines consecutive ranges in proportion to their memory. */
  private void tile(List<Holding> group, Map<String, LayerRange> ranges) {
    double memory = group.stream().mapToDouble(e -> e.accelerator().megabytes()).sum();
    double passed = 0;
    int from = 0;
    for (Holding engine : group) {
      passed += engine.accelerator().megabytes();
      int to = (int) Math.round(model.layers() * passed / memory);
      to = Math.min(to, from + sizes.most(engine.accelerator()));
      if (to > from) {
        ranges.put(engine.id(), LayerRange.of(from, to));
        from = to;
      }
    }
  }
}
