package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Computes how many engines hold each layer of a model, and how much request memory they have for
 * it.
 */
final class Coverage {
  /** Capacity, in token layers, that counts as none; keeps the weights finite. */
  private static final double NEGLIGIBLE_CAPACITY = 1000;

  private final ModelProfile model;

  Coverage(ModelProfile model) {
    this.model = checkNotNull(model);
  }

  /**
   * Returns the median over all layers of their capacity, in tokens. A new engine usually replaces
   * one that was lost, so it gets a capacity like that of the others.
   */
  double medianCapacity(List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    double[] capacity = capacity(engines, assigned);
    Arrays.sort(capacity);
    return capacity[capacity.length / 2];
  }

  /** Returns the range of {@code size} layers whose coverage is weakest. */
  LayerRange leastCoveredRange(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned, int size) {
    double[] benefit = benefit(engines, assigned);
    double sum = 0;
    for (int layer = 0; layer < size; layer++) {
      sum += benefit[layer];
    }
    double maxSum = sum;
    int from = 0;
    for (int start = 1; start + size <= model.layers(); start++) {
      sum += benefit[start + size - 1] - benefit[start - 1];
      if (sum > maxSum + 1e-12) {
        maxSum = sum;
        from = start;
      }
    }
    return LayerRange.of(from, from + size);
  }

  /** Returns for each layer the benefit of another holder: the inverse of the layer's capacity. */
  private double[] benefit(List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    double[] capacity = capacity(engines, assigned);
    double[] benefit = new double[capacity.length];
    for (int layer = 0; layer < capacity.length; layer++) {
      benefit[layer] = 1 / (NEGLIGIBLE_CAPACITY + capacity[layer]);
    }
    return benefit;
  }

  /** Returns for each layer how many tokens its holders have memory for. */
  private double[] capacity(List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    double[] capacity = new double[model.layers()];
    for (EngineSnapshot engine : engines) {
      LayerRange range = assigned.get(engine.id());
      if (range != null) {
        double tokens = model.tokenCapacity(engine.accelerator(), range.size());
        for (int layer = range.from(); layer < Math.min(range.to(), capacity.length); layer++) {
          capacity[layer] += tokens;
        }
      }
    }
    return capacity;
  }

  /** Returns for each layer how many engines hold it. */
  int[] holderCounts(Map<String, LayerRange> assigned) {
    int[] holderCounts = new int[model.layers()];
    for (LayerRange range : assigned.values()) {
      for (int layer = range.from(); layer < Math.min(range.to(), holderCounts.length); layer++) {
        holderCounts[layer]++;
      }
    }
    return holderCounts;
  }

  /** Returns whether each layer of the range has at least two holders. */
  static boolean isReplicated(int[] holderCounts, LayerRange range) {
    for (int layer = range.from(); layer < Math.min(range.to(), holderCounts.length); layer++) {
      if (holderCounts[layer] < 2) {
        return false;
      }
    }
    return true;
  }

  /** Returns the first layer that no engine holds, or -1. */
  int firstUncoveredLayer(Map<String, LayerRange> assigned) {
    int[] holderCounts = holderCounts(assigned);
    for (int layer = 0; layer < holderCounts.length; layer++) {
      if (holderCounts[layer] == 0) {
        return layer;
      }
    }
    return -1;
  }
}
