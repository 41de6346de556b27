package org.vaneworks.tests.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.fleet.ConnectionRefusedException;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.ReachabilityMonitor;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.forwarding.Attempt;
import org.vaneworks.coordination.forwarding.BodyDelimiter;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.EndpointTransport;
import org.vaneworks.coordination.forwarding.Forwarder;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.forwarding.PeerNodes;
import org.vaneworks.coordination.forwarding.SharingNodes;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.state.entry.WeightedService;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.placement.Models;
import org.vaneworks.tests.shared.InMemorySharedStore;

/** A forwarder on a manually advanced clock; the test plays endpoints and callers. */
final class ForwardingFixture {
  static final String MODEL = "writer";
  static final String PLAIN = "records";
  static final String KEY = "secret";

  /** The key of a caller whose requests are less urgent. */
  static final String PATIENT_KEY = "patient";

  /** The incarnation of all endpoints that a test registers without another one. */
  static final Incarnation FIRST_START = Incarnation.startedAt(1000);

  /** An attempt whose response the test provides. */
  static final class SentAttempt implements EndpointTransport.EndpointCall {
    final Attempt attempt;
    final EndpointTransport.Listener listener;
    boolean arrived = true;
    boolean cancelled;
    boolean discarded;
    boolean paused;

    SentAttempt(Attempt attempt, EndpointTransport.Listener listener) {
      this.attempt = attempt;
      this.listener = listener;
    }

    @Override
    public boolean mayHaveArrived() {
      return arrived;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public void discard() {
      discarded = true;
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resume() {
      paused = false;
    }

    void head(int status) {
      listener.head(FakeResponseHead.of(status));
    }

    void notRun(int status, Optional<HostPort> obstacle) {
      listener.head(new FakeResponseHead(status, true, true, obstacle, EndpointSignal.NONE));
    }

    void event(int id) {
      listener.data(("id: " + id + "\ndata: x\n\n").getBytes(UTF_8));
    }

    void end() {
      listener.end(BodyDelimiter.LAST_CHUNK);
    }

    void endWithConnection() {
      listener.end(BodyDelimiter.CONNECTION_CLOSE);
    }

    void text(String text) {
      listener.data(text.getBytes(UTF_8));
    }
  }

  record TestRequest(String id, String host, String path, Optional<String> key, Duration limit)
      implements CallerRequest {
    @Override
    public Optional<Duration> callerTimeout() {
      return Optional.of(limit);
    }

    @Override
    public Optional<RequestSize> size() {
      return Optional.of(new RequestSize(800, 200));
    }

    @Override
    public ImmutableList<String> sharedPromptParts() {
      return ImmutableList.of();
    }

    @Override
    public RequestContent content(Optional<String> workspace) {
      return RequestContent.of(workspace, "POST", host, path, new byte[0]);
    }
  }

  /**
   * Reports of engines unless they are dead, silent or refuse connections, and outcomes of path
   * changes set by the test.
   */
  static final class FakeEngineControl implements EngineControl {
    final List<String> repathedPaths = new ArrayList<>();
    final List<HostPort> dead = new ArrayList<>();
    final List<HostPort> refusing = new ArrayList<>();
    final List<HostPort> silent = new ArrayList<>();
    final List<HostPort> slow = new ArrayList<>();

    /** Reports that the test completes. */
    final Map<HostPort, CompletableFuture<EngineReport>> pending = new HashMap<>();

    /** The stalled requests that each engine reports, with the engines they wait for. */
    final Map<HostPort, ImmutableMap<String, HostPort>> stalls = new HashMap<>();

    final List<HostPort> probed = new ArrayList<>();
    final Map<HostPort, Incarnation> started = new HashMap<>();
    double pace = 1;

    /** The requests whose paths were to be changed, in the order of {@link #repathedPaths}. */
    final List<String> repathedRequests = new ArrayList<>();

    /** Whether the outcomes of path changes are withheld until the test completes them. */
    boolean withholdsRepathOutcomes;

    final List<CompletableFuture<RepathOutcome>> withheldOutcomes = new ArrayList<>();

    /** Called before each path change. */
    Runnable onRepath = () -> {};

    RepathOutcome repathOutcome = new RepathOutcome(RepathOutcome.Kind.ACCEPTED, Optional.empty());

    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit) {
      probed.add(engine.address());
      if (refusing.contains(engine.address())) {
        return CompletableFuture.failedFuture(
            new ConnectionRefusedException(new ConnectException("Connection refused")));
      }
      if (silent.contains(engine.address())) {
        return new CompletableFuture<>();
      }
      if (pending.containsKey(engine.address())) {
        return pending.get(engine.address());
      }
      return dead.contains(engine.address())
          ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
          : CompletableFuture.completedFuture(reportOf(engine));
    }

    EngineReport reportOf(FleetEndpoint engine) {
      return new EngineReport(
          1,
          false,
          engine.layers(),
          slow.contains(engine.address()) ? 12 : pace,
          stalls.getOrDefault(engine.address(), ImmutableMap.of()),
          started.getOrDefault(engine.address(), FIRST_START));
    }

    @Override
    public CompletableFuture<OrderOutcome> assignLayers(
        FleetEndpoint engine, LayerRange layers, OrderGuard guard) {
      return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
    }

    @Override
    public CompletableFuture<RepathOutcome> repath(
        FleetEndpoint first, String requestId, String path) {
      onRepath.run();
      repathedPaths.add(path);
      repathedRequests.add(requestId);
      if (withholdsRepathOutcomes) {
        withheldOutcomes.add(new CompletableFuture<>());
        return withheldOutcomes.get(withheldOutcomes.size() - 1);
      }
      return CompletableFuture.completedFuture(repathOutcome);
    }
  }

  /** Records attempts; the test provides their responses. */
  private record RecordingTransport(List<SentAttempt> attempts, Runnable onSend)
      implements EndpointTransport {
    @Override
    public EndpointCall send(Attempt attempt, Listener listener) {
      onSend.run();
      SentAttempt made = new SentAttempt(attempt, listener);
      attempts.add(made);
      return made;
    }
  }

  final PausedExecutor clock = PausedExecutor.create();

  /** The attempts at endpoints. */
  final List<SentAttempt> sent = new ArrayList<>();

  /** Called before each attempt at an endpoint. */
  Runnable onSend = () -> {};

  /** The attempts at peers. */
  final List<SentAttempt> toPeers = new ArrayList<>();

  /** The other nodes. */
  ImmutableList<Peer> peers = ImmutableList.of();

  final FakeEngineControl control = new FakeEngineControl();
  final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  final Fleet fleet;
  final HealthChecker health;
  final Forwarder forwarder;
  Optional<EntryConfiguration> configuration = Optional.of(configuration());
  long confirmedAt;
  double reserve = 100;

  ForwardingFixture() {
    Counters counters = Counters.in(meters);
    fleet = Fleet.create(clock, counters, Duration.ofMillis(2500));
    ReachabilityMonitor reachability =
        ReachabilityMonitor.create(
            clock, new Random(9), fleet, (address, timeout) -> connect(address), counters);
    health = HealthChecker.create(clock, fleet, control, reachability);
    forwarder =
        Forwarder.create(
            clock,
            new Random(7),
            fleet,
            health,
            reachability,
            PeerNodes.create(
                clock,
                new Random(10),
                () -> peers,
                "dc1",
                new RecordingTransport(toPeers, () -> {}),
                counters),
            control,
            new RecordingTransport(sent, () -> onSend.run()),
            SharedQuarantine.create(
                clock,
                new Random(8),
                new InMemorySharedStore(clock),
                "quarantine/",
                "n1",
                fleet,
                counters),
            new ForwardingLimits(Duration.ofMillis(4750), 0.2, reserve, Duration.ZERO),
            () -> configuration,
            age -> now() - confirmedAt < age.toNanos(),
            new SharingNodes(() -> 1, () -> OptionalLong.of(0)),
            "dc1",
            counters);
  }

  /** Endpoints accept connections unless they refuse them. */
  private CompletableFuture<?> connect(HostPort address) {
    return control.refusing.contains(address)
        ? CompletableFuture.failedFuture(new ConnectException("Connection refused"))
        : CompletableFuture.completedFuture(null);
  }

  static EntryConfiguration configuration() {
    return configuration(
        ApiKeys.of(
            Map.of(
                KEY,
                new Caller("ward", OptionalInt.empty()),
                PATIENT_KEY,
                new Caller("archive", OptionalInt.of(3)))));
  }

  static EntryConfiguration configuration(ApiKeys keys) {
    return EntryConfiguration.of(
        3,
        List.of(
            route("/stream/", CallKind.RESUMABLE_STREAM, MODEL, 20_000, 2),
            route("/single/", CallKind.RESUMABLE_STREAM, MODEL, 20_000, 1),
            route("/thrice/", CallKind.RESUMABLE_STREAM, MODEL, 20_000, 3),
            route("/patient/", CallKind.RESUMABLE_STREAM, MODEL, 20_000, 2, 2000),
            route("/once/", CallKind.STREAM, MODEL, 20_000, 2),
            route("/safe/", CallKind.SAFE, PLAIN, 800, 2),
            route("/unsafe/", CallKind.UNSAFE, PLAIN, 800, 1)),
        List.of(
            new ServiceProfile(MODEL, 1000, Optional.of(Models.eightyLayers())),
            new ServiceProfile(PLAIN, 100, Optional.empty())),
        keys,
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private static EntryRoute route(
      String prefix, CallKind kind, String service, int timeoutMillis, int attempts) {
    return route(prefix, kind, service, timeoutMillis, attempts, 500);
  }

  private static EntryRoute route(
      String prefix,
      CallKind kind,
      String service,
      int timeoutMillis,
      int attempts,
      int objectiveMillis) {
    return new EntryRoute(
        prefix,
        "host.example",
        prefix,
        kind,
        Duration.ofMillis(timeoutMillis),
        Duration.ofMillis(objectiveMillis),
        Duration.ofMillis(200),
        0,
        ImmutableList.of(new WeightedService(service, 1)),
        attempts,
        false);
  }

  /** Registers an engine; its number is the last part of its address. */
  FleetEndpoint engine(int number, int from, int to) {
    return engine(number, from, to, FIRST_START);
  }

  /** Registers an engine with the given incarnation. */
  FleetEndpoint engine(int number, int from, int to, Incarnation run) {
    FleetEndpoint engine =
        new FleetEndpoint(
            "e" + number,
            MODEL,
            new HostPort("10.0.0." + number, 80),
            "dc1",
            134,
            false,
            Optional.of(LayerRange.of(from, to)),
            "large",
            StorePosition.START,
            run);
    fleet.put(engine);
    return engine;
  }

  /** Registers an endpoint as restarted under the same id, without layers. */
  void restart(FleetEndpoint endpoint) {
    long before = endpoint.incarnation().startedAt().orElse(0);
    relist(endpoint, false, Optional.empty(), Incarnation.startedAt(before + 1000));
  }

  /** Registers an endpoint as leaving. */
  void announceLeaving(FleetEndpoint endpoint) {
    relist(endpoint, true, endpoint.layers(), endpoint.incarnation());
  }

  private void relist(
      FleetEndpoint endpoint,
      boolean leaving,
      Optional<LayerRange> layers,
      Incarnation incarnation) {
    fleet.put(
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
            incarnation));
  }

  /** Registers a replica of the plain service. */
  FleetEndpoint replica(int number) {
    FleetEndpoint replica =
        new FleetEndpoint(
            "r" + number,
            PLAIN,
            new HostPort("10.0.1." + number, 80),
            "dc1",
            6,
            false,
            Optional.empty(),
            "",
            StorePosition.START,
            FIRST_START);
    fleet.put(replica);
    return replica;
  }

  RecordedResponse request(String path) {
    return request(path, Optional.of(KEY));
  }

  RecordedResponse request(String path, Optional<String> key) {
    RecordedResponse response = new RecordedResponse();
    response.listener = forwarder.forward(callerRequest(path, key), response);
    return response;
  }

  /** Returns a request that is not sent. */
  TestRequest callerRequest(String path) {
    return callerRequest(path, Optional.of(KEY));
  }

  private TestRequest callerRequest(String path, Optional<String> key) {
    return new TestRequest("q" + sent.size(), "host.example", path, key, Duration.ofSeconds(20));
  }

  SentAttempt lastAttempt() {
    return sent.get(sent.size() - 1);
  }

  void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  long now() {
    return clock.currentTime(TimeUnit.NANOSECONDS);
  }
}
