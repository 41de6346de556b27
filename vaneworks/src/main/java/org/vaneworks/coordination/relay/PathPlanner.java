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
import java.util.function.Predicate;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/**
 * Finds the path with the least expected time over the engines' layers.
 *
 * <p>The path is a shortest path whose states are pairs of layer boundary and data centre. A part
 * may begin and end anywhere inside the range that its engine holds, so ranges may overlap and a
 * path may change between replicas of the model. The cost of a part is the expected time of the
 * request's layers on the engine under the load of all nodes, as far as it is known, plus a penalty
 * if memory runs short. Each node has fixed preferences among equal engines, and a small random
 * factor applies to each decision, so that nodes with the same view do not choose the same engines.
 */
public final class PathPlanner {
  /**
   * Cost of a path that changes the data centre, as high as that of an engine with full memory. All
   * requests share the link between two data centres, and each token passes it. A data centre that
   * lacks capacity or layers sends whole requests to another data centre instead.
   */
  private static final double CROSSING_COST_MILLIS = 20_000;

  /**
   * Cost of a path that begins outside the node's data centre, because traffic between data centres
   * is charged for.
   */
  private static final double REMOTE_START_COST_MILLIS = 60;

  /** Time per token to reach an engine. */
  private static final double HOP_MILLIS = 0.3;

  /** Share of an engine's memory above which requests are likely to wait for memory. */
  private static final double CROWDED_SHARE = 0.7;

  /**
   * Maximum share of an engine's memory that its requests may need when they end. The limit is the
   * whole memory: few requests are near their end at the same time, which leaves capacity for
   * answers that are longer than expected and for requests of other nodes that are not known yet.
   * An engine that runs out of memory stops the newest request and reads it again later.
   */
  private static final double MAX_MEMORY_SHARE = 1.0;

  /** Cost of an engine whose memory is full, far above the time of any step. */
  private static final double FULL_MEMORY_COST_MILLIS = 20_000;

  /** Cost of an engine all of whose slots are taken. */
  private static final double NO_SLOT_COST_MILLIS = 20_000;

  private static final double NOISE_SHARE = 0.1;

  /**
   * Maximum share by which a node treats an engine as faster or slower than others of its kind,
   * always by the same amount. Each node thus concentrates its requests on fewer engines, so that
   * its own requests, whose load it knows best, make up more of the load of those engines.
   */
  private static final double PREFERENCE_SHARE = 0.3;

  private static final double MILLIS_PER_SECOND = 1000;

  private final Random random;
  private final HashFunction preferences;

  private PathPlanner(Random random) {
    this.random = checkNotNull(random);
    this.preferences = Hashing.murmur3_32_fixed(random.nextInt());
  }

  /** Returns a planner that uses the given random source. */
  public static PathPlanner create(Random random) {
    return new PathPlanner(random);
  }

  /**
   * The input of a path search.
   *
   * @param model the model that the engines run
   * @param size the request's size
   * @param dataCentre the node's data centre
   * @param nowNanos the current time
   * @param linkRoom whether the request may cross the links between data centres
   */
  public record Query(
      ModelProfile model, RequestSize size, String dataCentre, long nowNanos, LinkRoom linkRoom) {
    /** Creates a query whose path may cross all links. */
    public Query(ModelProfile model, RequestSize size, String dataCentre, long nowNanos) {
      this(model, size, dataCentre, nowNanos, (from, to) -> true);
    }
  }

  /** Decides whether a path may cross the link between two data centres. */
  @FunctionalInterface
  public interface LinkRoom {
    /** Returns whether the link has room for the request. */
    boolean mayCross(String from, String to);
  }

  private record Step(PathPart part, int state, double cost) {}

  /**
   * Returns the cheapest path over the engines, or empty if there is none, for example because they
   * do not hold every layer.
   */
  public Optional<EnginePath> plan(Query query, List<TrackedEndpoint> engines) {
    return plan(query, engines, engine -> true);
  }

  /**
   * Returns the cheapest path over the engines whose first engine is allowed, or empty if there is
   * none.
   */
  public Optional<EnginePath> plan(
      Query query, List<TrackedEndpoint> engines, Predicate<TrackedEndpoint> mayBeFirst) {
    return search(query, engines, Optional.empty(), mayBeFirst);
  }

  /** Returns the cheapest path that begins with the given part, or empty if there is none. */
  public Optional<EnginePath> replan(
      Query query, List<TrackedEndpoint> engines, PathPart firstPart) {
    ImmutableList<TrackedEndpoint> others =
        engines.stream()
            .filter(engine -> engine != firstPart.engine())
            .collect(ImmutableList.toImmutableList());
    return search(query, others, Optional.of(firstPart), engine -> true);
  }

  private Optional<EnginePath> search(
      Query query,
      List<TrackedEndpoint> engines,
      Optional<PathPart> firstPart,
      Predicate<TrackedEndpoint> mayBeFirst) {
    if (engines.isEmpty() && firstPart.isEmpty()) {
      return Optional.empty();
    }
    int layers = query.model().layers();
    int firstLayer = firstPart.map(part -> part.layers().to()).orElse(0);
    if (firstLayer == layers) {
      return firstPart.map(part -> EnginePath.of(layers, List.of(part)));
    }
    List<String> dataCentres = dataCentres(engines, firstPart);
    int[] boundaries = boundaries(engines, firstLayer, layers);
    Step[] best = new Step[boundaries.length * dataCentres.size()];
    double[] cost = new double[best.length];
    Arrays.fill(cost, Double.MAX_VALUE);
    for (int dataCentre = 0; dataCentre < dataCentres.size(); dataCentre++) {
      cost[dataCentre] = startCost(query, dataCentres.get(dataCentre), firstPart);
    }
    double[][] crossingCosts = crossingCosts(query, dataCentres);
    List<Candidate> candidates = candidates(query, engines, dataCentres);
    for (int index = 0; index < boundaries.length - 1; index++) {
      int layer = boundaries[index];
      for (Candidate candidate : candidates) {
        if (layer < candidate.heldFrom || layer >= candidate.heldTo) {
          continue;
        }
        if (index == 0 && !mayBeFirst.test(candidate.engine)) {
          continue;
        }
        int from = cheapestState(cost, index, candidate.dataCentre, crossingCosts);
        if (cost[from] == Double.MAX_VALUE) {
          continue;
        }
        double costBefore =
            cost[from] + crossingCosts[from % dataCentres.size()][candidate.dataCentre];
        for (int end = index + 1;
            end < boundaries.length && boundaries[end] <= candidate.heldTo;
            end++) {
          int state = end * dataCentres.size() + candidate.dataCentre;
          double total = costBefore + candidate.cost.of(boundaries[end] - layer);
          if (total < cost[state]) {
            cost[state] = total;
            PathPart part = new PathPart(candidate.engine, LayerRange.of(layer, boundaries[end]));
            best[state] = new Step(part, from, total);
          }
        }
      }
    }
    return backtrack(best, cost, dataCentres.size(), firstPart, layers);
  }

  private static List<String> dataCentres(
      List<TrackedEndpoint> engines, Optional<PathPart> firstPart) {
    TreeSet<String> names = new TreeSet<>();
    engines.forEach(engine -> names.add(engine.endpoint().dataCentre()));
    firstPart.ifPresent(part -> names.add(part.engine().endpoint().dataCentre()));
    return new ArrayList<>(names);
  }

  /** Returns the layer boundaries at which a part may begin or end, in ascending order. */
  private static int[] boundaries(List<TrackedEndpoint> engines, int firstLayer, int layers) {
    TreeSet<Integer> boundaries = new TreeSet<>();
    boundaries.add(firstLayer);
    boundaries.add(layers);
    for (TrackedEndpoint engine : engines) {
      engine
          .endpoint()
          .layers()
          .ifPresent(
              held -> {
                addInside(boundaries, held.from(), firstLayer, layers);
                addInside(boundaries, held.to(), firstLayer, layers);
              });
    }
    return boundaries.stream().mapToInt(Integer::intValue).toArray();
  }

  private static void addInside(
      TreeSet<Integer> boundaries, int layer, int firstLayer, int layers) {
    if (layer > firstLayer && layer < layers) {
      boundaries.add(layer);
    }
  }

  private static double startCost(Query query, String dataCentre, Optional<PathPart> firstPart) {
    String home =
        firstPart.map(part -> part.engine().endpoint().dataCentre()).orElse(query.dataCentre());
    if (home.equals(dataCentre)) {
      return 0;
    }
    return firstPart.isPresent() ? CROSSING_COST_MILLIS : REMOTE_START_COST_MILLIS;
  }

  /** Returns the costs of changing between data centres; infinite if a link has no room. */
  private static double[][] crossingCosts(Query query, List<String> dataCentres) {
    double[][] costs = new double[dataCentres.size()][dataCentres.size()];
    for (int from = 0; from < costs.length; from++) {
      for (int to = 0; to < costs.length; to++) {
        if (from < to) {
          boolean room = query.linkRoom().mayCross(dataCentres.get(from), dataCentres.get(to));
          costs[from][to] = room ? CROSSING_COST_MILLIS : Double.POSITIVE_INFINITY;
          costs[to][from] = costs[from][to];
        }
      }
    }
    return costs;
  }

  /**
   * Returns the state at a boundary from which an engine of the given data centre is reached at the
   * lowest cost.
   */
  private static int cheapestState(
      double[] cost, int index, int dataCentre, double[][] crossingCosts) {
    int dataCentreCount = crossingCosts.length;
    int first = index * dataCentreCount;
    int best = first + dataCentre;
    if (index == 0) {
      return best;
    }
    for (int state = first; state < first + dataCentreCount; state++) {
      double crossing = crossingCosts[state - first][dataCentre];
      if (cost[state] == Double.MAX_VALUE || Double.isInfinite(crossing)) {
        continue;
      }
      if (cost[best] == Double.MAX_VALUE
          || cost[state] + crossing < cost[best] + crossingCosts[best - first][dataCentre]) {
        best = state;
      }
    }
    return best;
  }

  private static Optional<EnginePath> backtrack(
      Step[] best, double[] cost, int dataCentreCount, Optional<PathPart> firstPart, int layers) {
    int state = best.length - dataCentreCount;
    for (int candidate = best.length - dataCentreCount; candidate < best.length; candidate++) {
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
    return Optional.of(EnginePath.of(layers, mergeParts(parts)));
  }

  /**
   * Merges the parts of an engine that occurs more than once: it runs all layers from its first
   * part to its last, since it holds them all.
   */
  private static List<PathPart> mergeParts(List<PathPart> parts) {
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
   * An engine with the values that the search needs at each boundary. They are looked up once,
   * since a fleet has dozens of engines and boundaries.
   */
  private static final class Candidate {
    private final TrackedEndpoint engine;
    private final int heldFrom;
    private final int heldTo;
    private final int dataCentre;
    private final EngineCost cost;

    Candidate(TrackedEndpoint engine, LayerRange held, int dataCentre, EngineCost cost) {
      this.engine = engine;
      this.heldFrom = held.from();
      this.heldTo = held.to();
      this.dataCentre = dataCentre;
      this.cost = cost;
    }
  }

  private List<Candidate> candidates(
      Query query, List<TrackedEndpoint> engines, List<String> dataCentres) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedEndpoint engine : engines) {
      Optional<AcceleratorProfile> accelerator =
          query.model().accelerator(engine.endpoint().accelerator());
      Optional<LayerRange> held = engine.endpoint().layers();
      if (accelerator.isPresent() && held.isPresent()) {
        int dataCentre = dataCentres.indexOf(engine.endpoint().dataCentre());
        EngineCost cost = cost(query, engine, accelerator.get());
        candidates.add(new Candidate(engine, held.get(), dataCentre, cost));
      }
    }
    return candidates;
  }

  private EngineCost cost(Query query, TrackedEndpoint engine, AcceleratorProfile accelerator) {
    ModelProfile model = query.model();
    RequestSize size = query.size();
    double shortage = engine.shortage(query.nowNanos());
    double streams = engine.totalRequests() * shortage;
    int held = engine.endpoint().layers().get().size();
    double used = engine.totalTokenLayers() * shortage;
    double contextTokens = used / held;
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
        1
            + NOISE_SHARE * (random.nextDouble() - 0.5) * 2
            + PREFERENCE_SHARE * preference(engine.endpoint());
    double fixed = HOP_MILLIS * size.answerTokens();
    if (streams >= engine.endpoint().slots()) {
      fixed += NO_SLOT_COST_MILLIS;
    }
    return new EngineCost(
        perLayer * noise,
        fixed * noise,
        model.tokenLayerCapacity(accelerator, held),
        used,
        size.tokens());
  }

  /**
   * Returns this node's preference for the engine, from -1 (treated as fastest) to 1 (treated as
   * slowest).
   */
  private double preference(FleetEndpoint engine) {
    int hash = preferences.hashInt(engine.id().hashCode()).asInt();
    return (double) hash / Integer.MAX_VALUE;
  }

  /** The cost of a part on one engine as a function of its number of layers. */
  private record EngineCost(
      double perLayer, double fixed, double capacity, double used, double tokens) {
    double of(int layers) {
      double fill = capacity <= 0 ? 1 : (used + tokens * layers) / capacity;
      // An empty engine accepts any request that fits. An engine whose configured memory is too
      // small for its own layers refuses requests itself.
      if (capacity > 0 && fill > (used > 0 ? MAX_MEMORY_SHARE : 1)) {
        return Double.MAX_VALUE;
      }
      double crowding =
          fill <= CROWDED_SHARE
              ? 0
              : FULL_MEMORY_COST_MILLIS * (fill - CROWDED_SHARE) / (1 - CROWDED_SHARE);
      return perLayer * layers + fixed + crowding;
    }
  }
}
