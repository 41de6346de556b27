package org.vaneworks.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.fleet.BackoffRequestedException;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.CallerResponse;
import org.vaneworks.coordination.forwarding.EndpointTransport;
import org.vaneworks.coordination.forwarding.Forwarder;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.load.LoadExchange;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.RateLimitShares;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.PrefixRouter;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestedBackoff;
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
import org.vaneworks.tests.forwarding.FakeResponseHead;
import org.vaneworks.tests.forwarding.RecordedResponse;
import org.vaneworks.tests.placement.Models;
import org.vaneworks.tests.shared.BoxClock;
import org.vaneworks.tests.shared.InMemorySharedStore;
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

  static final String SERVICE = "writer";
  static final String REPLICATED = "records";
  static final String KEY = "secret";

  private static final String ENTRIES = "servers/";
  private static final String QUARANTINE = "quarantine/";
  private static final int LAYERS = 80;
  private static final int PEER_PORT = 7000;
  static final int EVENTS = 20;

  /** From arrival until an engine begins a request, and between its events. */
  private static final int BEGINS_AFTER_MILLIS = 40;

  private static final int STEP_MILLIS = 20;
  private static final int ENDS_AFTER_MILLIS = 60;
  private static final int BACK_AFTER_MILLIS = 3000;
  private static final int RELISTED_AFTER_MILLIS = 800;
  private static final int ON_THE_WAY_MILLIS = 1;
  private static final Duration REPATH_LIMIT = Duration.ofMillis(100);
  private static final int BLOCKED_LOOK_MILLIS = 20;
  private static final int FAILURE = 500;
  private static final int MISDIRECTED = 421;
  private static final int LOADS_AFTER_MILLIS = 1500;
  private static final long FIRST_START_MILLIS = 1000;
  private static final long FOR_GOOD = Long.MAX_VALUE;

  final PausedExecutor clock = PausedExecutor.create();
  final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final Map<HostPort, Engine> engines = new LinkedHashMap<>();
  private final List<Node> nodes = new ArrayList<>();

  /** Of all nodes together. */
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

  private final List<Arrival> crashingArrivals = new ArrayList<>();
  private final List<Long> ends = new ArrayList<>();
  private final Map<String, List<SendRecord>> sends = new HashMap<>();
  private final long seed;
  private final int dataCentres;

  /**
   * Whether questions take time, streams are resumed and runs of engines tell their start. Courses
   * whose seeds were found without stay as they were.
   */
  private final boolean inDetail;

  private EntryConfiguration configuration = CONFIGURATION;
  private ForwardingLimits limits = new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100);

  /** Whether no node hears of another. */
  boolean reportsAreLost;

  private BiConsumer<Integer, String> sendListener = (node, id) -> {};
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
    inDetail = false;
    for (int i = 0; i < engines; i++) {
      startEngine();
    }
    for (int i = 0; i < nodes; i++) {
      this.nodes.add(new Node(i));
    }
    advance(1000);
  }

  /** Makes nodes before no endpoint yet, whose faults are played in detail. */
  SharedEngines(int nodes, long seed, EntryConfiguration configuration, ForwardingLimits limits) {
    this.seed = seed;
    this.dataCentres = 1;
    this.configuration = configuration;
    this.limits = limits;
    inDetail = true;
    for (int i = 0; i < nodes; i++) {
      this.nodes.add(new Node(i));
    }
  }

  /** One run of an engine. */
  private final class Engine {
    private final int number;
    private FleetEndpoint endpoint;
    private final Set<Running> running = new LinkedHashSet<>();

    /** Came while it was silent. */
    private final Set<Running> unread = new LinkedHashSet<>();

    private final EngineArrivals arrivals = new EngineArrivals();
    private final EngineBackoffs backoffs = new EngineBackoffs();
    private OptionalInt turnsAwayForMillis = OptionalInt.empty();
    private long standsStillUntil;
    private long silentUntil;
    private boolean fails;
    private final EngineDrain drain = new EngineDrain();
    private boolean ended;
    private boolean replaced;

    Engine(int number) {
      this(
          number,
          SERVICE,
          Optional.of(LayerRange.of(0, LAYERS)),
          inDetail ? Incarnation.startedAt(FIRST_START_MILLIS) : Incarnation.UNKNOWN);
    }

    Engine(int number, String service, Optional<LayerRange> layers, Incarnation run) {
      this.number = number;
      endpoint =
          new FleetEndpoint(
              "e" + number,
              service,
              new HostPort("10.0.0.1", number),
              dataCentre(number),
              134,
              false,
              layers,
              service.equals(SERVICE) ? "large" : "",
              StorePosition.START,
              run);
    }

    /** Returns the next run of its process, under the same id; it holds nothing yet. */
    Engine next() {
      long before = endpoint.incarnation().startedAt().orElse(0);
      return new Engine(
          number,
          endpoint.service(),
          Optional.empty(),
          Incarnation.startedAt(before + FIRST_START_MILLIS));
    }

    private boolean holdsNothing() {
      return endpoint.service().equals(SERVICE) && endpoint.layers().isEmpty();
    }

    private int events() {
      return endpoint.service().equals(SERVICE) ? EVENTS : 1;
    }

    boolean isSilent() {
      return nowMillis() < silentUntil;
    }

    /** Does something as soon as the engine is not silent; one that is so for good never does. */
    private void whenAwake(Runnable work) {
      if (!isSilent()) {
        work.run();
      } else if (silentUntil != FOR_GOOD) {
        later((int) (silentUntil - nowMillis()), () -> whenAwake(work));
      }
    }

    void take(Running request) {
      if (ended) {
        request.sent.end(SendRecord.End.ENGINE_ENDED);
        request.tell(() -> request.listener.failed(true, refused()));
      } else if (silentUntil == FOR_GOOD) {
        request.sent.end(SendRecord.End.ENGINE_ENDED);
      } else if (isSilent()) {
        unread.add(request);
        whenAwake(() -> read(request));
      } else if (inDetail) {
        takeUnlessClosed(request);
      } else {
        takeNow(request);
      }
    }

    private void read(Running request) {
      if (unread.remove(request)) {
        takeUnlessClosed(request);
      }
    }

    private void takeUnlessClosed(Running request) {
      if (request.isHeard() && !request.sent.isClosed()) {
        takeNow(request);
      }
    }

    private void takeNow(Running request) {
      backoffs.called(request.node, nowMillis());
      drain.arrived(request.node, nowMillis());
      if (holdsNothing()) {
        request.sent.end(SendRecord.End.TURNED_AWAY);
        FakeResponseHead head =
            new FakeResponseHead(
                MISDIRECTED, true, true, Optional.of(endpoint.address()), EndpointSignal.NONE);
        request.tell(() -> request.listener.head(head));
        return;
      }
      if (turnsAwayForMillis.isPresent()) {
        request.sent.end(SendRecord.End.TURNED_AWAY);
        FakeResponseHead head = turnedAway(request.node, request.isHeard());
        request.tell(() -> request.listener.head(head));
        return;
      }
      if (request.crashes()) {
        crashingArrivals.add(new Arrival(request.node, nowMillis()));
      }
      arrivals.arrived(request.node, nowMillis());
      request.sent.take();
      running.add(request);
      later(BEGINS_AFTER_MILLIS, () -> begin(request));
    }

    private FakeResponseHead turnedAway(int node, boolean heard) {
      RequestedBackoff stated = RequestedBackoff.none();
      if (turnsAwayForMillis.getAsInt() > 0) {
        if (heard) {
          backoffs.asked(node, nowMillis(), turnsAwayForMillis.getAsInt());
        }
        stated = RequestedBackoff.of(Duration.ofMillis(turnsAwayForMillis.getAsInt()));
      }
      return FakeResponseHead.rejected(answer(node, heard).withBackoff(stated));
    }

    /** Returns what the engine says of itself on each answer to a node, beside a backoff. */
    private EndpointSignal answer(int node, boolean heard) {
      EndpointSignal said = EndpointSignal.NONE.withLimit(arrivals.limit());
      if (!drain.isLeaving()) {
        return said;
      }
      if (heard) {
        drain.answered(node, nowMillis());
      }
      return said.asLeaving();
    }

    private void begin(Running request) {
      if (!running.contains(request)) {
        return;
      }
      if (isSilent()) {
        whenAwake(() -> begin(request));
        return;
      }
      if (fails) {
        fail(request);
        return;
      }
      FakeResponseHead head = FakeResponseHead.of(200, answer(request.node, request.isHeard()));
      request.tell(() -> request.listener.head(head));
      arrivals.answered(request.node, nowMillis());
      if (request.crashes()) {
        later(ENDS_AFTER_MILLIS, this::end);
      }
      event(request, inDetail ? request.firstEvent() : 1);
    }

    private void fail(Running request) {
      running.remove(request);
      request.sent.end(SendRecord.End.ENGINE_FAILED);
      request.tell(() -> request.listener.head(FakeResponseHead.of(FAILURE)));
      request.tell(request.listener::end);
    }

    private void event(Running request, int number) {
      if (!running.contains(request)) {
        return;
      }
      if (nowMillis() < standsStillUntil) {
        later((int) (standsStillUntil - nowMillis()), () -> event(request, number));
        return;
      }
      if (isSilent()) {
        whenAwake(() -> event(request, number));
        return;
      }
      if (request.waitsForAnother()) {
        later(BLOCKED_LOOK_MILLIS, () -> event(request, number));
        return;
      }
      byte[] event = ("id: " + number + "\ndata: x\n\n").getBytes(UTF_8);
      if (number <= events()) {
        request.tell(() -> request.listener.data(event));
      }
      if (number < events()) {
        later(STEP_MILLIS, () -> event(request, number + 1));
      } else {
        running.remove(request);
        request.sent.end(SendRecord.End.WHOLE);
        request.tell(request.listener::end);
      }
    }

    /** Breaks off what it runs. */
    private void breakOff() {
      List<Running> lost = ImmutableList.copyOf(Iterables.concat(running, unread));
      running.clear();
      unread.clear();
      lost.forEach(request -> request.sent.end(SendRecord.End.ENGINE_ENDED));
      lost.forEach(
          request ->
              later(
                  ON_THE_WAY_MILLIS,
                  () ->
                      request.tell(
                          () -> request.listener.failed(false, new ClosedChannelException()))));
    }

    /** Ends so that nothing comes any more, not even the end of its connections. */
    private void dieSilently() {
      Iterables.concat(running, unread)
          .forEach(request -> request.sent.end(SendRecord.End.ENGINE_ENDED));
      running.clear();
      unread.clear();
      silentUntil = FOR_GOOD;
      replaceLater();
    }

    private void replaceLater() {
      later(
          BACK_AFTER_MILLIS,
          () -> {
            store.remove(ENTRIES + endpoint.id());
            replaced = true;
            startEngine(endpoint.service(), endpoint.layers());
          });
    }

    private void end() {
      if (ended) {
        return;
      }
      ended = true;
      ends.add(nowMillis());
      breakOff();
      replaceLater();
    }

    /** Ends, and starts again under its id. */
    private void startAgain(int afterMillis) {
      ended = true;
      breakOff();
      later(
          afterMillis,
          () -> {
            Engine next = next();
            start(next);
            later(LOADS_AFTER_MILLIS, () -> next.load(endpoint.layers()));
          });
    }

    private void load(Optional<LayerRange> layers) {
      if (!ended) {
        list(endpoint.leaving(), layers);
      }
    }

    /** Writes its entry anew. */
    private void list(boolean leaving, Optional<LayerRange> layers) {
      endpoint =
          new FleetEndpoint(
              endpoint.id(),
              endpoint.service(),
              endpoint.address(),
              endpoint.dataCentre(),
              endpoint.slots(),
              leaving,
              layers,
              endpoint.accelerator(),
              endpoint.listedAt(),
              endpoint.incarnation());
      store.put(ENTRIES + endpoint.id(), endpoint.address().toString());
    }

    private ImmutableMap<String, HostPort> stalledOn() {
      ImmutableMap.Builder<String, HostPort> stalled = ImmutableMap.builder();
      for (Running request : running) {
        request
            .blocker()
            .ifPresent(blocker -> stalled.put(request.attempt.request().id(), blocker));
      }
      return stalled.buildKeepingLast();
    }

    private Optional<Running> runs(String requestId) {
      return running.stream()
          .filter(request -> request.attempt.request().id().equals(requestId))
          .findFirst();
    }
  }

  /** A crashing request reached an engine from a node. */
  record Arrival(int node, long atMillis) {}

  /** A request at an engine. */
  private final class Running implements EndpointTransport.EndpointCall {
    private final int node;
    private final Node run;
    private final Attempt attempt;
    private final EndpointTransport.Listener listener;
    private final SendRecord sent;

    /** The engines of its path after the first, as they were when it came there. */
    private ImmutableList<Engine> later = ImmutableList.of();

    Running(int node, Node run, Attempt attempt, EndpointTransport.Listener listener) {
      this.node = node;
      this.run = run;
      this.attempt = attempt;
      this.listener = listener;
      sent = new SendRecord(attempt.endpoint().address(), nowMillis());
      attempt.path().ifPresent(this::goOver);
    }

    /** Takes a path in the wire's form. */
    private void goOver(String path) {
      later =
          Splitter.on(',')
              .splitToStream(path)
              .skip(1)
              .map(part -> HostPort.parse(part.substring(0, part.indexOf('='))))
              .map(engines::get)
              .collect(ImmutableList.toImmutableList());
    }

    /** Returns the later engine that it waits for, if any. */
    private Optional<HostPort> blocker() {
      return later.stream()
          .filter(engine -> engine.ended || engine.isSilent())
          .map(engine -> engine.endpoint.address())
          .findFirst();
    }

    boolean waitsForAnother() {
      return blocker().isPresent();
    }

    /** Tells its node something. */
    void tell(Runnable news) {
      run.clock.arrive(news);
    }

    int firstEvent() {
      return 1 + attempt.resumeAfter().map(Integer::parseInt).orElse(0);
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
      Incarnation now = engines.get(attempt.endpoint().address()).endpoint.incarnation();
      sent.close(now.isAfter(attempt.endpoint().incarnation()), nowMillis());
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
  record Asked(String id, String path, String body, Duration limit, RequestSize needs)
      implements CallerRequest {
    @Override
    public String host() {
      return "host.example";
    }

    @Override
    public Optional<String> key() {
      return Optional.of(KEY);
    }

    @Override
    public Optional<Duration> callerTimeout() {
      return Optional.of(limit);
    }

    @Override
    public Optional<RequestSize> size() {
      return Optional.of(needs);
    }

    @Override
    public RequestContent content(Optional<String> workspace) {
      return RequestContent.of(workspace, "POST", host(), path(), body.getBytes(UTF_8));
    }
  }

  /** One node. */
  private final class Node implements EngineControl {
    private final NodeClock clock = new NodeClock(SharedEngines.this.clock);
    private final Fleet fleet;
    private EntryConfiguration known = configuration;
    private final StoreLink link = new StoreLink(clock, store);
    private final BoxClock time = new BoxClock(clock);
    private final Forwarder forwarder;
    private final LoadExchange exchange;
    private final int place;
    private BiConsumer<FleetEndpoint, EndpointSignal> statements = (engine, said) -> {};

    /** Makes another run of the node at a place. */
    Node(int place) {
      this.place = place;
      int number = runs++;
      Random random = new Random(seed + number);
      Counters counters = Counters.in(meters);
      fleet = Fleet.create(clock, counters, EntryNode.RELIST_GRACE);
      onSignal(fleet.signals()::recordCallAnswer);
      exchange =
          LoadExchange.create(
              clock,
              fleet,
              boxAt(place),
              dataCentre(place),
              () -> peersOf(place),
              nodes::size,
              () -> known.version(),
              this::tell);
      RateLimitShares.maintain(
          clock, random, fleet, boxAt(place), dataCentre(place), () -> peersOf(place));
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
              time.suspensionDetector());
      forwarder =
          Forwarder.create(
              clock,
              random,
              fleet,
              HealthChecker.create(clock, fleet, this),
              this,
              (attempt, listener) -> send(place, this, attempt, listener),
              quarantine,
              limits,
              () -> Optional.of(known),
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
      later(ON_THE_WAY_MILLIS, () -> nodes.get(peer.port() - PEER_PORT).hear(bytes));
      return bytes.length;
    }

    /** Ends its process, and with it all its connections. */
    private void end() {
      clock.end();
      for (Engine engine : engines.values()) {
        ImmutableList.copyOf(engine.running).stream()
            .filter(request -> request.run == this)
            .forEach(Running::cancel);
      }
    }

    private void hear(byte[] report) {
      clock.arrive(() -> exchange.receive(LoadCodec.decode(report)));
    }

    private void configure(EntryConfiguration next, ForwardingLimits bounds) {
      known = next;
      forwarder.updateLimits(bounds);
    }

    @Override
    public void onSignal(BiConsumer<FleetEndpoint, EndpointSignal> listener) {
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
      EndpointSignal said =
          turnedAway ? engine.turnedAway(place, true).signal() : engine.answer(place, true);
      statements.accept(endpoint, said);
      return turnedAway;
    }

    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit) {
      return inDetail ? call(engine, limit, () -> reportNow(engine)) : reportNow(engine);
    }

    private CompletableFuture<EngineReport> reportNow(FleetEndpoint endpoint) {
      Engine engine = engines.get(endpoint.address());
      if (engine.ended) {
        return CompletableFuture.failedFuture(refused());
      }
      if (isTurnedAway(endpoint)) {
        return CompletableFuture.failedFuture(new BackoffRequestedException());
      }
      return CompletableFuture.completedFuture(
          new EngineReport(
              1,
              false,
              engine.endpoint.layers(),
              1,
              engine.stalledOn(),
              engine.endpoint.incarnation()));
    }

    /** Asks an engine something, which takes time and fails if that is over the limit. */
    private <T> CompletableFuture<T> call(
        FleetEndpoint endpoint, Duration limit, Supplier<CompletableFuture<T>> answer) {
      CompletableFuture<T> told = new CompletableFuture<>();
      clock.schedule(() -> told.completeExceptionally(new TimeoutException()), limit);
      later(
          ON_THE_WAY_MILLIS,
          () -> engines.get(endpoint.address()).whenAwake(() -> tell(told, answer.get())));
      return told;
    }

    private <T> void tell(CompletableFuture<T> told, CompletableFuture<T> answer) {
      later(
          ON_THE_WAY_MILLIS,
          () ->
              clock.arrive(
                  () ->
                      Async.ignore(
                          answer.whenComplete(
                              (value, failure) -> {
                                if (failure == null) {
                                  told.complete(value);
                                } else {
                                  told.completeExceptionally(failure);
                                }
                              }))));
    }

    @Override
    public CompletableFuture<OrderOutcome> assignLayers(
        FleetEndpoint engine, LayerRange layers, OrderGuard guard) {
      boolean taken = !isTurnedAway(engine);
      return CompletableFuture.completedFuture(
          taken ? OrderOutcome.ACCEPTED : OrderOutcome.REFUSED);
    }

    @Override
    public CompletableFuture<RepathOutcome> repath(
        FleetEndpoint first, String requestId, String path) {
      return inDetail
          ? call(first, REPATH_LIMIT, () -> repathNow(first, requestId, path))
          : repathNow(first, requestId, path);
    }

    private CompletableFuture<RepathOutcome> repathNow(
        FleetEndpoint first, String requestId, String path) {
      Engine engine = engines.get(first.address());
      if (engine.ended) {
        return CompletableFuture.failedFuture(refused());
      }
      RepathOutcome.Kind kind = RepathOutcome.Kind.REFUSED;
      if (!isTurnedAway(first)) {
        Optional<Running> request = engine.runs(requestId);
        request.ifPresent(run -> run.goOver(path));
        kind =
            request.isPresent() ? RepathOutcome.Kind.ACCEPTED : RepathOutcome.Kind.UNKNOWN_REQUEST;
      }
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

  private static ConnectionRefusedException refused() {
    return new ConnectionRefusedException(new ConnectException("Connection refused"));
  }

  private void startEngine() {
    start(new Engine(++started));
  }

  private void startEngine(String service, Optional<LayerRange> layers) {
    if (inDetail) {
      Incarnation run = Incarnation.startedAt(FIRST_START_MILLIS);
      start(new Engine(++started, service, layers, run));
    } else {
      startEngine();
    }
  }

  /** Starts an engine that holds these layers. */
  void startEngine(int from, int to) {
    startEngine(SERVICE, Optional.of(LayerRange.of(from, to)));
  }

  /** Starts an endpoint of the service whose requests run at one. */
  void startReplica() {
    startEngine(REPLICATED, Optional.empty());
  }

  private void start(Engine engine) {
    engines.put(engine.endpoint.address(), engine);
    store.put(ENTRIES + engine.endpoint.id(), engine.endpoint.address().toString());
  }

  private FleetEndpoint listed(StoredItem item) {
    return engines.get(HostPort.parse(item.value())).endpoint;
  }

  private EndpointTransport.EndpointCall send(
      int place, Node run, Attempt attempt, EndpointTransport.Listener listener) {
    Running request = new Running(place, run, attempt, listener);
    Engine engine = engines.get(attempt.endpoint().address());
    if (nodes.get(place) == run) { // What a run that has ended still sends goes nowhere.
      sends.computeIfAbsent(attempt.request().id(), id -> new ArrayList<>()).add(request.sent);
      sendListener.accept(place, attempt.request().id());
      later(ON_THE_WAY_MILLIS, () -> engine.take(request));
    }
    return request;
  }

  /** Asks a node. */
  RecordedResponse ask(int node, String body) {
    RecordedResponse got = new RecordedResponse();
    RequestSize needs = new RequestSize(800, 200);
    Asked request = new Asked("q" + asked++, "/letters/", body, Duration.ofSeconds(20), needs);
    nodes.get(node % nodes.size()).forwarder.forward(request, got);
    return got;
  }

  /** Sends a node a request; hands over what it is told of the caller from then on. */
  void ask(
      int place, Asked request, CallerResponse answer, Consumer<CallerResponse.Listener> onTaken) {
    Node node = nodes.get(place);
    node.clock.arrive(() -> onTaken.accept(node.forwarder.forward(request, answer)));
  }

  /** Does something at a node, or as soon as it goes on. */
  void atNode(int node, Runnable work) {
    nodes.get(node).clock.arrive(work);
  }

  /** Calls back with the node and the request's id before a request is sent to an engine. */
  void onSend(BiConsumer<Integer, String> listener) {
    sendListener = listener;
  }

  /** Returns how a request was sent to engines, in order. */
  ImmutableList<SendRecord> sendsOf(String id) {
    return ImmutableList.copyOf(sends.getOrDefault(id, ImmutableList.of()));
  }

  /** A node stands still for a time: it runs and reads nothing. */
  void nodeStandsStill(int node, int millis) {
    nodes.get(node).clock.standStill(millis);
  }

  /** Returns for how long a node has stood still. */
  long stoodStillMillis(int node) {
    return nodes.get(node).clock.stoodStillMillis();
  }

  /** A node takes a configuration and bounds. */
  void configure(int node, EntryConfiguration next, ForwardingLimits bounds) {
    configuration = next;
    limits = bounds;
    Node at = nodes.get(node);
    at.clock.arrive(() -> at.configure(next, bounds));
  }

  /** Returns the places of engines that work, full and silent ones included. */
  ImmutableList<Integer> working() {
    ImmutableList<Engine> all = ImmutableList.copyOf(engines.values());
    return IntStream.range(0, all.size())
        .filter(place -> !all.get(place).ended && all.get(place).silentUntil != FOR_GOOD)
        .boxed()
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the place of the endpoint at an address. */
  int placeOf(HostPort address) {
    return ImmutableList.copyOf(engines.keySet()).indexOf(address);
  }

  /** An engine gives no sign of life for a time, and then goes on. */
  void pauses(int place, int millis) {
    engineAt(place).silentUntil = nowMillis() + millis;
  }

  /** An engine ends with all that it runs; another takes its place. */
  void breaksDown(int place) {
    engineAt(place).end();
  }

  /** The same, but nobody is told and its connections stay. */
  void diesSilently(int place) {
    engineAt(place).dieSilently();
  }

  /** An engine ends and starts again under its id. */
  void startsAgain(int place, int afterMillis) {
    engineAt(place).startAgain(afterMillis);
  }

  /** An engine breaks off all that it runs, and works on. */
  void breaksOff(int place) {
    engineAt(place).breakOff();
  }

  /** An engine says in its entry that it leaves, and ends some time later. */
  void leavesByEntry(int place, int endsAfterMillis) {
    Engine engine = engineAt(place);
    engine.list(true, engine.endpoint.layers());
    later(endsAfterMillis, engine::end);
  }

  /** Whether an engine answers with failures from now on. */
  void fails(int place, boolean value) {
    engineAt(place).fails = value;
  }

  /** Returns what nodes and engines still keep of requests; nothing once all are over. */
  ImmutableList<String> leftOver() {
    ImmutableList.Builder<String> left = ImmutableList.builder();
    for (Node node : nodes) {
      if (node.forwarder.inFlight() > 0) {
        left.add("node " + node.place + " has " + node.forwarder.inFlight() + " requests");
      }
      for (TrackedEndpoint known : node.fleet.all()) {
        if (known.inFlight() != 0 || Math.abs(known.reservedTokenLayers()) > 1e-3) {
          left.add("node " + node.place + " has reserved a place at " + known);
        }
      }
    }
    for (Engine engine : engines.values()) {
      if (!engine.running.isEmpty()) {
        left.add(engine.endpoint.id() + " runs " + engine.running.size() + " requests");
      }
    }
    return left.build();
  }

  /** Starts another run of a node, which knows nothing of before. */
  void restartNode(int node) {
    nodes.get(node).exchange.stop();
    if (inDetail) {
      nodes.get(node).end();
    }
    nodes.set(node, new Node(node));
    for (Engine engine : engines.values()) {
      engine.arrivals.nodeStarted(node);
      engine.backoffs.nodeStarted(node, nowMillis());
      engine.drain.nodeStarted(node);
    }
  }

  /** The store is as it was when it was copied; engines list themselves again a moment later. */
  void storeComesBack() {
    store.restoreBackup();
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
