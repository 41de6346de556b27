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
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.shared.BoxTime;
import org.vaneworks.tests.shared.StoreInMemory;
import org.vaneworks.tests.shared.StoreLink;

/**
 * A random course of nodes before a store that comes back from older copies, under a paused clock.
 *
 * <p>Meanwhile nodes start again, are cut off and suspended, the operator writes configurations,
 * endpoints come, announce their end and go. The operator and the endpoints write again what the
 * store forgot. One engine takes orders of whoever is the controller, and refuses lower fences.
 */
final class StoreRestoreSimulation {
  private static final String OWN = "vaneworks/";
  private static final String ENTRIES = "servers/";
  private static final String CONFIGURATION = "op/config";
  private static final String SERVICE = "records";
  private static final String READY = "ready";
  private static final String LEAVING = "leaving";
  private static final int MOST_NODES = 5;
  private static final int STEPS = 60;
  private static final int LONGEST_STEP_MILLIS = 800;
  private static final int LOOK_MILLIS = 100;
  private static final int LONGEST_ANSWER_MILLIS = 700;
  private static final int WRITTEN_AGAIN_WITHIN_MILLIS = 1500;

  /** A node's entry that nobody renews lapses within twelve seconds; some more for the rest. */
  private static final int CALM_MILLIS = 20_000;

  private final PausedExecutor clock = PausedExecutor.create();
  private final StoreInMemory store = new StoreInMemory(clock);
  private final Random random;
  private Optional<Random> lateness = Optional.empty();
  private final List<Node> nodes = new ArrayList<>();
  private final Set<String> problems = new LinkedHashSet<>();

  /** What the operator and the endpoints have written last. */
  private final Map<String, String> truth = new TreeMap<>();

  private final Map<Long, Integer> nodeByFence = new HashMap<>();
  private long highestFence;
  private int version;
  private int endpoints;
  private int runs;

  StoreRestoreSimulation(long seed) {
    random = new Random(seed);
  }

  /**
   * Makes a course in which some nodes get the store's answers late, also across its returns; what
   * else happens is that of the seed.
   */
  static StoreRestoreSimulation withLateAnswers(long seed) {
    StoreRestoreSimulation course = new StoreRestoreSimulation(seed);
    course.lateness = Optional.of(new Random(~seed));
    return course;
  }

  /** One run of a node. */
  private final class Node {
    private final int place;
    private final StoreLink link = new StoreLink(clock, store);
    private final BoxTime time = new BoxTime(clock);
    private final Fleet fleet;
    private final ConfigurationWatch configuration;
    private final NodeLease lease;
    private final PrefixFollower follower;
    private final Set<String> sawLeaving = new HashSet<>();
    private final Set<String> everKnown = new HashSet<>();
    private final Set<String> sawGone = new HashSet<>();
    private int newestVersion;

    Node(int place) {
      this.place = place;
      Counters counters = Counters.in(new SimpleMeterRegistry());
      Random chance = new Random(random.nextLong());
      fleet = Fleet.create(clock, counters, EntryNode.RELIST_GRACE);
      configuration = new ConfigurationWatch(CONFIGURATION, StoreRestoreSimulation::configuration);
      lease =
          NodeLease.create(
              clock,
              chance,
              link,
              time.watch(),
              OWN,
              "box" + place,
              "dc1",
              "run" + runs++,
              () -> Optional.of(new HostPort("10.1.0.1", 7000 + place)));
      follower =
          PrefixFollower.create(
              clock,
              chance,
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
                          ENTRIES, StoreRestoreSimulation::endpoint, fleet, counters),
                      OWN,
                      lease)),
              time.watch());
      follower.start();
      lease.start();
    }

    void end(boolean planned) {
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

    void look() {
      Set<String> known = new HashSet<>();
      fleet
          .all()
          .forEach(
              endpoint -> {
                known.add(endpoint.endpoint().id());
                if (endpoint.endpoint().leaving()) {
                  sawLeaving.add(endpoint.endpoint().id());
                }
              });
      for (String id : usable()) {
        if (sawLeaving.contains(id)) {
          problems.add("node " + place + " uses " + id + ", which it saw to leave");
        }
        if (sawGone.contains(id)) {
          problems.add("node " + place + " uses " + id + ", which it saw to go");
        }
      }
      everKnown.stream()
          .filter(id -> !truth.containsKey(ENTRIES + id) && !known.contains(id))
          .forEach(sawGone::add);
      everKnown.addAll(known);
      lookAtConfiguration();
      order();
    }

    private void lookAtConfiguration() {
      int seen = configuration.newest().map(read -> (int) read.version()).orElse(0);
      if (seen < newestVersion) {
        problems.add("node " + place + " goes back from " + newestVersion + " to " + seen);
      }
      newestVersion = seen;
    }

    private void order() {
      OptionalLong fence = lease.controllerFence();
      if (fence.isEmpty() || fence.getAsLong() < highestFence) {
        return;
      }
      highestFence = fence.getAsLong();
      Integer former = nodeByFence.putIfAbsent(highestFence, place);
      if (former != null && former != place) {
        problems.add("nodes " + former + " and " + place + " order under one fence");
      }
    }
  }

  private static EntryConfiguration configuration(StoredItem item) {
    return EntryConfiguration.of(
        Integer.parseInt(item.value()),
        List.of(),
        List.of(),
        Map.of(),
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private static FleetEndpoint endpoint(StoredItem item) {
    String id = item.key().substring(ENTRIES.length());
    HostPort address = new HostPort("10.0.0.1", 1 + Integer.parseInt(id.substring(1)));
    boolean leaving = item.value().equals(LEAVING);
    return new FleetEndpoint(
        id, SERVICE, address, "dc1", 6, leaving, Optional.empty(), "", item.createdAt());
  }

  /** Plays the course; returns what is wrong. */
  ImmutableList<String> play() {
    write(CONFIGURATION, Integer.toString(++version));
    int count = 1 + random.nextInt(MOST_NODES);
    for (int place = 0; place < count; place++) {
      nodes.add(new Node(place));
    }
    for (int step = 0; step < STEPS; step++) {
      act();
      advance(1 + random.nextInt(LONGEST_STEP_MILLIS));
    }
    store.down = false;
    nodes.forEach(node -> node.link.cut(false));
    nodes.forEach(node -> node.link.late(0));
    advance(CALM_MILLIS);
    judgeCalm();
    return ImmutableList.copyOf(problems);
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += LOOK_MILLIS) {
      clock.advance(Duration.ofMillis(Math.min(LOOK_MILLIS, millis - passed)));
      nodes.forEach(Node::look);
    }
  }

  /** Lets answers to a node take a time from now on, or come at once. */
  private void makeLate(Random chance) {
    Node node = nodes.get(chance.nextInt(nodes.size()));
    switch (chance.nextInt(8)) {
      case 0, 1 -> node.link.late(chance.nextInt(LONGEST_ANSWER_MILLIS));
      case 2 -> node.link.late(0);
      default -> {}
    }
  }

  private void act() {
    lateness.ifPresent(this::makeLate);
    int place = random.nextInt(nodes.size());
    Node node = nodes.get(place);
    switch (random.nextInt(16)) {
      case 0, 1 -> write(CONFIGURATION, Integer.toString(++version));
      case 2, 3 -> write(ENTRIES + "e" + endpoints++, READY);
      case 4 -> anyEndpoint().ifPresent(key -> write(key, LEAVING));
      case 5 -> anyEndpoint().ifPresent(this::remove);
      case 6 -> node.link.cut(true);
      case 7 -> node.link.cut(false);
      case 8 -> node.time.step(500 + random.nextInt(5000));
      case 9 -> {
        node.end(random.nextBoolean());
        nodes.set(place, new Node(place));
      }
      case 10, 11 -> store.takeCopy();
      case 12, 13 -> comeBack();
      case 14 -> store.copiesHaveNoHistory = random.nextBoolean();
      default -> {}
    }
  }

  private Optional<String> anyEndpoint() {
    List<String> keys = truth.keySet().stream().filter(key -> key.startsWith(ENTRIES)).toList();
    return keys.isEmpty() ? Optional.empty() : Optional.of(keys.get(random.nextInt(keys.size())));
  }

  private void write(String key, String value) {
    truth.put(key, value);
    store.put(key, value);
  }

  private void remove(String key) {
    truth.remove(key);
    store.remove(key);
  }

  /** The store is away for a moment, perhaps, and is then as it was when it was copied last. */
  private void comeBack() {
    store.down = random.nextBoolean();
    advance(1 + random.nextInt(LONGEST_STEP_MILLIS));
    store.down = false;
    store.comeBackFromCopy();
    // Leases that it gives out take numbers that were given out before.
    CompletableFuture<Long> unused = store.openLease(Duration.ofSeconds(1 + random.nextInt(20)));
    clock.schedule(
        this::writeAgain, random.nextInt(WRITTEN_AGAIN_WITHIN_MILLIS), TimeUnit.MILLISECONDS);
  }

  /** The operator and the endpoints write what the store forgot; it was away for the rest. */
  private void writeAgain() {
    truth.forEach(
        (key, value) -> {
          if (!store.valueOf(key).equals(Optional.of(value))) {
            store.put(key, value);
          }
        });
    store.keys().stream()
        .filter(key -> key.startsWith(ENTRIES) && !truth.containsKey(key))
        .forEach(store::remove);
  }

  private void judgeCalm() {
    ImmutableSet<String> ready =
        truth.entrySet().stream()
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
      problems.add(controllers + " controllers whose orders are taken");
    }
  }

  private void expect(Node node, String what, Object expected, Object seen) {
    if (!expected.equals(seen)) {
      problems.add("node " + node.place + ": " + what + " " + seen + ", expected " + expected);
    }
  }
}
