package org.vaneworks.testlib.fleet;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.placement.EngineSnapshot;
import org.vaneworks.coordination.placement.PlacementPlanner;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.PathPart;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Simulates the callers, nodes and engines of a fleet on a paused clock. Runs with the same seed
 * are identical.
 *
 * <p>The node that a caller connects to plans the path of a stream from its own, possibly outdated,
 * view of the fleet. The engines then act on their actual state: an engine without enough memory
 * rejects the stream, and an engine whose memory runs out preempts its newest stream.
 *
 * <p>The simulation does not model processing time on nodes, chunked prefill or the bandwidth
 * between data centres. It shows how evenly load is distributed, but not how long answers take.
 */
public final class SharedEnginesModel {
  /**
   * Streams that start within the warm-up are not counted, because nodes have no load reports from
   * each other yet.
   */
  private static final Duration WARM_UP = Duration.ofSeconds(4);

  /** A stream is late if it waits longer: the first-token objective minus the prefill time. */
  private static final Duration MAX_START_DELAY = Duration.ofMillis(450);

  /** How long a stream waits for a path before it is refused. */
  private static final Duration PLANNING_TIMEOUT = Duration.ofMillis(1800);

  /** Delay between two attempts to plan a path. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(20);

  private static final Duration SAMPLING_INTERVAL = Duration.ofMillis(50);
  private static final Duration REPORT_LATENCY = Duration.ofMillis(1);

  /** Share of load reports that are lost. */
  private static final double REPORT_LOSS = 0.005;

  private static final double HOP_MILLIS = 0.3;
  private static final double NANOS_PER_MILLI = 1e6;

  /** Spread of the log-normal answer lengths, which have a long tail around the usual length. */
  private static final double ANSWER_LENGTH_SIGMA = 0.75;

  /** Longest answer, as a multiple of the model's usual answer. */
  private static final double MAX_ANSWER_FACTOR = 3;

  private final PausedExecutor clock = PausedExecutor.create();
  private final FleetShape shape;
  private final ModelProfile model;
  private final Random random;
  private final Map<HostPort, ModelEngine> engines = new HashMap<>();
  private final Map<String, List<ModelEngine>> enginesByKind = new LinkedHashMap<>();
  private final Map<HostPort, ModelNode> nodes = new LinkedHashMap<>();
  private final List<Peer> peers = new ArrayList<>();
  private final Map<String, List<ModelNode>> nodesByDataCentre = new LinkedHashMap<>();
  private final Map<Long, int[]> startedAndLateBySecond = new HashMap<>();
  private final long measurementStart = WARM_UP.toNanos();
  private int streams;
  private int late;
  private int arrivals;
  private int rejected;
  private int preempted;
  private long reportBytes;
  private double spreadSum;
  private int spreadSamples;

  private SharedEnginesModel(FleetShape shape, ModelProfile model, long seed) {
    this.shape = shape;
    this.model = model;
    this.random = new Random(seed);
    ImmutableList<FleetEndpoint> listed = placeEngines();
    addNodes(listed);
  }

  /** Simulates a fleet for a duration after the warm-up and returns the results. */
  public static FleetOutcome run(
      FleetShape shape, ModelProfile model, long seed, Duration duration) {
    SharedEnginesModel fleet = new SharedEnginesModel(shape, model, seed);
    fleet.start();
    fleet.clock.advance(WARM_UP.plus(duration));
    return fleet.outcome(WARM_UP.plus(duration));
  }

  private ImmutableList<FleetEndpoint> placeEngines() {
    List<EngineSnapshot> holdings = new ArrayList<>();
    for (FleetShape.DataCentre centre : shape.dataCentres()) {
      centre
          .engines()
          .forEach(
              (kind, count) -> {
                AcceleratorProfile accelerator = model.accelerator(kind).orElseThrow();
                for (int i = 0; i < count; i++) {
                  String id = centre.name() + "-" + kind + "-" + i;
                  holdings.add(
                      new EngineSnapshot(id, centre.name(), accelerator, Optional.empty(), true));
                }
              });
    }
    ImmutableMap<String, LayerRange> plan = PlacementPlanner.of(model).plan(holdings, id -> 0);
    ImmutableList.Builder<FleetEndpoint> listed = ImmutableList.builder();
    for (EngineSnapshot holding : holdings) {
      Optional<LayerRange> layers = Optional.ofNullable(plan.get(holding.id()));
      HostPort address = new HostPort("10.200.0.1", 1000 + engines.size());
      String kind = holding.accelerator().name();
      layers.ifPresent(
          held -> {
            ModelEngine engine = new ModelEngine(model, holding.accelerator(), held);
            engines.put(address, engine);
            enginesByKind
                .computeIfAbsent(holding.dataCentre() + kind, key -> new ArrayList<>())
                .add(engine);
            listed.add(
                new FleetEndpoint(
                    holding.id(),
                    ModelNode.SERVICE,
                    address,
                    holding.dataCentre(),
                    model.slots(),
                    false,
                    layers,
                    kind,
                    StorePosition.START));
          });
    }
    return listed.build();
  }

  private void addNodes(ImmutableList<FleetEndpoint> listed) {
    for (FleetShape.DataCentre centre : shape.dataCentres()) {
      for (int i = 0; i < centre.nodes(); i++) {
        HostPort address = new HostPort("10.1.0.1", 1000 + nodes.size());
        String box = "box-" + centre.name() + "-" + i;
        peers.add(new Peer(box, centre.name(), address));
        ModelNode node =
            new ModelNode(
                box,
                centre.name(),
                clock,
                model,
                listed,
                () -> peersOf(address),
                shape.nodes(),
                this::send,
                new Random(random.nextLong()));
        nodes.put(address, node);
        nodesByDataCentre.computeIfAbsent(centre.name(), key -> new ArrayList<>()).add(node);
      }
    }
  }

  private ImmutableList<Peer> peersOf(HostPort own) {
    return peers.stream()
        .filter(peer -> !peer.address().equals(own))
        .collect(ImmutableList.toImmutableList());
  }

  private int send(HostPort peer, LoadReport report) {
    int bytes = LoadCodec.encode(report).length;
    reportBytes += bytes;
    if (random.nextDouble() >= REPORT_LOSS) {
      clock.schedule(() -> nodes.get(peer).receive(report), REPORT_LATENCY.toNanos(), NANOSECONDS);
    }
    return bytes;
  }

  private void start() {
    for (ModelNode node : nodes.values()) {
      // Nodes start at different times so that their timers are not synchronized.
      long after = (long) (random.nextDouble() * 300 * NANOS_PER_MILLI);
      clock.schedule(node::start, after, NANOSECONDS);
    }
    for (FleetShape.DataCentre centre : shape.dataCentres()) {
      scheduleArrival(centre);
    }
    sample();
  }

  private void scheduleArrival(FleetShape.DataCentre centre) {
    double seconds = -Math.log(1 - random.nextDouble()) / centre.streamsPerSecond();
    clock.schedule(
        () -> {
          scheduleArrival(centre);
          arrive(centre);
        },
        (long) (seconds * 1e9),
        NANOSECONDS);
  }

  private void arrive(FleetShape.DataCentre centre) {
    List<ModelNode> localNodes = nodesByDataCentre.get(centre.name());
    ModelNode node = localNodes.get(random.nextInt(localNodes.size()));
    double lengthFactor =
        Math.exp(ANSWER_LENGTH_SIGMA * random.nextGaussian() - ANSWER_LENGTH_SIGMA / 2);
    int answer = (int) Math.max(6, model.usualAnswer() * Math.min(MAX_ANSWER_FACTOR, lengthFactor));
    if (isMeasuring()) {
      streams++;
      currentSecond()[0]++;
    }
    tryStart(node, new RequestSize(model.usualPrompt(), answer), now());
  }

  private void tryStart(ModelNode node, RequestSize size, long arrivedAt) {
    // A node does not know the answer's length in advance and plans with the model's usual one.
    RequestSize expected = new RequestSize(size.promptTokens(), model.usualAnswer());
    Optional<EnginePath> path = node.plan(expected);
    if (path.isPresent() && start(node, path.get(), expected, size)) {
      if (now() - arrivedAt > MAX_START_DELAY.toNanos()) {
        recordLate(arrivedAt);
      }
      return;
    }
    if (now() - arrivedAt > PLANNING_TIMEOUT.toNanos()) {
      recordLate(arrivedAt);
      return;
    }
    clock.schedule(() -> tryStart(node, size, arrivedAt), RETRY_INTERVAL.toNanos(), NANOSECONDS);
  }

  private boolean start(ModelNode node, EnginePath path, RequestSize expected, RequestSize size) {
    if (isMeasuring()) {
      arrivals++;
    }
    for (PathPart part : path.parts()) {
      ModelEngine engine = engines.get(part.engine().address());
      if (!engine.hasCapacity(now(), size.promptTokens(), part.layers().size())) {
        if (isMeasuring()) {
          rejected++;
        }
        node.recordRejection(part.engine());
        return false;
      }
    }
    ModelStream stream = new ModelStream(size, path, now(), duration(path, size));
    path.reserve(expected.tokens());
    for (PathPart part : path.parts()) {
      engines.get(part.engine().address()).start(stream, part.layers().size());
    }
    clock.schedule(() -> end(stream, expected), stream.durationNanos(), NANOSECONDS);
    return true;
  }

  private void end(ModelStream stream, RequestSize expected) {
    stream.path().release(expected.tokens());
    removeFromEngines(stream);
  }

  private void removeFromEngines(ModelStream stream) {
    for (PathPart part : stream.path().parts()) {
      engines.get(part.engine().address()).end(stream, part.layers().size());
    }
  }

  private long duration(EnginePath path, RequestSize size) {
    double tokenMillis = 0;
    double readMillis = 0;
    for (PathPart part : path.parts()) {
      ModelEngine engine = engines.get(part.engine().address());
      double share = (double) part.layers().size() / model.layers();
      double contextTokens = engine.usedTokenLayers(now()) / part.layers().size();
      tokenMillis +=
          HOP_MILLIS
              + share
                  * engine.accelerator().stepFactor()
                  * (model.stepMillis()
                      + engine.running() * model.perSequenceMillis()
                      + contextTokens / 1000 * model.perThousandContextMillis());
      readMillis +=
          share
              * engine.accelerator().readFactor()
              * size.promptTokens()
              * 1000
              / model.readTokensPerSecond();
    }
    return (long) ((tokenMillis * size.answerTokens() + readMillis) * NANOS_PER_MILLI);
  }

  private void sample() {
    clock.schedule(this::sample, SAMPLING_INTERVAL.toNanos(), NANOSECONDS);
    for (ModelEngine engine : engines.values()) {
      engine.preemptionCandidate(now()).ifPresent(this::preempt);
    }
    if (isMeasuring()) {
      spreadSum += spread();
      spreadSamples++;
    }
  }

  private void preempt(ModelStream stream) {
    removeFromEngines(stream);
    if (isMeasuring()) {
      preempted++;
    }
    recordLate(stream.startedAt());
  }

  private double spread() {
    double squares = 0;
    int count = 0;
    for (List<ModelEngine> group : enginesByKind.values()) {
      double mean =
          group.stream().mapToDouble(engine -> engine.utilization(now())).average().orElse(0);
      for (ModelEngine engine : group) {
        double deviation = engine.utilization(now()) - mean;
        squares += deviation * deviation;
        count++;
      }
    }
    return Math.sqrt(squares / count);
  }

  private void recordLate(long arrivedAt) {
    if (arrivedAt >= measurementStart) {
      late++;
      startedAndLateBySecond.computeIfAbsent(arrivedAt / 1_000_000_000, key -> new int[2])[1]++;
    }
  }

  private int[] currentSecond() {
    return startedAndLateBySecond.computeIfAbsent(now() / 1_000_000_000, key -> new int[2]);
  }

  private boolean isMeasuring() {
    return now() >= measurementStart;
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }

  private FleetOutcome outcome(Duration elapsed) {
    double worst =
        startedAndLateBySecond.values().stream()
            .mapToDouble(counts -> (double) counts[1] / Math.max(1, counts[0]))
            .max()
            .orElse(0);
    double seconds = NANOSECONDS.toMillis(elapsed.toNanos()) / 1000.0;
    return new FleetOutcome(
        streams,
        late,
        arrivals,
        rejected,
        preempted,
        spreadSum / Math.max(1, spreadSamples),
        worst,
        reportBytes / seconds / nodes.size());
  }
}
