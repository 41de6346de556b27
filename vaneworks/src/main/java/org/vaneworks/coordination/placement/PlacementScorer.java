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
 * Scores a placement by its throughput: the streams of usual size that the engines of a data centre
 * can complete per second, with all engines and after the loss of any one.
 *
 * <p>Two things limit the throughput: the request memory of the layer with the least of it, and the
 * time per token, which grows with the streams that an engine runs together and with the number of
 * engines on the path. Capacity on slow engines therefore adds less than its size suggests. A loss
 * that leaves a layer without a holder scores zero, because other data centres have to take over.
 * Stateless, apart from its settings.
 */
final class PlacementScorer {
  /** Time to send a token to the next engine. */
  private static final double HOP_MILLIS = 0.3;

  /**
   * Utilizations of the smallest layer capacity at which the throughput is computed; the highest
   * result counts.
   */
  private static final double[] UTILIZATIONS = {1, 0.75, 0.5, 0.3, 0.15};

  private static final double MILLIS_PER_SECOND = 1000;

  /** Index that stands for no engine. */
  private static final int NO_ENGINE = -1;

  /**
   * An engine's contribution to one layer.
   *
   * @param engine its index
   * @param stepFactor step time factor of its accelerator
   * @param hopMillis the layer's share of the time to send a token to the engine
   * @param capacity number of requests that it has memory for
   */
  private record Holder(int engine, double stepFactor, double hopMillis, double capacity) {}

  /**
   * Consecutive layers that are held by the same engines. Holders are computed once per segment, so
   * that a fleet of dozens of engines is scored within a few ms.
   *
   * @param layers number of layers
   * @param holders the engines that hold them, fastest first
   */
  private record Segment(int layers, ImmutableList<Holder> holders) {
    double capacity(int lost) {
      double capacity = 0;
      for (Holder holder : holders) {
        capacity += holder.engine() == lost ? 0 : holder.capacity();
      }
      return capacity;
    }
  }

  private final ModelProfile model;
  private final double failureWeight;

  /**
   * Creates a scorer.
   *
   * @param failureWeight weight, 0 to 1, of the mean throughput after the loss of one engine
   *     against the throughput with all engines
   */
  PlacementScorer(ModelProfile model, double failureWeight) {
    checkArgument(failureWeight >= 0 && failureWeight <= 1, "weight: %s", failureWeight);
    this.model = checkNotNull(model);
    this.failureWeight = failureWeight;
  }

  /** Returns the score of the assigned ranges, in streams per second. */
  double score(List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    ImmutableList<Segment> segments = segments(engines, assigned);
    double intact = streamsPerSecond(segments, NO_ENGINE);
    // The loss of either of two engines with the same accelerator and range has the same effect.
    Map<List<Object>, Double> degradedByKind = new HashMap<>();
    double degradedSum = 0;
    for (int engine = 0; engine < engines.size(); engine++) {
      int lost = engine;
      LayerRange range = assigned.get(engines.get(engine).id());
      if (range == null) {
        degradedSum += intact;
      } else {
        List<Object> kind = List.of(engines.get(engine).accelerator(), range);
        degradedSum +=
            degradedByKind.computeIfAbsent(kind, key -> streamsPerSecond(segments, lost));
      }
    }
    return (1 - failureWeight) * intact + failureWeight * degradedSum / engines.size();
  }

  private ImmutableList<Segment> segments(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned) {
    ImmutableList<Integer> boundaries = boundaries(assigned).asList();
    ImmutableList.Builder<Segment> segments = ImmutableList.builder();
    for (int index = 0; index + 1 < boundaries.size(); index++) {
      int from = boundaries.get(index);
      segments.add(new Segment(boundaries.get(index + 1) - from, holders(engines, assigned, from)));
    }
    return segments.build();
  }

  /** Returns, in order, the layers at which the set of holders changes. */
  private ImmutableSortedSet<Integer> boundaries(Map<String, LayerRange> assigned) {
    ImmutableSortedSet.Builder<Integer> boundaries = ImmutableSortedSet.naturalOrder();
    boundaries.add(0, model.layers());
    for (LayerRange range : assigned.values()) {
      boundaries.add(Math.min(range.from(), model.layers()), Math.min(range.to(), model.layers()));
    }
    return boundaries.build();
  }

  private ImmutableList<Holder> holders(
      List<EngineSnapshot> engines, Map<String, LayerRange> assigned, int layer) {
    List<Holder> holders = new ArrayList<>();
    for (int engine = 0; engine < engines.size(); engine++) {
      LayerRange range = assigned.get(engines.get(engine).id());
      if (range != null && range.from() <= layer && layer < range.to()) {
        holders.add(holder(engine, engines.get(engine), range));
      }
    }
    return ImmutableList.sortedCopyOf(Comparator.comparingDouble(Holder::stepFactor), holders);
  }

  private Holder holder(int index, EngineSnapshot engine, LayerRange range) {
    double tokens = model.tokenCapacity(engine.accelerator(), range.size());
    return new Holder(
        index,
        engine.accelerator().stepFactor(),
        HOP_MILLIS / range.size(),
        tokens / model.usualTokens());
  }

  private double streamsPerSecond(ImmutableList<Segment> segments, int lost) {
    double capacity = Double.MAX_VALUE;
    for (Segment segment : segments) {
      capacity = Math.min(capacity, segment.capacity(lost));
    }
    double best = 0;
    for (double utilization : UTILIZATIONS) {
      double streams = capacity * utilization;
      if (streams > 0) {
        double tokenMillis = tokenMillis(segments, lost, streams);
        best = Math.max(best, streams * MILLIS_PER_SECOND / (tokenMillis * model.usualAnswer()));
      }
    }
    return best;
  }

  /** Returns the mean time per token if that many streams fill the fastest holders first. */
  private double tokenMillis(ImmutableList<Segment> segments, int lost, double streams) {
    double millis = 0;
    for (Segment segment : segments) {
      double remaining = streams;
      double layerMillis = 0;
      for (Holder holder : segment.holders()) {
        if (remaining <= 0) {
          break;
        }
        if (holder.engine() != lost) {
          double assignedStreams = Math.min(remaining, holder.capacity());
          layerMillis += assignedStreams / streams * layerMillis(holder, assignedStreams);
          remaining -= assignedStreams;
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
