package org.vaneworks.testlib;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.vaneworks.coordination.Node;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the traffic between nodes and to the store, with a paused clock. */
@Command(name = "control", description = "Measures control traffic by the number of nodes.")
public final class ControlBench implements Callable<Integer> {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(120);

  @Option(names = "--nodes", split = ",", description = "How many nodes.")
  private List<Integer> sizes = List.of(2, 4, 8, 16, 32);

  @Option(names = "--seconds", description = "How long is measured.")
  private int seconds = 120;

  @Option(names = "--changes", description = "Changes of configuration while it is measured.")
  private int changes = 5;

  @Option(names = "--workspaces", description = "Workspaces configured.")
  private int workspaces = 100;

  private ControlBench() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new ControlBench()).execute(args));
  }

  @Override
  public Integer call() {
    sizes.forEach(this::measure);
    return 0;
  }

  private void measure(int size) {
    InMemoryFleet fleet = InMemoryFleet.create(12, size);
    for (int i = 0; i < size; i++) {
      fleet.addNode("n" + i);
    }
    var unused = fleet.apply(configuration());
    fleet.clock().advance(SETTLE_TIME);
    long known = fleet.nodes().stream().mapToLong(node -> node.members().size()).min().orElse(0);
    long messages = fleet.peers().messages();
    long bytes = fleet.peers().bytes();
    Map<String, Long> callsBefore = fleet.store().calls();
    long slowest = 0;
    long cpuNanos = System.nanoTime();
    for (int i = 0; i < changes; i++) {
      slowest = Math.max(slowest, change(fleet, i));
    }
    int remainingSeconds = Math.max(0, seconds - changes * (seconds / Math.max(1, changes)));
    fleet.clock().advance(Duration.ofSeconds(remainingSeconds));
    cpuNanos = System.nanoTime() - cpuNanos;
    double nodeSeconds = (double) size * seconds;
    System.out.println(
        String.format(
            Locale.ROOT,
            "nodes %4d knows %4d messages/node/s %6.2f bytes/node/s %8.1f"
                + " change in force in %5d ms store calls/s %s cpu/node %.3f %%",
            size,
            known,
            (fleet.peers().messages() - messages) / nodeSeconds,
            (fleet.peers().bytes() - bytes) / nodeSeconds,
            slowest,
            rates(callsBefore, fleet.store().calls()),
            cpuNanos / 1e7 / nodeSeconds));
  }

  private String configuration() {
    StringBuilder yaml =
        new StringBuilder("{kind: template, name: t, model: {name: m, layers: 12}}\n");
    for (int i = 0; i < workspaces; i++) {
      yaml.append("---\n{kind: workspace, name: w").append(i).append(", template: t}\n");
    }
    return yaml.toString();
  }

  /**
   * Applies one change and advances the clock by its share of the measured time.
   *
   * @return the time after which the change was in force on all nodes, in milliseconds
   */
  private long change(InMemoryFleet fleet, int number) {
    long target = fleet.nodes().get(0).configuration().version() + 1;
    var unused = fleet.apply("{kind: workspace, name: x" + number + ", template: t}");
    long millisToInForce = 0;
    long stepMillis = 10;
    long shareMillis = seconds * 1000L / changes;
    for (long elapsedMillis = 0; elapsedMillis < shareMillis; elapsedMillis += stepMillis) {
      fleet.clock().advance(Duration.ofMillis(stepMillis));
      if (millisToInForce == 0 && isInForce(fleet, target)) {
        millisToInForce = elapsedMillis + stepMillis;
      }
    }
    return millisToInForce;
  }

  private static boolean isInForce(InMemoryFleet fleet, long version) {
    for (Node node : fleet.nodes()) {
      if (node.configuration().version() < version) {
        return false;
      }
    }
    return true;
  }

  private String rates(Map<String, Long> before, Map<String, Long> after) {
    StringBuilder rates = new StringBuilder();
    after.forEach(
        (kind, count) ->
            rates.append(
                String.format(
                    Locale.ROOT,
                    "%s %.2f ",
                    kind,
                    (count - before.getOrDefault(kind, 0L)) / (double) seconds)));
    return rates.toString().trim();
  }
}
