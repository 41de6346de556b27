package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Tells what a placement is worth: the streams of the usual size that the engines of a data centre
 * can write a second, with all of them and after the loss of any one.
 *
 * <p>Two things bound that: the memory for requests of the layer with the least of it, and the time
 * of a token, which grows with the streams that an engine runs together and with the engines on the
 * way. More room in slow engines is therefore worth less than it seems. A loss that leaves a layer
 * without a holder counts as nothing left: the other data centres have to take over. Pure: no
 * state, no clock.
 */
final class PlacementValue {
  /** Time of a token on its way to another engine. */
  private static final double HOP_MILLIS = 0.3;

  /** Shares of the least room at which the streams a second are computed; the best one counts. */
  private static final double[] FILLS = {1, 0.75, 0.5, 0.3, 0.15};

  private static final double MILLIS_PER_SECOND = 1000;

  /** Stands for no engine. */
  private static final int NONE = -1;

  /**
   * An engine's part in one layer.
   *
   * @param engine its index
   * @param stepFactor of its accelerator
   * @param hopMillis the layer's part of the way to the engine
   * @param room requests that it has room for
   */
  private record Holder(int engine, double stepFactor, double hopMillis, double room) {}

  /**
   * Layers in a row that the same engines hold; what holds for one of them holds for all, so a
   * fleet of dozens of engines is judged in a few ms.
   *
   * @param layers how many
   * @param holders fastest first
   */
  private record Segment(int layers, ImmutableList<Holder> holders) {
    double room(int lost) {
      double room = 0;
      for (Holder holder : holders) {
        room += holder.engine() == lost ? 0 : holder.room();
      }
      return room;
    }
  }

  private final ModelProfile model;
  private final double afterLossWeight;

  /**
   * Makes a measure.
   *
   * @param afterLossWeight of the mean after a loss, against the worth with all engines; 0 to 1
   */
  PlacementValue(ModelProfile model, double afterLossWeight) {
    checkArgument(afterLossWeight >= 0 && afterLossWeight <= 1, "weight: %s", afterLossWeight);
    this.model = checkNotNull(model);
    this.afterLossWeight = afterLossWeight;
  }

  /** Returns the worth of ranges, in streams a second. */
  double of(List<Holding> engines, Map<String, LayerRange> held) {
    ImmutableList<Segment> segments = segments(engines, held);
    double whole = streamsPerSecond(segments, NONE);
    // Engines of one kind with the same layers are missed alike.
    Map<List<Object>, Double> missed = new HashMap<>();
    double afterLoss = 0;
    for (int engine = 0; engine < engines.size(); engine++) {
      int lost = engine;
      LayerRange range = held.get(engines.get(engine).id());
      if (range == null) {
        afterLoss += whole;
      } else {
        List<Object> alike = List.of(engines.get(engine).accelerator(), range);
        afterLoss += missed.computeIfAbsent(alike, any -> streamsPerSecond(segments, lost));
      }
    }
    return (1 - afterLossWeight) * whole + afterLossWeight * afterLoss / engines.size();
  }

  private ImmutableList<Segment> segments(List<Holding> engines, Map<String, LayerRange> held) {
    ImmutableList<Integer> cuts = cuts(held).asList();
    ImmutableList.Builder<Segment> segments = ImmutableList.builder();
    for (int cut = 0; cut + 1 < cuts.size(); cut++) {
      int from = cuts.get(cut);
      segments.add(new Segment(cuts.get(cut + 1) - from, holders(engines, held, from)));
    }
    return segments.build();
  }

  /** Returns the layers at which what is held changes, in order. */
  private ImmutableSortedSet<Integer> cuts(Map<String, LayerRange> held) {
    ImmutableSortedSet.Builder<Integer> cuts = ImmutableSortedSet.naturalOrder();
    cuts.add(0, model.layers());
    for (LayerRange range : held.values()) {
      cuts.add(Math.min(range.from(), model.layers()), Math.min(range.to(), model.layers()));
    }
    return cuts.build();
  }

  private ImmutableList<Holder> holders(
      List<Holding> engines, Map<String, LayerRange> held, int layer) {
    List<Holder> holders = new ArrayList<>();
    for (int engine = 0; engine < engines.size(); engine++) {
      LayerRange range = held.get(engines.get(engine).id());
      if (range != null && range.from() <= layer && layer < range.to()) {
        holders.add(holder(engine, engines.get(engine), range));
      }
    }
    return ImmutableList.sortedCopyOf(Comparator.comparingDouble(Holder::stepFactor), holders);
  }

  private Holder holder(int index, Holding engine, LayerRange range) {
    double tokens = model.tokenCapacity(engine.accelerator(), range.size());
    return new Holder(
        index,
        engine.accelerator().stepFactor(),
        HOP_MILLIS / range.size(),
        tokens / model.usualTokens());
  }

  private double streamsPerSecond(ImmutableList<Segment> segments, int lost) {
    double room = Double.MAX_VALUE;
    for (Segment segment : segments) {
      room = Math.min(room, segment.room(lost));
    }
    double best = 0;
    for (double fill : FILLS) {
      double streams = room * fill;
      if (streams > 0) {
        double tokenMillis = tokenMillis(segments, lost, streams);
        best = Math.max(best, streams * MILLIS_PER_SECOND / (tokenMillis * model.usualAnswer()));
      }
    }
    return best;
  }

  /** Returns the mean time of a token if that many streams fill the fastest holders first. */
  private double tokenMillis(ImmutableList<Segment> segments, int lost, double streams) {
    double millis = 0;
    for (Segment segment : segments) {
      double left = streams;
      double layerMillis = 0;
      for (Holder holder : segment.holders()) {
        if (left <= 0) {
          break;
        }
        if (holder.engine() != lost) {
          double here = Math.min(left, holder.room());
          layerMillis += here / streams * layerMillis(holder, here);
          left -= here;
        }
      }
      millis += segment.layers() * layerMillis;
    }
    return millis;
  }

  private double layerMillis(Holder holder, double streams) {
    return holder.stepFactor() * stepMillis(streams) / model.layers() + holder.hopMillis();
  }

  private double stepMillis(double streams) {
    double thousands = model.usualTokens() / 1000.0;
    return model.stepMillis()
        + streams * (model.perSequenceMillis() + thousands * model.perThousandContextMillis());
  }
}
