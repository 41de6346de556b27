package org.vaneworks.coordination.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Finds the path with the least expected time over the engines' layers.
 *
 * <p>A shortest path over (layer boundary, data centre). A part may begin and end anywhere inside
 * what its engine holds, so ranges may overlap and a path may change between copies of the model.
 * The cost of a part is the engine's expected time for the request's share there, at the load of
 * all nodes as far as it is known, with a penalty once memory runs short. Each node has lasting
 * preferences among like engines, and a little chance: nodes with the same view don't choose the
 * same engines.
 */
public final class PathPlanner {
  /**
   * Paid once a path changes the data centre: as much as for an engine without room. The pipe
   * between two data centres is shared by all and can't be seen to fill; each token passes it. A
   * data centre that lacks room or layers sends its requests whole to another one instead.
   */
  private static final double CROSSING_MILLIS = 20_000;

  /** Paid for leaving the node's data centre: bytes between them are priced. */
  private static final double REMOTE_MILLIS = 60;

  /** Time on the way to another engine, for each token. */
  private static final double HOP_MILLIS = 0.3;

  /** Share of an engine's memory from which waiting for memory becomes likely. */
  private static final double CROWDED = 0.7;

  /**
   * Most of an engine's memory that requests may be going to need at their end. All of it: few of
   * them are at their end at once, which leaves room for answers longer than expected and for
   * requests of other nodes that are not known yet. An engine that runs out of memory stops the
   * newest request and reads it again later.
   */
  private static final double MOST_TAKEN = 1.0;

  /** Cost of an engine whose memory is full, far above any time of a step. */
  private static final double FULL_MILLIS = 20_000;

  /** Cost of an engine whose places are all taken. */
  private static final double NO_SLOT_MILLIS = 20_000;

  private static final double NOISE = 0.1;

  /**
   * Part by which a node takes an engine for faster or slower than its kind, always the same way.
   * What it knows at first hand, its own requests, is so more of what an engine has.
   */
  private static final double PREFERENCE = 0.3;

  private static final double MILLIS_PER_SECOND = 1000;

  private final Random random;
  private final HashFunction preferences;

  private PathPlanner(Random random) {
    this.random = checkNotNull(random);
    this.preferences = Hashing.murmur3_32_fixed(random.nextInt());
  }

  /** Returns a planner that draws from the source. */
  public static PathPlanner create(Random random) {
    return new PathPlanner(random);
  }

  /**
   * What a path is asked for.
   *
   * @param model what the engines run
   * @param size the request's size
   * @param dataCentre the node's
   * @param nowNanos the time
   */
  public record Query(ModelProfile model, RequestSize size, String dataCentre, long nowNanos) {}

  private record Step(PathPart part, int state, double cost) {}

  /** Returns the best path over the engines, if they hold every layer. */
  public Optional<EnginePath> plan(Query query, List<TrackedEndpoint> engines) {
    return search(query, engines, Optional.empty());
  }

  /** Returns the best path that begins with the given part. */
  public Optional<EnginePath> replan(
      Query query, List<TrackedEndpoint> engines, PathPart firstPart) {
    ImmutableList<TrackedEndpoint> others =
        engines.stream()
            .filter(engine -> engine != firstPart.engine())
            .collect(ImmutableList.toImmutableList());
    return search(query, others, Optional.of(firstPart));
  }

  private Optional<EnginePath> search(
      Query query, List<TrackedEndpoint> engines, Optional<PathPart> firstPart) {
    if (engines.isEmpty() && firstPart.isEmpty()) {
      return Optional.empty();
    }
    int layers = query.model().layers();
    int begin = firstPart.map(part -> part.layers().to()).orElse(0);
    if (begin == layers) {
      return firstPart.map(part -> EnginePath.of(layers, List.of(part)));
    }
    List<String> centres = centres(engines, firstPart);
    int[] cuts = cuts(engines, begin, layers);
    Step[] best = new Step[cuts.length * centres.size()];
    double[] cost = new double[best.length];
    Arrays.fill(cost, Double.MAX_VALUE);
    for (int centre = 0; centre < centres.size(); centre++) {
      cost[centre] = startCost(query, centres.get(centre), firstPart);
    }
    List<Candidate> candidates = candidates(query, engines, centres);
    for (int cut = 0; cut < cuts.length - 1; cut++) {
      int layer = cuts[cut];
      for (Candidate candidate : candidates) {
        if (layer < candidate.heldFrom || layer >= candidate.heldTo) {
          continue;
        }
        int from = cheapestState(cost, cut, candidate.centre, centres.size());
        if (cost[from] == Double.MAX_VALUE) {
          continue;
        }
        double before = cost[from] + crossing(from % centres.size(), candidate.centre);
        for (int end = cut + 1; end < cuts.length && cuts[end] <= candidate.heldTo; end++) {
          int state = end * centres.size() + candidate.centre;
          double total = before + candidate.cost.of(cuts[end] - layer);
          if (total < cost[state]) {
            cost[state] = total;
            PathPart part = new PathPart(candidate.engine, LayerRange.of(layer, cuts[end]));
            best[state] = new Step(part, from, total);
          }
        }
      }
    }
    return walkBack(best, cost, centres.size(), firstPart, layers);
  }

  private static List<String> centres(List<TrackedEndpoint> engines, Optional<PathPart> firstPart) {
    TreeSet<String> names = new TreeSet<>();
    engines.forEach(engine -> names.add(engine.endpoint().dataCentre()));
    firstPart.ifPresent(part -> names.add(part.engine().endpoint().dataCentre()));
    return new ArrayList<>(names);
  }

  /** Returns the layers at which a part may begin or end, in order. */
  private static int[] cuts(List<TrackedEndpoint> engines, int begin, int layers) {
    TreeSet<Integer> cuts = new TreeSet<>();
    cuts.add(begin);
    cuts.add(layers);
    for (TrackedEndpoint engine : engines) {
      engine
          .endpoint()
          .layers()
          .ifPresent(
              held -> {
                addInside(cuts, held.from(), begin, layers);
                addInside(cuts, held.to(), begin, layers);
              });
    }
    return cuts.stream().mapToInt(Integer::intValue).toArray();
  }

  private static void addInside(TreeSet<Integer> cuts, int layer, int begin, int layers) {
    if (layer > begin && layer < layers) {
      cuts.add(layer);
    }
  }

  private static double startCost(Query query, String centre, Optional<PathPart> firstPart) {
    String home =
        firstPart.map(part -> part.engine().endpoint().dataCentre()).orElse(query.dataCentre());
    if (home.equals(centre)) {
      return 0;
    }
    return firstPart.isPresent() ? CROSSING_MILLIS : REMOTE_MILLIS;
  }

  private static double crossing(int centre, int toCentre) {
    return centre == toCentre ? 0 : CROSSING_MILLIS;
  }

  /** Returns the state at a cut from which an engine of that data centre is reached cheapest. */
  private static int cheapestState(double[] cost, int cut, int centre, int centres) {
    int first = cut * centres;
    int best = first + centre;
    if (cut == 0) {
      return best;
    }
    for (int state = first; state < first + centres; state++) {
      if (cost[state] == Double.MAX_VALUE) {
        continue;
      }
      double into = cost[state] + crossing(state - first, centre);
      if (cost[best] == Double.MAX_VALUE || into < cost[best] + crossing(best - first, centre)) {
        best = state;
      }
    }
    return best;
  }

  private static Optional<EnginePath> walkBack(
      Step[] best, double[] cost, int centres, Optional<PathPart> firstPart, int layers) {
    int state = best.length - centres;
    for (int candidate = best.length - centres; candidate < best.length; candidate++) {
      if (cost[candidate] < cost[state]) {
        state = candidate;
      }
    }
    if (cost[state] == Double.MAX_VALUE) {
      return Optional.empty();
    }
    List<PathPart> parts = new ArrayList<>();
    while (best[state] != null) {
      parts.add(best[state].part());
      state = best[state].state();
    }
    firstPart.ifPresent(parts::add);
    Collections.reverse(parts);
    return Optional.of(EnginePath.of(layers, joined(parts)));
  }

  /**
   * Gives an engine that appears twice all layers from its first part to its last, which it holds.
   */
  private static List<PathPart> joined(List<PathPart> parts) {
    List<PathPart> result = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      PathPart part = parts.get(i);
      int last = i;
      for (int j = i + 1; j < parts.size(); j++) {
        if (parts.get(j).engine() == part.engine()) {
          last = j;
        }
      }
      int to = parts.get(last).layers().to();
      result.add(new PathPart(part.engine(), LayerRange.of(part.layers().from(), to)));
      i = last;
    }
    return result;
  }

  /**
   * An engine with what the search asks of it for each cut; a fleet has dozens of both, so nothing
   * is looked up in between.
   */
  private static final class Candidate {
    private final TrackedEndpoint engine;
    private final int heldFrom;
    private final int heldTo;
    private final int centre;
    private final EngineCost cost;

    Candidate(TrackedEndpoint engine, LayerRange held, int centre, EngineCost cost) {
      this.engine = engine;
      this.heldFrom = held.from();
      this.heldTo = held.to();
      this.centre = centre;
      this.cost = cost;
    }
  }

  private List<Candidate> candidates(
      Query query, List<TrackedEndpoint> engines, List<String> centres) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedEndpoint engine : engines) {
      Optional<AcceleratorProfile> accelerator =
          query.model().accelerator(engine.endpoint().accelerator());
      Optional<LayerRange> held = engine.endpoint().layers();
      if (accelerator.isPresent() && held.isPresent()) {
        int centre = centres.indexOf(engine.endpoint().dataCentre());
        EngineCost cost = cost(query, engine, accelerator.get());
        candidates.add(new Candidate(engine, held.get(), centre, cost));
      }
    }
    return candidates;
  }

  private EngineCost cost(Query query, TrackedEndpoint engine, AcceleratorProfile accelerator) {
    ModelProfile model = query.model();
    RequestSize size = query.size();
    double shortage = engine.shortage(query.nowNanos());
    double streams = engine.requestsOfAll() * shortage;
    int held = engine.endpoint().layers().get().size();
    double taken = engine.tokenLayersOfAll() * shortage;
    double contextTokens = taken / held;
    double stepMillis =
        accelerator.stepFactor()
            * engine.pace()
            * (model.stepMillis()
                + streams * model.perSequenceMillis()
                + contextTokens / 1000 * model.perThousandContextMillis());
    double readMillis =
        accelerator.readFactor()
            * engine.pace()
            * size.promptTokens()
            * MILLIS_PER_SECOND
            / model.readTokensPerSecond();
    double perLayer = (stepMillis * size.answerTokens() + readMillis) / model.layers();
    double noise =
        1 + NOISE * (random.nextDouble() - 0.5) * 2 + PREFERENCE * preference(engine.endpoint());
    double fixed = HOP_MILLIS * size.answerTokens();
    if (streams >= engine.endpoint().slots()) {
      fixed += NO_SLOT_MILLIS;
    }
    return new EngineCost(
        perLayer * noise,
        fixed * noise,
        model.tokenLayerCapacity(accelerator, held),
        taken,
        size.tokens());
  }

  /** Returns how this node takes an engine, from -1 for the fastest to 1 for the slowest. */
  private double preference(FleetEndpoint engine) {
    int hash = preferences.hashInt(engine.id().hashCode()).asInt();
    return (double) hash / Integer.MAX_VALUE;
  }

  /** What a part costs on one engine, by its number of layers. */
  private record EngineCost(
      double perLayer, double fixed, double room, double taken, double tokens) {
    double of(int layers) {
      double fill = room <= 0 ? 1 : (taken + tokens * layers) / room;
      // An empty engine takes whatever fits; one that is described as too small refuses itself.
      if (room > 0 && fill > (taken > 0 ? MOST_TAKEN : 1)) {
        return Double.MAX_VALUE;
      }
      double crowding = fill <= CROWDED ? 0 : FULL_MILLIS * (fill - CROWDED) / (1 - CROWDED);
      return perLayer * layers + fixed + crowding;
    }
  }
}
