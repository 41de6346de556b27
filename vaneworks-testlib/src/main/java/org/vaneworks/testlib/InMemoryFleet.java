package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.NodeDependencies;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.NodeSettings;
import org.vaneworks.coordination.StopTimes;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.configuration.ConfigurationChange;
import org.vaneworks.coordination.configuration.ConfigurationEditor;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.protocol.ClaimJson;
import org.vaneworks.protocol.ConfigurationJson;
import org.vaneworks.protocol.Json;
import org.vaneworks.protocol.ResourceJson;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.Template;
import org.vaneworks.state.Workspace;
import org.vaneworks.telemetry.Counters;

/**
 * Runs complete nodes, engines and the platform in one process with a paused clock.
 *
 * <p>All random decisions derive from one seed, so runs are reproducible. Not thread-safe.
 */
public final class InMemoryFleet {
  /** Name of the model that all engines of the fleet serve. */
  public static final String MODEL = "model";

  /** Default workspace of requests. */
  public static final String WORKSPACE = "ward";

  private static final int FIRST_PORT = 10_000;
  private static final int MAX_TOKENS = 1000;
  private static final Duration SETTLE_TIME = Duration.ofSeconds(20);
  private static final StopTimes STOP_TIMES =
      new StopTimes(Duration.ofSeconds(1), Duration.ofSeconds(60));

  private final int layers;
  private final long seed;
  private final PausedExecutor executor = PausedExecutor.create();
  private final StoreCore store = StoreCore.create(executor);
  private final BoxListCore boxes = BoxListCore.create();
  private final InMemoryEndpoints endpoints;
  private final InMemoryPeers peers;
  private final ConfigurationEditor editor;
  private final Map<String, FreezableExecutor> processes = new LinkedHashMap<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Counters> counters = new LinkedHashMap<>();
  private final Map<String, HostPort> addresses = new LinkedHashMap<>();
  private int nextPort = FIRST_PORT;
  private int changes;
  private int incarnations;

  private InMemoryFleet(int layers, long seed) {
    this.layers = layers;
    this.seed = seed;
    this.endpoints = InMemoryEndpoints.create(executor, new Random(seed));
    this.peers = InMemoryPeers.create(executor, new Random(seed + 1));
    this.editor = ConfigurationEditor.create(executor, store, ConfigurationJson.create(), () -> 0L);
  }

  /**
   * Returns a fleet with a platform, but without nodes and engines.
   *
   * @param layers number of layers of the model
   * @param seed seed of all random decisions
   */
  public static InMemoryFleet create(int layers, long seed) {
    return new InMemoryFleet(layers, seed);
  }

  /** Returns the clock. */
  public PausedExecutor clock() {
    return executor;
  }

  /** Returns the platform's store. */
  public StoreCore store() {
    return store;
  }

  /** Returns the platform's box list. */
  public BoxListCore boxes() {
    return boxes;
  }

  /** Returns the simulated links to the endpoints. */
  public InMemoryEndpoints endpoints() {
    return endpoints;
  }

  /** Returns the configuration editor. */
  public ConfigurationEditor editor() {
    return editor;
  }

  /** Returns a running node, or null if there is none with this name. */
  public Node node(String name) {
    return nodes.get(name);
  }

  /** Returns all running nodes. */
  public ImmutableList<Node> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  /** Returns a node's counters. */
  public Counters counters(String node) {
    return counters.get(node);
  }

  /** Returns the listen address of a box. */
  public HostPort addressOf(String box) {
    return addresses.get(box);
  }

  /** Adds a ready engine and its entry in the box list. */
  public EngineCore addEngine(String box, int from, int to, double stepMillis) {
    return addEngine(box, from, to, stepMillis, "a", Duration.ofMillis(1));
  }

  /**
   * Adds a ready engine and its entry in the box list.
   *
   * @param box name of the box
   * @param from first layer
   * @param to end of the layer range, exclusive
   * @param stepMillis duration of a step without other sessions, in milliseconds
   * @param accelerator kind of accelerator
   * @param linkDelay mean one-way delay of the link to the engine
   */
  public EngineCore addEngine(
      String box, int from, int to, double stepMillis, String accelerator, Duration linkDelay) {
    HostPort address = nextAddress(box);
    Endpoint endpoint =
        new Endpoint(
            new EndpointId(box, "1"),
            address,
            "dc1",
            MODEL,
            Optional.of(LayerRange.of(from, to)),
            accelerator,
            true);
    EngineCore engine = EngineCore.create(EngineOptions.of(endpoint, layers, stepMillis), executor);
    endpoints.add(engine);
    endpoints.setDelay(address, linkDelay);
    boxes.put(new Box(box, Box.Role.ENDPOINT, address, "dc1", false));
    return engine;
  }

  /** Adds a ready plain service and its entry in the box list. */
  public ServiceCore addService(String box, String name) {
    return addService(box, name, ServiceCore.create());
  }

  /** Adds a ready plain service and its entry in the box list; returns the service. */
  public ServiceCore addService(String box, String name, ServiceCore service) {
    HostPort address = nextAddress(box);
    endpoints.add(
        new Endpoint(new EndpointId(box, "1"), address, "dc1", name, Optional.empty(), "", false),
        service);
    boxes.put(new Box(box, Box.Role.ENDPOINT, address, "dc1", false));
    return service;
  }

  /** Adds and starts a node with default limits. */
  public Node addNode(String name) {
    return addNode(name, NodeLimits.defaults().withStop(STOP_TIMES));
  }

  /** Adds and starts a node; a node with the name of an earlier one is a new incarnation of it. */
  public Node addNode(String name, NodeLimits limits) {
    HostPort address = addresses.containsKey(name) ? addresses.get(name) : nextAddress(name);
    Counters nodeCounters = Counters.in(new SimpleMeterRegistry());
    FreezableExecutor process = new FreezableExecutor(executor);
    processes.put(name, process);
    NodeDependencies dependencies =
        new NodeDependencies(
            process,
            new Random(seed + address.port() + 1000L * ++incarnations),
            store,
            boxes,
            endpoints,
            peers.linkFrom(address),
            ConfigurationJson.create(),
            ClaimJson.create(),
            nodeCounters);
    NodeSettings settings =
        new NodeSettings(name, "i" + incarnations, "secret" + incarnations, address, "dc1", limits);
    Node node = Node.create(settings, dependencies);
    peers.add(address, node);
    nodes.put(name, node);
    counters.put(name, nodeCounters);
    boxes.put(new Box(name, Box.Role.ENTRY, address, "dc1", false));
    node.start();
    return node;
  }

  /** Kills a node: it sends and receives nothing more, and its callers' connections are lost. */
  public void killNode(String name) {
    peers.kill(addresses.get(name));
    processes.get(name).freeze();
    nodes.remove(name);
  }

  /** Freezes a node, as SIGSTOP does. */
  public void freezeNode(String name) {
    processes.get(name).freeze();
    peers.freeze(addresses.get(name));
  }

  /** Resumes a frozen node. */
  public void thawNode(String name) {
    processes.get(name).thaw();
    peers.thaw(addresses.get(name));
  }

  /** Stops a node gracefully and returns the number of requests that were aborted. */
  public CompletableFuture<Integer> stopNode(String name) {
    return nodes
        .get(name)
        .stop()
        .thenApply(
            aborted -> {
              killNode(name);
              return aborted;
            });
  }

  /** Returns the simulated links between nodes. */
  public InMemoryPeers peers() {
    return peers;
  }

  private HostPort nextAddress(String box) {
    HostPort address = new HostPort("127.0.0.1", nextPort++);
    addresses.put(box, address);
    return address;
  }

  /** Applies a configuration change given as YAML. */
  public CompletableFuture<ConfigurationHead> apply(String yaml) {
    ImmutableList.Builder<Template> templates = ImmutableList.builder();
    ImmutableList.Builder<Workspace> workspaces = ImmutableList.builder();
    Json.parseYaml(yaml)
        .forEach(
            document -> {
              Record resource = ResourceJson.read(document);
              if (resource instanceof Template template) {
                templates.add(template);
              } else {
                workspaces.add((Workspace) resource);
              }
            });
    return editor.apply(
        new ConfigurationChange(
            "change-" + ++changes,
            "test",
            "",
            templates.build(),
            workspaces.build(),
            ImmutableSet.of()),
        OptionalLong.empty());
  }

  /** Returns the default configuration as YAML. */
  public String configuration(int maxTokens) {
    return "{kind: template, name: t, model: {name: model, layers: "
        + layers
        + "}, services: [{name: records, calls: [{method: POST, pathPrefix: /confirm}]}],"
        + " limits: {maxInFlight: 10000, maxQueue: 1000, maxTokens: "
        + maxTokens
        + "}, bounds: {firstTokenMs: 60000, betweenTokensMs: 10000}}\n"
        + "---\n"
        + "{kind: workspace, name: ward, template: t}\n";
  }

  /**
   * Applies the default configuration and waits until nodes and endpoints have discovered each
   * other.
   */
  public void settle() {
    CompletableFuture<ConfigurationHead> applied = apply(configuration(MAX_TOKENS));
    executor.advance(SETTLE_TIME);
    checkState(
        applied.isDone() && !applied.isCompletedExceptionally(),
        "configuration was not applied: %s",
        applied);
  }

  /** Requests a completion from a node. */
  public RecordedAnswer ask(String node, String prompt, int tokens, CallerOptions options) {
    RecordedAnswer answer = RecordedAnswer.to(prompt);
    Runnable unused =
        nodes
            .get(node)
            .dispatcher()
            .complete(
                WORKSPACE, new CompletionBody(prompt, OptionalInt.of(tokens)), options, answer);
    return answer;
  }

  /** Returns a verifier of the answers for all steps that engines have run so far. */
  public AnswerVerifier verifier() {
    return AnswerVerifier.of(layers, endpoints.engines());
  }
}
