package org.vaneworks.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthWatch;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.NobodyListensException;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TurnedAwayException;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.EndpointCalls;
import org.vaneworks.coordination.forwarding.Forwarder;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.load.LoadExchange;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.StartShares;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.PrefixRouter;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.EndpointStatement;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.StatedBackoff;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.state.entry.WeightedService;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.forwarding.Got;
import org.vaneworks.tests.forwarding.Head;
import org.vaneworks.tests.placement.Models;
import org.vaneworks.tests.shared.BoxTime;
import org.vaneworks.tests.shared.StoreInMemory;
import org.vaneworks.tests.shared.StoreLink;

/**
 * Nodes before the same engines and the same store, under a paused clock.
 *
 * <p>An engine ends 60 ms after it began a request whose body is {@link #CRASHING}, with all that
 * it runs; another takes its place three seconds later, under a new id. Every engine holds all
 * layers.
 */
final class SharedEngines {
  static final String CRASHING = "crashing";

  private static final String SERVICE = "writer";
  private static final String ENTRIES = "servers/";
  private static final String QUARANTINE = "quarantine/";
  private static final String KEY = "secret";
  private static final int LAYERS = 80;
  private static final int PEER_PORT = 7000;
  private static final int EVENTS = 20;

  /** From arrival until an engine begins a request, and between its events. */
  private static final int BEGINS_AFTER_MILLIS = 40;

  private static final int STEP_MILLIS = 20;
  private static final int ENDS_AFTER_MILLIS = 60;
  private static final int BACK_AFTER_MILLIS = 3000;
  private static final int RELISTED_AFTER_MILLIS = 800;

  final PausedExecutor clock = PausedExecutor.create();
  final StoreInMemory store = new StoreInMemory(clock);
  private final Map<HostPort, Engine> engines = new LinkedHashMap<>();
  private final List<Node> nodes = new ArrayList<>();

  /** Of all nodes together. */
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

  private final List<Arrival> crashingArrivals = new ArrayList<>();
  private final List<Long> ends = new ArrayList<>();
  private final long seed;
  private final int dataCentres;

  /** Whether no node hears of another. */
  boolean reportsAreLost;

  private int started;
  private int runs;
  private int asked;

  SharedEngines(int nodes, int engines, long seed) {
    this(nodes, engines, 1, seed);
  }

  /** Makes nodes and engines that stand in the data centres in turn. */
  SharedEngines(int nodes, int engines, int dataCentres, long seed) {
    this.seed = seed;
    this.dataCentres = dataCentres;
    for (int i = 0; i < engines; i++) {
      startEngine();
    }
    for (int i = 0; i < nodes; i++) {
      this.nodes.add(new Node(i));
    }
    advance(1000);
  }

  /** One run of an engine. */
  private final class Engine {
    private final FleetEndpoint endpoint;
    private final Set<Running> running = new LinkedHashSet<>();
    private final EngineArrivals arrivals = new EngineArrivals();
    private final EngineBackoffs backoffs = new EngineBackoffs();
    private OptionalInt turnsAwayForMillis = OptionalInt.empty();
    private long standsStillUntil;
    private final EngineDrain drain = new EngineDrain();
    private boolean ended;
    private boolean replaced;

    Engine(int number) {
      endpoint =
          new FleetEndpoint(
              "e" + number,
              SERVICE,
              new HostPort("10.0.0.1", number),
              dataCentre(number),
              134,
              false,
              Optional.of(LayerRange.of(0, LAYERS)),
              "large",
              StorePosition.START);
    }

    void take(Running request) {
      if (ended) {
        request.listener.failed(true, refused());
        return;
      }
      backoffs.called(request.node, nowMillis());
      drain.arrived(request.node, nowMillis());
      if (turnsAwayForMillis.isPresent()) {
        request.listener.head(turnedAway(request.node, request.isHeard()));
        return;
      }
      if (request.crashes()) {
        crashingArrivals.add(new Arrival(request.node, nowMillis()));
      }
      arrivals.arrived(request.node, nowMillis());
      running.add(request);
      later(BEGINS_AFTER_MILLIS, () -> begin(request));
    }

    private Head turnedAway(int node, boolean heard) {
      StatedBackoff stated = StatedBackoff.none();
      if (turnsAwayForMillis.getAsInt() > 0) {
        if (heard) {
          backoffs.asked(node, nowMillis(), turnsAwayForMillis.getAsInt());
        }
        stated = StatedBackoff.of(Duration.ofMillis(turnsAwayForMillis.getAsInt()));
      }
      return Head.turnedAway(answer(node, heard).withBackoff(stated));
    }

    /** Returns what the engine says of itself on each answer to a node, beside a backoff. */
    private EndpointStatement answer(int node, boolean heard) {
      EndpointStatement said = EndpointStatement.NONE.withLimit(arrivals.limit());
      if (!drain.isLeaving()) {
        return said;
      }
      if (heard) {
        drain.answered(node, nowMillis());
      }
      return said.thatLeaves();
    }

    private void begin(Running request) {
      if (!running.contains(request)) {
        return;
      }
      request.listener.head(Head.of(200, answer(request.node, request.isHeard())));
      arrivals.answered(request.node, nowMillis());
      if (request.crashes()) {
        later(ENDS_AFTER_MILLIS, this::end);
      }
      event(request, 1);
    }

    private void event(Running request, int number) {
      if (!running.contains(request)) {
        return;
      }
      if (nowMillis() < standsStillUntil) {
        later((int) (standsStillUntil - nowMillis()), () -> event(request, number));
        return;
      }
      request.listener.data(("id: " + number + "\ndata: x\n\n").getBytes(UTF_8));
      if (number < EVENTS) {
        later(STEP_MILLIS, () -> event(request, number + 1));
      } else {
        running.remove(request);
        request.listener.end();
      }
    }

    private void end() {
      if (ended) {
        return;
      }
      ended = true;
      ends.add(nowMillis());
      List<Running> lost = List.copyOf(running);
      running.clear();
      lost.forEach(
          request -> later(1, () -> request.listener.failed(false, new ClosedChannelException())));
      later(
          BACK_AFTER_MILLIS,
          () -> {
            store.remove(ENTRIES + endpoint.id());
            replaced = true;
            startEngine();
          });
    }
  }

  /** A crashing request reached an engine from a node. */
  record Arrival(int node, long atMillis) {}

  /** A request at an engine. */
  private final class Running implements EndpointCalls.EndpointCall {
    private final int node;
    private final Node run;
    private final Attempt attempt;
    private final EndpointCalls.Listener listener;

    Running(int node, Node run, Attempt attempt, EndpointCalls.Listener listener) {
      this.node = node;
      this.run = run;
      this.attempt = attempt;
      this.listener = listener;
    }

    /** Returns whether the run of the node that sent it goes on, so that it hears the answer. */
    boolean isHeard() {
      return nodes.get(node) == run;
    }

    boolean crashes() {
      return ((Asked) attempt.request()).body().equals(CRASHING);
    }

    @Override
    public boolean mayHaveArrived() {
      return true;
    }

    @Override
    public void cancel() {
      engines.values().forEach(engine -> engine.running.remove(this));
    }

    @Override
    public void discard() {}

    @Override
    public void pause() {}

    @Override
    public void resume() {}
  }

  /** A caller's request; each repeat has an id of its own. */
  private record Asked(String id, String body) implements CallerRequest {
    @Override
    public String host() {
      return "host.example";
    }

    @Override
    public String path() {
      return "/letters/";
    }

    @Override
    public Optional<String> key() {
      return Optional.of(KEY);
    }

    @Override
    public Optional<Duration> patience() {
      return Optional.of(Duration.ofSeconds(20));
    }

    @Override
    public Optional<RequestSize> size() {
      return Optional.of(new RequestSize(800, 200));
    }

    @Override
    public RequestContent content(Optional<String> workspace) {
      return RequestContent.of(workspace, "POST", host(), path(), body.getBytes(UTF_8));
    }
  }

  /** One node. */
  private final class Node implements EngineControl {
    private final StoreLink link = new StoreLink(clock, store);
    private final BoxTime time = new BoxTime(clock);
    private final Forwarder forwarder;
    private final LoadExchange exchange;
    private final int place;
    private BiConsumer<FleetEndpoint, EndpointStatement> statements = (engine, said) -> {};

    /** Makes another run of the node at a place. */
    Node(int place) {
      this.place = place;
      int number = runs++;
      Random random = new Random(seed + number);
      Counters counters = Counters.in(meters);
      Fleet fleet = Fleet.create(clock, counters, EntryNode.RELIST_GRACE);
      onStatement(fleet.statements()::answeredCall);
      exchange =
          LoadExchange.create(
              clock,
              fleet,
              boxAt(place),
              dataCentre(place),
              () -> peersOf(place),
              nodes::size,
              () -> CONFIGURATION.version(),
              this::tell);
      StartShares.keep(clock, random, fleet, boxAt(place), dataCentre(place), () -> peersOf(place));
      SharedQuarantine quarantine =
          SharedQuarantine.create(clock, random, link, QUARANTINE, "n" + number, fleet, counters);
      PrefixFollower follower =
          PrefixFollower.create(
              clock,
              random,
              link,
              counters,
              "",
              () -> Duration.ofMillis(1250),
              () -> Duration.ofMillis(500),
              PrefixRouter.of(
                  ImmutableMap.of(
                      ENTRIES,
                      new EndpointListWatch(ENTRIES, SharedEngines.this::listed, fleet, counters),
                      QUARANTINE,
                      quarantine)),
              time.watch());
      forwarder =
          Forwarder.create(
              clock,
              random,
              fleet,
              HealthWatch.create(clock, fleet, this),
              this,
              (attempt, listener) -> send(place, this, attempt, listener),
              quarantine,
              new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100),
              () -> Optional.of(CONFIGURATION),
              follower::isConfirmedWithin,
              nodes::size,
              dataCentre(place),
              counters);
      follower.start();
      exchange.start();
    }

    private int tell(HostPort peer, LoadReport report) {
      byte[] bytes = LoadCodec.encode(report);
      if (reportsAreLost) {
        return bytes.length;
      }
      later(1, () -> nodes.get(peer.port() - PEER_PORT).exchange.heard(LoadCodec.decode(bytes)));
      return bytes.length;
    }

    @Override
    public void onStatement(BiConsumer<FleetEndpoint, EndpointStatement> listener) {
      statements = listener;
    }

    /** Notes that a question or an order reaches an engine; returns whether it turns it away. */
    private boolean isTurnedAway(FleetEndpoint endpoint) {
      if (nodes.get(place) != this) { // What a run that has ended still asks goes nowhere.
        return true;
      }
      Engine engine = engines.get(endpoint.address());
      engine.backoffs.called(place, nowMillis());
      boolean turnedAway = engine.turnsAwayForMillis.isPresent();
      EndpointStatement said =
          turnedAway ? engine.turnedAway(place, true).statement() : engine.answer(place, true);
      statements.accept(endpoint, said);
      return turnedAway;
    }

    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit) {
      if (engines.get(engine.address()).ended) {
        return CompletableFuture.failedFuture(refused());
      }
      if (isTurnedAway(engine)) {
        return CompletableFuture.failedFuture(new TurnedAwayException());
      }
      return CompletableFuture.completedFuture(
          new EngineReport(1, false, engine.layers(), 1, ImmutableMap.of(), Incarnation.UNTOLD));
    }

    @Override
    public CompletableFuture<OrderOutcome> hold(
        FleetEndpoint engine, LayerRange layers, OrderGuard guard) {
      boolean taken = !isTurnedAway(engine);
      return CompletableFuture.completedFuture(
          taken ? OrderOutcome.ACCEPTED : OrderOutcome.REFUSED);
    }

    @Override
    public CompletableFuture<RepathOutcome> repath(
        FleetEndpoint first, String requestId, String path) {
      boolean taken = !isTurnedAway(first);
      RepathOutcome.Kind kind =
          taken ? RepathOutcome.Kind.UNKNOWN_REQUEST : RepathOutcome.Kind.REFUSED;
      return CompletableFuture.completedFuture(new RepathOutcome(kind, Optional.empty()));
    }
  }

  private static final EntryConfiguration CONFIGURATION =
      EntryConfiguration.of(
          3,
          List.of(
              new EntryRoute(
                  "letters",
                  "host.example",
                  "/letters/",
                  CallKind.RESUMABLE_STREAM,
                  Duration.ofSeconds(20),
                  Duration.ofMillis(500),
                  Duration.ofMillis(200),
                  0,
                  ImmutableList.of(new WeightedService(SERVICE, 1)),
                  2,
                  false)),
          List.of(new ServiceProfile(SERVICE, 1000, Optional.of(Models.eightyLayers()))),
          Map.of(KEY, new Caller("scheme", OptionalInt.empty())),
          new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));

  private static String boxAt(int place) {
    return "box-" + place;
  }

  private String dataCentre(int place) {
    return "dc" + (1 + place % dataCentres);
  }

  /** Returns the other nodes, as each would find them in the store. */
  private ImmutableList<Peer> peersOf(int place) {
    return IntStream.range(0, nodes.size())
        .filter(other -> other != place)
        .mapToObj(
            other ->
                new Peer(
                    boxAt(other), dataCentre(other), new HostPort("127.0.0.1", PEER_PORT + other)))
        .collect(ImmutableList.toImmutableList());
  }

  private static NobodyListensException refused() {
    return new NobodyListensException(new ConnectException("Connection refused"));
  }

  private void startEngine() {
    Engine engine = new Engine(++started);
    engines.put(engine.endpoint.address(), engine);
    store.put(ENTRIES + engine.endpoint.id(), engine.endpoint.address().toString());
  }

  private FleetEndpoint listed(StoredItem item) {
    return engines.get(HostPort.parse(item.value())).endpoint;
  }

  private EndpointCalls.EndpointCall send(
      int place, Node run, Attempt attempt, EndpointCalls.Listener listener) {
    Running request = new Running(place, run, attempt, listener);
    Engine engine = engines.get(attempt.endpoint().address());
    if (nodes.get(place) == run) { // What a run that has ended still sends goes nowhere.
      later(1, () -> engine.take(request));
    }
    return request;
  }

  /** Asks a node. */
  Got ask(int node, String body) {
    Got got = new Got();
    nodes.get(node % nodes.size()).forwarder.take(new Asked("q" + asked++, body), got);
    return got;
  }

  /** Starts another run of a node, which knows nothing of before. */
  void restartNode(int node) {
    nodes.get(node).exchange.stop();
    nodes.set(node, new Node(node));
    for (Engine engine : engines.values()) {
      engine.arrivals.nodeStarted(node);
      engine.backoffs.nodeStarted(node, nowMillis());
      engine.drain.nodeStarted(node);
    }
  }

  /** The store is as it was when it was copied; engines list themselves again a moment later. */
  void storeComesBack() {
    store.comeBackFromCopy();
    later(RELISTED_AFTER_MILLIS, this::listEngines);
  }

  private void listEngines() {
    for (Engine engine : engines.values()) {
      String key = ENTRIES + engine.endpoint.id();
      if (engine.replaced && store.has(key)) {
        store.remove(key);
      } else if (!engine.replaced && !store.has(key)) {
        store.put(key, engine.endpoint.address().toString());
      }
    }
  }

  /** Suspends a node's box for a time, or steps its time of day; both look alike to it. */
  void timeOfDayMoves(int node, int millis) {
    nodes.get(node).time.step(millis);
  }

  /** Cuts a node off from the store, or opens its way again. */
  void cutFromStore(int node, boolean cut) {
    nodes.get(node).link.cut(cut);
  }

  /**
   * An engine turns all calls away from now on, as full.
   *
   * @param backoffMillis for how long it wants no more of that node; 0 if it names no time
   */
  void turnsAway(int place, int backoffMillis) {
    engineAt(place).turnsAwayForMillis = OptionalInt.of(backoffMillis);
  }

  /** An engine takes calls again. */
  void takesAgain(int place) {
    engineAt(place).turnsAwayForMillis = OptionalInt.empty();
  }

  /**
   * An engine says in its answers that it leaves, but not in its entry, and ends some time later.
   */
  void leaves(int place, int endsAfterMillis) {
    Engine engine = engineAt(place);
    engine.drain.leaves();
    later(endsAfterMillis, engine::end);
  }

  /** Returns the requests that reached an engine from nodes that it had told that it leaves. */
  int arrivalsAfterLeaving(int place) {
    return engineAt(place).drain.late();
  }

  /** What runs at an engine makes no progress for a time. */
  void standsStill(int place, int millis) {
    engineAt(place).standsStillUntil = nowMillis() + millis;
  }

  /** An engine's entry lapses, and is written again a moment later. */
  void listsItselfAgain(int place, int afterMillis) {
    FleetEndpoint endpoint = engineAt(place).endpoint;
    store.remove(ENTRIES + endpoint.id());
    later(afterMillis, () -> store.put(ENTRIES + endpoint.id(), endpoint.address().toString()));
  }

  /** Returns the calls of all nodes to engines that had asked for none, by purpose. */
  ImmutableMap<String, Integer> callsDuringBackoffs() {
    return meters.find(Metric.BACKOFF_CALLS.meter()).counters().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                counter -> counter.getId().getTag("reason"), counter -> (int) counter.count()));
  }

  /** Returns the calls that reached the engine that was started at that place. */
  EngineBackoffs backoffsAt(int place) {
    return engineAt(place).backoffs;
  }

  private Engine engineAt(int place) {
    return ImmutableList.copyOf(engines.values()).get(place);
  }

  /** Returns what reached the engine that was started at that place. */
  EngineArrivals arrivalsAt(int place) {
    return engineAt(place).arrivals;
  }

  /** Returns when engines ended, in milliseconds. */
  ImmutableList<Long> ends() {
    return ImmutableList.copyOf(ends);
  }

  /** Returns how often crashing requests reached an engine from that time on. */
  long crashingArrivalsFrom(long millis) {
    return crashingArrivals.stream().filter(arrival -> arrival.atMillis() >= millis).count();
  }

  /** Returns all arrivals of crashing requests at engines. */
  ImmutableList<Arrival> crashingArrivals() {
    return ImmutableList.copyOf(crashingArrivals);
  }

  long nowMillis() {
    return clock.currentTime(TimeUnit.MILLISECONDS);
  }

  void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private void later(int millis, Runnable work) {
    clock.schedule(work, millis, TimeUnit.MILLISECONDS);
  }
}
