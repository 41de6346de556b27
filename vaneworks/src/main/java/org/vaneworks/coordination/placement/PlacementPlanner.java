package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Computes which layers engines should hold.
 *
 * <p>In each data centre the fastest engines make whole copies of the model, each with room for a
 * number of requests; engines that are left over hold the layers again, so that the loss of an
 * engine leaves a path without an order. How much room copies and spares get is searched: of some
 * dozen placements the one of the highest {@link PlacementValue} is taken. What engines hold
 * already is never changed except to cover layers that no engine of the data centre holds any more.
 * Pure: no state, no clock.
 */
public final class PlacementPlanner {
  /**
   * Rooms that are tried for copies and for spares, in requests of the usual size. Steps of a
   * third: an engine holds a few whole layers, so finer ones give the same ranges.
   */
  private static final double[] ROOMS = {20, 27, 36, 48, 64, 85, 113, 150, 200};

  /**
   * Weight of the worth after a loss in the first placement: about the part of a bad day in which a
   * data centre misses one of a dozen engines.
   */
  private static final double FIRST_AFTER_LOSS = 0.25;

  /**
   * The same for a newcomer. It comes for an engine that was lost, or before one of its kind
   * leaves: a range that would be missed is worth more than more room.
   */
  private static final double NEWCOMER_AFTER_LOSS = 0.75;

  /** Most of the memory that may go to layers; the rest holds requests. */
  private static final double MAX_FILL = 0.9;

  /** Room of an engine that counts as no room, in token layers; keeps weights finite. */
  private static final double NEGLIGIBLE_ROOM = 1000;

  private final ModelProfile model;

  private PlacementPlanner(ModelProfile model) {
    this.model = checkNotNull(model);
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
    return nothingHeld ? initial(counted) : fill(counted, passing);
  }

  /** Returns the most valuable of the placements with different rooms. */
  private Map<String, LayerRange> initial(ImmutableList<Holding> engines) {
    List<Holding> fastestFirst = new ArrayList<>(engines);
    fastestFirst.sort(
        Comparator.comparingDouble((Holding e) -> e.accelerator().stepFactor())
            .thenComparingDouble(e -> -e.accelerator().megabytes())
            .thenComparing(Holding::id));
    PlacementValue value = new PlacementValue(model, FIRST_AFTER_LOSS);
    Map<String, LayerRange> best = copiesAndSpares(fastestFirst, ROOMS[0], ROOMS[0]);
    double bestValue = value.of(engines, best);
    for (double copyRoom : ROOMS) {
      for (double spareRoom : ROOMS) {
        Map<String, LayerRange> ranges = copiesAndSpares(fastestFirst, copyRoom, spareRoom);
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
      int layers = layersFor(spare.accelerator(), tokens(spareRoom));
      LayerRange range = weakest(fastestFirst, held, layers);
      ranges.put(spare.id(), range);
      held.put(spare.id(), range);
    }
    return ranges;
  }

  private double tokens(double requests) {
    return requests * (model.usualPrompt() + model.usualAnswer());
  }

  /**
   * Returns the index after the engines, from the first, that hold a copy with that room; or -1.
   */
  private int endOfCopy(List<Holding> engines, int first, double tokens) {
    double layers = 0;
    for (int i = first; i < engines.size(); i++) {
      layers += layersWithRoom(engines.get(i).accelerator(), tokens);
      if (layers >= model.layers()) {
        return i + 1;
      }
    }
    return -1;
  }

  /** Returns how many layers an engine holds if it is to have room for that many tokens in each. */
  private double layersWithRoom(AcceleratorProfile accelerator, double tokens) {
    return accelerator.megabytes()
        / (model.layerMegabytes() + tokens * model.megabytesPerTokenLayer());
  }

  /** Returns how many layers an engine is to hold: with that room, and never more than fit. */
  private int layersFor(AcceleratorProfile accelerator, double tokens) {
    int layers = (int) Math.round(layersWithRoom(accelerator, tokens));
    return Math.max(1, Math.min(Math.min(layers, most(accelerator)), model.layers()));
  }

  /** Gives the engines consecutive ranges in proportion to their memory. */
  private void tile(List<Holding> group, Map<String, LayerRange> ranges) {
    double memory = group.stream().mapToDouble(e -> e.accelerator().megabytes()).sum();
    double passed = 0;
    int from = 0;
    for (Holding engine : group) {
      passed += engine.accelerator().megabytes();
      int to = (int) Math.round(model.layers() * passed / memory);
      to = Math.min(to, from + most(engine.accelerator()));
      if (to > from) {
        ranges.put(engine.id(), LayerRange.of(from, to));
        from = to;
      }
    }
  }

  /** Returns the most layers that an engine may be ordered to hold. */
  int most(AcceleratorProfile accelerator) {
    return (int) Math.floor(accelerator.megabytes() * MAX_FILL / model.layerMegabytes());
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
   * Returns the room of the layer in the middle when all are ordered by it, in tokens. A newcomer
   * most often takes the place of an engine that was lost, so it gets a room like the others'.
   */
  private double typicalRoom(List<Holding> engines, Map<String, LayerRange> held) {
    double[] room = room(engines, held);
    Arrays.sort(room);
    return room[room.length / 2];
  }

  /**
   * Returns the range of a newcomer: the one with the least room, or, if it is worth more, beside
   * an engine of its own kind. In a planned replacement the newcomer starts before the old engine,
   * most often one of its kind, says that it leaves.
   */
  private LayerRange mostValuable(
      List<Holding> engines, Map<String, LayerRange> held, Holding newcomer) {
    int layers = layersFor(newcomer.accelerator(), typicalRoom(engines, held));
    PlacementValue value = new PlacementValue(model, NEWCOMER_AFTER_LOSS);
    LayerRange best = weakest(engines, held, layers);
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

  /** Returns the window of that many layers whose coverage is weakest. */
  private LayerRange weakest(List<Holding> engines, Map<String, LayerRange> held, int size) {
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
        double tokens = model.roomTokenLayers(engine.accelerator(), range.size()) / range.size();
        for (int layer = range.from(); layer < Math.min(range.to(), room.length); layer++) {
          room[layer] += tokens;
        }
      }
    }
    return room;
  }

  /**
   * Covers layers that no engine holds: first by engines whose layers others hold too, then by
   * wider ranges beside the hole. Each step covers a layer, so the loop ends.
   */
  private void cover(
      List<Holding> engines,
      Map<String, LayerRange> held,
      Map<String, LayerRange> orders,
      ToDoubleFunction<String> passing) {
    int hole = firstHole(held);
    while (hole >= 0) {
      Optional<Holding> redundant = redundant(engines, held, passing);
      Optional<Holding> neighbour =
          redundant.isPresent() ? Optional.empty() : roomiestBeside(engines, held, hole);
      if (redundant.isPresent()) {
        int layers = layersFor(redundant.get().accelerator(), typicalRoom(engines, held));
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
      hole = firstHole(held);
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
   * too; of several the slowest. It gives its layers up only once those requests have ended: with
   * dozens of them that took 7 to 11 s, in which the hole stayed open.
   */
  private Optional<Holding> redundant(
      List<Holding> engines, Map<String, LayerRange> held, ToDoubleFunction<String> passing) {
    int[] holders = holders(held);
    return engines.stream()
        .filter(engine -> held.containsKey(engine.id()))
        .filter(engine -> heldTwice(holders, held.get(engine.id())))
        .min(
            Comparator.comparingDouble((Holding e) -> passing.applyAsDouble(e.id()))
                .thenComparingDouble(e -> -e.accelerator().stepFactor())
                .thenComparing(Holding::id));
  }

  private int[] holders(Map<String, LayerRange> held) {
    int[] holders = new int[model.layers()];
    for (LayerRange range : held.values()) {
      for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
        holders[layer]++;
      }
    }
    return holders;
  }

  private static boolean heldTwice(int[] holders, LayerRange range) {
    for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
      if (holders[layer] < 2) {
        return false;
      }
    }
    return true;
  }

  private int firstHole(Map<String, LayerRange> held) {
    int[] holders = holders(held);
    for (int layer = 0; layer < holders.length; layer++) {
      if (holders[layer] == 0) {
        return layer;
      }
    }
    return -1;
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
      if (wider > most(engine.accelerator())) {
        continue;
      }
      int added = wider - range.size();
      double room = model.roomTokenLayers(engine.accelerator(), wider) / wider / added;
      if (room > bestRoom) {
        best = engine;
        bestRoom = room;
      }
    }
    return Optional.ofNullable(best);
  }
}
