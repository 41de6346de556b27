package org.vaneworks.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.NodeLease;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.PrefixRouter;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.shared.BoxClock;
import org.vaneworks.tests.shared.InMemorySharedStore;
import org.vaneworks.tests.shared.StoreLink;

/**
 * A random simulation of nodes that use a store which is restored from backups, under a paused
 * clock.
 *
 * <p>Nodes restart, are disconnected from the store and suspended; the operator writes
 * configurations; endpoints join, announce that they leave, and leave. After a restore, the
 * operator and the endpoints write lost entries again. One engine accepts the orders of any
 * controller whose fence is not lower than the highest one so far.
 */
final class StoreRestoreSimulation {
  private static final String VANEWORKS_PREFIX = "vaneworks/";
  private static final String ENTRIES = "servers/";
  private static final String CONFIGURATION = "op/config";
  private static final String SERVICE = "records";
  private static final String READY = "ready";
  private static final String LEAVING = "leaving";
  private static final int MAX_NODES = 5;
  private static final int STEPS = 60;
  private static final int MAX_STEP_MILLIS = 800;
  private static final int CHECK_INTERVAL_MILLIS = 100;
  private static final int MAX_ANSWER_DELAY_MILLIS = 700;
  private static final int MAX_REWRITE_DELAY_MILLIS = 1500;

  /** An entry of a stopped node expires within 12 s; the rest is for everything else to settle. */
  private static final int SETTLE_MILLIS = 20_000;

  private final PausedExecutor clock = PausedExecutor.create();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final Random random;
  private Optional<Random> delays = Optional.empty();
  private final List<Node> nodes = new ArrayList<>();
  private final Set<String> problems = new LinkedHashSet<>();

  /** The latest values that the operator and the endpoints have written, by key. */
  private final Map<String, String> expectedEntries = new TreeMap<>();

  private final Map<Long, Integer> nodeByFence = new HashMap<>();
  private long highestFence;
  private int version;
  private int createdEndpoints;
  private int incarnations;

  StoreRestoreSimulation(long seed) {
    random = new Random(seed);
  }

  /**
   * Creates a simulation in which some nodes get the store's answers late, even across a restore.
   * All other events are the same as without delays for the same seed.
   */
  static StoreRestoreSimulation withDelayedAnswers(long seed) {
    StoreRestoreSimulation simulation = new StoreRestoreSimulation(seed);
    simulation.delays = Optional.of(new Random(~seed));
    return simulation;
  }

  /** One incarnation of a node. */
  private final class Node {
    private final int index;
    private final StoreLink link = new StoreLink(clock, store);
    private final BoxClock time = new BoxClock(clock);
    private final Fleet fleet;
    private final ConfigurationWatch configuration;
    private final NodeLease lease;
    private final PrefixFollower follower;
    private final Set<String> seenLeaving = new HashSet<>();
    private final Set<String> everKnown = new HashSet<>();
    private final Set<String> seenRemoved = new HashSet<>();
    private int newestVersion;

    Node(int index) {
      this.index = index;
      Counters counters = Counters.in(new SimpleMeterRegistry());
      Random nodeRandom = new Random(random.nextLong());
      fleet = Fleet.create(clock, counters, EntryNode.RELIST_GRACE);
      configuration =
          new ConfigurationWatch(
              CONFIGURATION, StoreRestoreSimulation::readConfiguration, counters);
      lease =
          NodeLease.create(
              clock,
              nodeRandom,
              link,
              time.suspensionDetector(),
              VANEWORKS_PREFIX,
              "box" + index,
              "dc1",
              "run" + incarnations++,
              () -> Optional.of(new HostPort("10.1.0.1", 7000 + index)),
              Optional::empty,
              () -> Duration.ofMillis(4750));
      follower =
          PrefixFollower.create(
              clock,
              nodeRandom,
              link,
              counters,
              "",
              () -> Duration.ofMillis(1250),
              () -> Duration.ofMillis(300),
              PrefixRouter.of(
                  ImmutableMap.of(
                      CONFIGURATION,
                      configuration,
                      ENTRIES,
                      new EndpointListWatch(
                          ENTRIES, StoreRestoreSimulation::readEndpoint, fleet, counters),
                      VANEWORKS_PREFIX,
                      lease)),
              time.suspensionDetector());
      follower.start();
      lease.start();
    }

    void stop(boolean planned) {
      if (planned) {
        lease.stop();
      }
      follower.stop();
      link.cut(true);
    }

    ImmutableSet<String> usable() {
      return fleet.usable(SERVICE).stream()
          .map(endpoint -> endpoint.endpoint().id())
          .collect(ImmutableSet.toImmutableSet());
    }

    void check() {
      Set<String> known = new HashSet<>();
      fleet
          .all()
          .forEach(
              endpoint -> {
                known.add(endpoint.endpoint().id());
                if (endpoint.endpoint().leaving()) {
                  seenLeaving.add(endpoint.endpoint().id());
                }
              });
      for (String id : usable()) {
        if (seenLeaving.contains(id)) {
          problems.add("node " + index + " uses " + id + ", which it saw leaving");
        }
        if (seenRemoved.contains(id)) {
          problems.add("node " + index + " uses " + id + ", which it saw removed");
        }
      }
      everKnown.stream()
          .filter(id -> !expectedEntries.containsKey(ENTRIES + id) && !known.contains(id))
          .forEach(seenRemoved::add);
      everKnown.addAll(known);
      checkConfiguration();
      checkController();
    }

    private void checkConfiguration() {
      int current = configuration.newest().map(newest -> (int) newest.version()).orElse(0);
      if (current < newestVersion) {
        problems.add("node " + index + " goes back from " + newestVersion + " to " + current);
      }
      newestVersion = current;
    }

    private void checkController() {
      OptionalLong fence = lease.controllerFence();
      if (fence.isEmpty() || fence.getAsLong() < highestFence) {
        return;
      }
      highestFence = fence.getAsLong();
      Integer former = nodeByFence.putIfAbsent(highestFence, index);
      if (former != null && former != index) {
        problems.add("nodes " + former + " and " + index + " are controllers with the same fence");
      }
    }
  }

  private static EntryConfiguration readConfiguration(StoredItem item) {
    return EntryConfiguration.of(
        Integer.parseInt(item.value()),
        List.of(),
        List.of(),
        ApiKeys.notRequired(),
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private static FleetEndpoint readEndpoint(StoredItem item) {
    String id = item.key().substring(ENTRIES.length());
    HostPort address = new HostPort("10.0.0.1", 1 + Integer.parseInt(id.substring(1)));
    boolean leaving = item.value().equals(LEAVING);
    return new FleetEndpoint(
        id, SERVICE, address, "dc1", 6, leaving, Optional.empty(), "", item.createdAt());
  }

  /** Runs the simulation and returns the problems found. */
  ImmutableList<String> run() {
    write(CONFIGURATION, Integer.toString(++version));
    int count = 1 + random.nextInt(MAX_NODES);
    for (int index = 0; index < count; index++) {
      nodes.add(new Node(index));
    }
    for (int step = 0; step < STEPS; step++) {
      randomAction();
      advance(1 + random.nextInt(MAX_STEP_MILLIS));
    }
    store.down = false;
    nodes.forEach(node -> node.link.cut(false));
    nodes.forEach(node -> node.link.delayAnswers(0));
    advance(SETTLE_MILLIS);
    checkSettled();
    return ImmutableList.copyOf(problems);
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += CHECK_INTERVAL_MILLIS) {
      clock.advance(Duration.ofMillis(Math.min(CHECK_INTERVAL_MILLIS, millis - passed)));
      nodes.forEach(Node::check);
    }
  }

  /** Delays the store's answers to a random node from now on, or ends the delay. */
  private void changeAnswerDelay(Random delayRandom) {
    Node node = nodes.get(delayRandom.nextInt(nodes.size()));
    switch (delayRandom.nextInt(8)) {
      case 0, 1 -> node.link.delayAnswers(delayRandom.nextInt(MAX_ANSWER_DELAY_MILLIS));
      case 2 -> node.link.delayAnswers(0);
      default -> {}
    }
  }

  private void randomAction() {
    delays.ifPresent(this::changeAnswerDelay);
    int index = random.nextInt(nodes.size());
    Node node = nodes.get(index);
    switch (random.nextInt(16)) {
      case 0, 1 -> write(CONFIGURATION, Integer.toString(++version));
      case 2, 3 -> write(ENTRIES + "e" + createdEndpoints++, READY);
      case 4 -> anyEndpoint().ifPresent(key -> write(key, LEAVING));
      case 5 -> anyEndpoint().ifPresent(this::remove);
      case 6 -> node.link.cut(true);
      case 7 -> node.link.cut(false);
      case 8 -> node.time.step(500 + random.nextInt(5000));
      case 9 -> {
        node.stop(random.nextBoolean());
        nodes.set(index, new Node(index));
      }
      case 10, 11 -> store.takeBackup();
      case 12, 13 -> restoreStore();
      case 14 -> store.backupsHaveNoHistory = random.nextBoolean();
      default -> {}
    }
  }

  private Optional<String> anyEndpoint() {
    List<String> keys =
        expectedEntries.keySet().stream().filter(key -> key.startsWith(ENTRIES)).toList();
    return keys.isEmpty() ? Optional.empty() : Optional.of(keys.get(random.nextInt(keys.size())));
  }

  private void write(String key, String value) {
    expectedEntries.put(key, value);
    store.put(key, value);
  }

  private void remove(String key) {
    expectedEntries.remove(key);
    store.remove(key);
  }

  /** Restores the store from its latest backup, with or without an outage before. */
  private void restoreStore() {
    store.down = random.nextBoolean();
    advance(1 + random.nextInt(MAX_STEP_MILLIS));
    store.down = false;
    store.restoreBackup();
    // Opens a lease, whose number may have been issued before the restore.
    CompletableFuture<Long> unused = store.openLease(Duration.ofSeconds(1 + random.nextInt(20)));
    clock.schedule(
        this::rewriteEntries, random.nextInt(MAX_REWRITE_DELAY_MILLIS), TimeUnit.MILLISECONDS);
  }

  /** Writes entries that the store lost, and removes entries that the restore brought back. */
  private void rewriteEntries() {
    expectedEntries.forEach(
        (key, value) -> {
          if (!store.valueOf(key).equals(Optional.of(value))) {
            store.put(key, value);
          }
        });
    store.keys().stream()
        .filter(key -> key.startsWith(ENTRIES) && !expectedEntries.containsKey(key))
        .forEach(store::remove);
  }

  private void checkSettled() {
    ImmutableSet<String> ready =
        expectedEntries.entrySet().stream()
            .filter(entry -> entry.getValue().equals(READY))
            .map(entry -> entry.getKey().substring(ENTRIES.length()))
            .collect(ImmutableSet.toImmutableSet());
    for (Node node : nodes) {
      expect(node, "live nodes", nodes.size(), node.lease.liveNodes());
      expect(node, "usable endpoints", ready, node.usable());
      expect(node, "version", version, node.newestVersion);
    }
    long controllers =
        nodes.stream()
            .filter(node -> node.lease.controllerFence().equals(OptionalLong.of(highestFence)))
            .count();
    if (controllers != 1) {
      problems.add(controllers + " controllers whose orders are accepted");
    }
  }

  private void expect(Node node, String what, Object expected, Object actual) {
    if (!expected.equals(actual)) {
      problems.add("node " + node.index + ": " + what + " " + actual + ", expected " + expected);
    }
  }
}
