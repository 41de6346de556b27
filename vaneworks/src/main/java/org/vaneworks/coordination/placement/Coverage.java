package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.ModelProfile;

/** How the layers of a model are covered by what engines hold: by how many, and with what room. */
final class Coverage {
  /** Room of an engine that counts as no room, in token layers; keeps weights finite. */
  private static final double NEGLIGIBLE_ROOM = 1000;

  private final ModelProfile model;

  Coverage(ModelProfile model) {
    this.model = checkNotNull(model);
  }

  /**
   * Returns the room of the layer in the middle when all are ordered by it, in tokens. A newcomer
   * most often takes the place of an engine that was lost, so it gets a room like the others'.
   */
  double typicalRoom(List<Holding> engines, Map<String, LayerRange> held) {
    double[] room = room(engines, held);
    Arrays.sort(room);
    return room[room.length / 2];
  }

  /** Returns the window of that many layers whose coverage is weakest. */
  LayerRange weakest(List<Holding> engines, Map<String, LayerRange> held, int size) {
    double[] need = need(engines, held);
    double sum = 0;
    for (int layer = 0; layer < size; layer++) {
      sum += need[layer];
    }
    double most = sum;
    int from = 0;
    for (int start = 1; start + size <= model.layers(); start++) {
      sum += need[start + size - 1] - need[start - 1];
      if (sum > most + 1e-12) {
        most = sum;
        from = start;
      }
    }
    return LayerRange.of(from, from + size);
  }

  /** Returns for each layer how much another holder would help: the inverse of its room. */
  private double[] need(List<Holding> engines, Map<String, LayerRange> held) {
    double[] room = room(engines, held);
    double[] need = new double[room.length];
    for (int layer = 0; layer < room.length; layer++) {
      need[layer] = 1 / (NEGLIGIBLE_ROOM + room[layer]);
    }
    return need;
  }

  /** Returns for each layer how many tokens its holders have room for. */
  private double[] room(List<Holding> engines, Map<String, LayerRange> held) {
    double[] room = new double[model.layers()];
    for (Holding engine : engines) {
      LayerRange range = held.get(engine.id());
      if (range != null) {
        double tokens = model.tokenCapacity(engine.accelerator(), range.size());
        for (int layer = range.from(); layer < Math.min(range.to(), room.length); layer++) {
          room[layer] += tokens;
        }
      }
    }
    return room;
  }

  /** Returns for each layer how many engines hold it. */
  int[] holders(Map<String, LayerRange> held) {
    int[] holders = new int[model.layers()];
    for (LayerRange range : held.values()) {
      for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
        holders[layer]++;
      }
    }
    return holders;
  }

  /** Returns whether each layer of a range has two holders or more. */
  static boolean heldTwice(int[] holders, LayerRange range) {
    for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
      if (holders[layer] < 2) {
        return false;
      }
    }
    return true;
  }

  /** Returns the first layer that no engine holds, or -1. */
  int firstHole(Map<String, LayerRange> held) {
    int[] holders = holders(held);
    for (int layer = 0; layer < holders.length; layer++) {
      if (holders[layer] == 0) {
        return layer;
      }
    }
    return -1;
  }
}
