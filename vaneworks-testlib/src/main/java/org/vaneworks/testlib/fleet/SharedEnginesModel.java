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
 * Callers, nodes and engines of a fleet in paused time; the same seed gives the same run.
 *
 * <p>A stream is planned by the node that its caller reached, with what that node knows, and then
 * meets the engines as they are: one that is short of memory rejects it, and one whose memory runs
 * out stops its newest stream. Left out are the time that nodes take, prompts read in pieces and
 * the pipes between data centres; so the model tells how well load is spread, not how long an
 * answer takes.
 */
public final class SharedEnginesModel {
  /** Streams that begin before this are not counted: nodes know nothing of each other yet. */
  private static final Duration WARM_UP = Duration.ofSeconds(4);

  /** Latest begin of a stream that is in time: its objective less reading its prompt. */
  private static final Duration IN_TIME = Duration.ofMillis(450);

  /** After that a stream without a place is refused. */
  private static final Duration GIVE_UP = Duration.ofMillis(1800);

  /** Between two tries to find a place. */
  private static final Duration RETRY = Duration.ofMillis(20);

  private static final Duration LOOK = Duration.ofMillis(50);
  private static final Duration ON_THE_WAY = Duration.ofMillis(1);

  /** Part of the reports that are lost. */
  private static final double LOSS = 0.005;

  private static final double HOP_MILLIS = 0.3;
  private static final double NANOS_PER_MILLI = 1e6;

  /** Prompt and answer tokens: a mean answer as the profile says, with a long tail. */
  private static final double ANSWER_SPREAD = 0.75;

  private static final double LONGEST_ANSWER = 3;

  private final PausedExecutor clock = PausedExecutor.create();
  private final FleetShape shape;
  private final ModelProfile model;
  private final Random random;
  private final Map<HostPort, ModelEngine> engines = new HashMap<>();
  private final Map<String, List<ModelEngine>> alike = new LinkedHashMap<>();
  private final Map<HostPort, ModelNode> nodes = new LinkedHashMap<>();
  private final List<Peer> peers = new ArrayList<>();
  private final Map<String, List<ModelNode>> byCentre = new LinkedHashMap<>();
  private final Map<Long, int[]> bySecond = new HashMap<>();
  private final long countFrom = WARM_UP.toNanos();
  private int streams;
  private int late;
  private int arrivals;
  private int rejected;
  private int preempted;
  private long reportBytes;
  private double spreadSum;
  private int spreadLooks;

  private SharedEnginesModel(FleetShape shape, ModelProfile model, long seed) {
    this.shape = shape;
    this.model = model;
    this.random = new Random(seed);
    ImmutableList<FleetEndpoint> listed = placed();
    addNodes(listed);
  }

  /** Runs a fleet for some time after a warm-up and returns what was seen. */
  public static FleetOutcome run(
      FleetShape shape, ModelProfile model, long seed, Duration duration) {
    SharedEnginesModel fleet = new SharedEnginesModel(shape, model, seed);
    fleet.start();
    fleet.clock.advance(WARM_UP.plus(duration));
    return fleet.outcome(WARM_UP.plus(duration));
  }

  private ImmutableList<FleetEndpoint> placed() {
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
            alike
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
        byCentre.computeIfAbsent(centre.name(), key -> new ArrayList<>()).add(node);
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
    if (random.nextDouble() >= LOSS) {
      clock.schedule(() -> nodes.get(peer).heard(report), ON_THE_WAY.toNanos(), NANOSECONDS);
    }
    return bytes;
  }

  private void start() {
    for (ModelNode node : nodes.values()) {
      // Processes don't start in step.
      long after = (long) (random.nextDouble() * 300 * NANOS_PER_MILLI);
      clock.schedule(node::start, after, NANOSECONDS);
    }
    for (FleetShape.DataCentre centre : shape.dataCentres()) {
      nextCaller(centre);
    }
    look();
  }

  private void nextCaller(FleetShape.DataCentre centre) {
    double seconds = -Math.log(1 - random.nextDouble()) / centre.streamsPerSecond();
    clock.schedule(
        () -> {
          nextCaller(centre);
          arrive(centre);
        },
        (long) (seconds * 1e9),
        NANOSECONDS);
  }

  private void arrive(FleetShape.DataCentre centre) {
    List<ModelNode> entries = byCentre.get(centre.name());
    ModelNode node = entries.get(random.nextInt(entries.size()));
    double drawn = Math.exp(ANSWER_SPREAD * random.nextGaussian() - ANSWER_SPREAD / 2);
    int answer = (int) Math.max(6, model.usualAnswer() * Math.min(LONGEST_ANSWER, drawn));
    if (counted()) {
      streams++;
      second()[0]++;
    }
    seekPlace(node, new RequestSize(model.usualPrompt(), answer), now());
  }

  private void seekPlace(ModelNode node, RequestSize size, long since) {
    // A node knows an estimate of the answer's length; the usual one here.
    RequestSize expected = new RequestSize(size.promptTokens(), model.usualAnswer());
    Optional<EnginePath> path = node.plan(expected);
    if (path.isPresent() && begin(node, path.get(), expected, size)) {
      if (now() - since > IN_TIME.toNanos()) {
        isLate(since);
      }
      return;
    }
    if (now() - since > GIVE_UP.toNanos()) {
      isLate(since);
      return;
    }
    clock.schedule(() -> seekPlace(node, size, since), RETRY.toNanos(), NANOSECONDS);
  }

  private boolean begin(ModelNode node, EnginePath path, RequestSize expected, RequestSize size) {
    if (counted()) {
      arrivals++;
    }
    for (PathPart part : path.parts()) {
      ModelEngine engine = engines.get(part.engine().address());
      if (!engine.hasRoom(now(), size.promptTokens(), part.layers().size())) {
        if (counted()) {
          rejected++;
        }
        node.noteFull(part.engine());
        return false;
      }
    }
    ModelStream stream = new ModelStream(size, path, now(), duration(path, size));
    path.reserve(expected.tokens());
    for (PathPart part : path.parts()) {
      engines.get(part.engine().address()).begin(stream, part.layers().size());
    }
    clock.schedule(() -> end(stream, expected), stream.nanos(), NANOSECONDS);
    return true;
  }

  private void end(ModelStream stream, RequestSize expected) {
    stream.path().release(expected.tokens());
    leaveEngines(stream);
  }

  private void leaveEngines(ModelStream stream) {
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

  private void look() {
    clock.schedule(this::look, LOOK.toNanos(), NANOSECONDS);
    for (ModelEngine engine : engines.values()) {
      engine.toPreempt(now()).ifPresent(this::preempt);
    }
    if (counted()) {
      spreadSum += spread();
      spreadLooks++;
    }
  }

  private void preempt(ModelStream stream) {
    leaveEngines(stream);
    if (counted()) {
      preempted++;
    }
    isLate(stream.beganAt());
  }

  private double spread() {
    double squares = 0;
    int count = 0;
    for (List<ModelEngine> group : alike.values()) {
      double mean = group.stream().mapToDouble(e -> e.fill(now())).average().orElse(0);
      for (ModelEngine engine : group) {
        double off = engine.fill(now()) - mean;
        squares += off * off;
        count++;
      }
    }
    return Math.sqrt(squares / count);
  }

  private void isLate(long since) {
    if (since >= countFrom) {
      late++;
      bySecond.computeIfAbsent(since / 1_000_000_000, key -> new int[2])[1]++;
    }
  }

  private int[] second() {
    return bySecond.computeIfAbsent(now() / 1_000_000_000, key -> new int[2]);
  }

  private boolean counted() {
    return now() >= countFrom;
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }

  private FleetOutcome outcome(Duration played) {
    double worst =
        bySecond.values().stream()
            .mapToDouble(each -> (double) each[1] / Math.max(1, each[0]))
            .max()
            .orElse(0);
    double seconds = NANOSECONDS.toMillis(played.toNanos()) / 1000.0;
    return new FleetOutcome(
        streams,
        late,
        arrivals,
        rejected,
        preempted,
        spreadSum / Math.max(1, spreadLooks),
        worst,
        reportBytes / seconds / nodes.size());
  }
}
