package org.vaneworks.tests;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ConflictException;
import org.vaneworks.coordination.configuration.StoredConfiguration;
import org.vaneworks.state.ConfigurationHead;
import org.vaneworks.testlib.InMemoryFleet;

/**
 * A random schedule, generated from a seed, of configuration changes and faults: the store fails,
 * loses answers and is slow, links are cut, and nodes freeze, crash and start.
 */
final class ConfigurationSchedule {
  private static final int NODES = 6;
  private static final int SCHEDULE_MILLIS = 30_000;

  /** Target: a change is active on every node within 17 s. */
  private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(17);

  private final Random random;
  private final InMemoryFleet fleet;
  private final List<CompletableFuture<ConfigurationHead>> changes = new ArrayList<>();
  private final Map<Node, List<Long>> versionsByNode = new LinkedHashMap<>();
  private final List<String> problems = new ArrayList<>();
  private int faults;

  private ConfigurationSchedule(long seed) {
    this.random = new Random(seed);
    this.fleet = InMemoryFleet.create(12, seed);
  }

  static Schedules.Result run(long seed) {
    return new ConfigurationSchedule(seed).run();
  }

  private Schedules.Result run() {
    for (int i = 1; i <= NODES; i++) {
      start("n" + i);
    }
    fleet.settle();
    planChanges();
    planFaults();
    fleet.clock().advance(Duration.ofMillis(SCHEDULE_MILLIS));
    clearFaults();
    fleet.clock().advance(MAX_PROPAGATION_TIME);
    check();
    int accepted =
        (int)
            changes.stream()
                .filter(change -> change.isDone() && !change.isCompletedExceptionally())
                .count();
    return new Schedules.Result(
        ImmutableList.copyOf(problems),
        Map.of("changes", changes.size(), "accepted", accepted, "faults", faults));
  }

  private void start(String name) {
    Node node = fleet.addNode(name);
    List<Long> versions = new ArrayList<>();
    versionsByNode.put(node, versions);
    node.configuration().onChange(snapshot -> versions.add(snapshot.version()));
  }

  private void planChanges() {
    int count = 1 + random.nextInt(8);
    for (int i = 0; i < count; i++) {
      boolean sameTemplate = random.nextBoolean();
      int tokens = 10 + i;
      String workspace = "{kind: workspace, name: w" + i + ", template: t}";
      scheduleRandomly(
          () -> changes.add(fleet.apply(sameTemplate ? fleet.configuration(tokens) : workspace)));
    }
  }

  private void planFaults() {
    faults = random.nextInt(10);
    for (int i = 0; i < faults; i++) {
      String name = "n" + (1 + random.nextInt(NODES));
      String other = "n" + (1 + random.nextInt(NODES));
      int kind = random.nextInt(6);
      int count = 1 + random.nextInt(4);
      scheduleRandomly(() -> inject(kind, name, other, count));
    }
  }

  private void inject(int kind, String name, String other, int count) {
    switch (kind) {
      case 0 -> fleet.store().setDown(true);
      case 1 -> fleet.store().loseAnswers(count);
      case 2 -> fleet.store().delayAnswers(Duration.ofMillis(150L * count));
      case 3 -> fleet.freezeNode(name);
      case 4 -> {
        fleet.killNode(name);
        start(name);
      }
      default -> fleet.peers().blockLink(fleet.addressOf(name), fleet.addressOf(other));
    }
  }

  private void clearFaults() {
    fleet.store().setDown(false);
    fleet.store().loseAnswers(0);
    fleet.store().delayAnswers(Duration.ZERO);
    fleet.peers().restoreLinks();
    for (int i = 1; i <= NODES; i++) {
      fleet.thawNode("n" + i);
    }
  }

  private void scheduleRandomly(Runnable task) {
    fleet.clock().schedule(task, Duration.ofMillis(random.nextInt(SCHEDULE_MILLIS)));
  }

  private void check() {
    CompletableFuture<StoredConfiguration> load = fleet.editor().load();
    fleet.clock().runDue();
    ConfigurationHead head = load.join().head();
    for (CompletableFuture<ConfigurationHead> change : changes) {
      if (!change.isDone()) {
        problems.add("a change never ended");
      } else if (!change.isCompletedExceptionally() && change.join().version() > head.version()) {
        problems.add("accepted version " + change.join().version() + " is lost");
      }
    }
    checkConflicts(head);
    Set<Long> versions = new HashSet<>();
    head.history().forEach(record -> versions.add(record.version()));
    if (versions.size() != head.history().size()) {
      problems.add("two changes made one version: " + head.history());
    }
    versionsByNode.forEach(
        (node, each) -> {
          if (!Ordering.natural().isStrictlyOrdered(each)) {
            problems.add(node.settings().identity() + " went back: " + each);
          }
        });
    checkNodes(head);
  }

  /**
   * Checks that changes that were rejected with a conflict are not in the configuration. The
   * identifiers of changes are numbered from 2.
   */
  private void checkConflicts(ConfigurationHead head) {
    for (int i = 0; i < changes.size(); i++) {
      CompletableFuture<ConfigurationHead> change = changes.get(i);
      if (!change.isCompletedExceptionally()) {
        continue;
      }
      Throwable failureCause = change.handle((done, failure) -> Async.causeOf(failure)).join();
      if (failureCause instanceof ConflictException && head.historyContains("change-" + (i + 2))) {
        problems.add("change-" + (i + 2) + " is in force, but was reported as in conflict");
      }
    }
  }

  private void checkNodes(ConfigurationHead head) {
    for (Node node : fleet.nodes()) {
      if (node.configuration().version() != head.version()) {
        problems.add(
            node.settings().identity()
                + " has version "
                + node.configuration().version()
                + " of "
                + head.version());
      }
    }
  }
}
