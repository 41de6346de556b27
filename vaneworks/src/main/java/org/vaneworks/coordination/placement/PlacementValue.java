package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  /**
   * An engine's part in one layer.
   *
   * @param engine its index
   * @param stepFactor of its accelerator
   * @param hopMillis the layer's part of the way to the engine
   * @param room requests that it has room for
   */
  private record Holder(int engine, double stepFactor, double hopMillis, double room) {}

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
    List<List<Holder>> holders = holders(engines, held);
    double whole = streamsPerSecond(holders, Optional.empty());
    double afterLoss = 0;
    for (int engine = 0; engine < engines.size(); engine++) {
      afterLoss += streamsPerSecond(holders, Optional.of(engine));
    }
    return (1 - afterLossWeight) * whole + afterLossWeight * afterLoss / engines.size();
  }

  /** Returns for each layer its holders, fastest first. */
  private List<List<Holder>> holders(List<Holding> engines, Map<String, LayerRange> held) {
    List<List<Holder>> holders = new ArrayList<>();
    for (int layer = 0; layer < model.layers(); layer++) {
      holders.add(new ArrayList<>());
    }
    for (int engine = 0; engine < engines.size(); engine++) {
      LayerRange range = held.get(engines.get(engine).id());
      if (range != null) {
        Holder holder = holder(engine, engines.get(engine), range);
        for (int layer = range.from(); layer < Math.min(range.to(), model.layers()); layer++) {
          holders.get(layer).add(holder);
        }
      }
    }
    holders.forEach(each -> each.sort(Comparator.comparingDouble(Holder::stepFactor)));
    return holders;
  }

  private Holder holder(int index, Holding engine, LayerRange range) {
    double tokens = model.roomTokens(engine.accelerator(), range.size());
    return new Holder(
        index,
        engine.accelerator().stepFactor(),
        HOP_MILLIS / range.size(),
        tokens / model.usualTokens());
  }

  private double streamsPerSecond(List<List<Holder>> holders, Optional<Integer> lost) {
    double room = leastRoom(holders, lost);
    double best = 0;
    for (double fill : FILLS) {
      double streams = room * fill;
      if (streams > 0) {
        double tokenMillis = tokenMillis(holders, lost, streams);
        best = Math.max(best, streams * MILLIS_PER_SECOND / (tokenMillis * model.usualAnswer()));
      }
    }
    return best;
  }

  private static double leastRoom(List<List<Holder>> holders, Optional<Integer> lost) {
    double least = Double.MAX_VALUE;
    for (List<Holder> layer : holders) {
      double room = 0;
      for (Holder holder : layer) {
        room += isLost(holder, lost) ? 0 : holder.room();
      }
      least = Math.min(least, room);
    }
    return least;
  }

  /** Returns the mean time of a token if that many streams fill the fastest holders first. */
  private double tokenMillis(List<List<Holder>> holders, Optional<Integer> lost, double streams) {
    double millis = 0;
    for (List<Holder> layer : holders) {
      double left = streams;
      for (Holder holder : layer) {
        if (isLost(holder, lost) || left <= 0) {
          continue;
        }
        double here = Math.min(left, holder.room());
        millis += here / streams * layerMillis(holder, here);
        left -= here;
      }
    }
    return millis;
  }

  private double layerMillis(Holder holder, double streams) {
    return holder.stepFactor() * stepMillis(streams) / model.layers() + holder.hopMillis();
  }

  private static boolean isLost(Holder holder, Optional<Integer> lost) {
    return lost.isPresent() && lost.get() == holder.engine();
  }

  private double stepMillis(double streams) {
    double thousands = model.usualTokens() / 1000.0;
    return model.stepMillis()
        + streams * (model.perSequenceMillis() + thousands * model.perThousandContextMillis());
  }
}
