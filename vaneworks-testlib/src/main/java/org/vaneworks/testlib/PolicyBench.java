package org.vaneworks.testlib;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.routing.RoutingSettings.AdmissionKind;
import org.vaneworks.coordination.routing.RoutingSettings.CostKind;
import org.vaneworks.coordination.routing.RoutingSettings.PolicyKind;
import org.vaneworks.protocol.Json;
import org.vaneworks.telemetry.Metric;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares routing policies under the same seeded load, with a paused clock.
 *
 * <p>The nodes are the product's own. The engines are simulated, with four kinds of accelerators
 * and four link delays from 0.2 to 20 ms.
 */
@Command(name = "bench", description = "Measures policies under the same load, in paused time.")
public final class PolicyBench implements Callable<Integer> {
  private static final int LAYERS = 24;
  private static final int WORKSPACES = 10;
  private static final Duration FIRST_TOKEN = Duration.ofMillis(520);
  private static final Duration BETWEEN_TOKENS = Duration.ofMillis(74);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(20);
  private static final Duration DRAIN_TIME = Duration.ofSeconds(60);

  /** Step times of a stage of eight layers by kind of accelerator. */
  private static final double[] STEP_MILLIS = {4, 7, 12, 20};

  /** One-way delays of the links to engines. */
  private static final double[] LINK_MILLIS = {0.2, 1, 4, 20};

  @Option(names = "--policies", split = ",", description = "Which: ${COMPLETION-CANDIDATES}.")
  private List<PolicyKind> policies = List.of(PolicyKind.values());

  @Option(names = "--admission", description = "For predicted-time.")
  private AdmissionKind admission = AdmissionKind.WITHIN_BOUNDS;

  @Option(names = "--baseline-admission", description = "For the other policies.")
  private AdmissionKind baselineAdmission = AdmissionKind.FIXED;

  @Option(names = "--cost", description = "What fair sharing counts.")
  private CostKind cost = CostKind.REQUESTS;

  @Option(names = "--fixed-cap", description = "Streams of a node on one engine, for fixed.")
  private int fixedCap = 64;

  @Option(names = "--shape", description = "Shape: ${COMPLETION-CANDIDATES}.")
  private LoadProfile.Shape shape = LoadProfile.Shape.STEADY;

  @Option(names = "--rates", split = ",", description = "Requests a second.")
  private List<Double> rates = List.of(40.0);

  @Option(names = "--seconds", description = "How long requests arrive that are measured.")
  private int seconds = 30;

  @Option(names = "--warm-up", description = "How long requests arrive before, seconds.")
  private int warmUp = 10;

  @Option(names = "--nodes", description = "How many nodes.")
  private int nodes = 8;

  @Option(names = "--engines", description = "How many engines.")
  private int engines = 30;

  @Option(names = "--seed", description = "Source of all chance.")
  private long seed = 1;

  @Option(names = "--kill-every", description = "Kill an engine this often, seconds; 0 is never.")
  private int killEvery;

  @Option(names = "--json", description = "Print documents in place of lines.")
  private boolean json;

  private PolicyBench() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(
        new CommandLine(new PolicyBench()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
  }

  @Override
  public Integer call() {
    for (double rate : rates) {
      for (PolicyKind policy : policies) {
        measure(policy, rate);
      }
    }
    return 0;
  }

  private void measure(PolicyKind policy, double rate) {
    boolean predictsTime = policy == PolicyKind.PREDICTED_TIME;
    RoutingSettings routing =
        new RoutingSettings(
            policy, predictsTime ? admission : baselineAdmission, cost, fixedCap, 0.1);
    InMemoryFleet fleet = createFleet(routing);
    PausedExecutor clock = fleet.clock();
    LoadReport report =
        LoadReport.create(
            FIRST_TOKEN, BETWEEN_TOKENS, () -> clock.currentTime(TimeUnit.NANOSECONDS));
    LoadReport warmUpReport =
        LoadReport.create(
            FIRST_TOKEN, BETWEEN_TOKENS, () -> clock.currentTime(TimeUnit.NANOSECONDS));
    scheduleArrivals(fleet, LoadProfile.Shape.STEADY, rate, warmUp, seed + 1, warmUpReport);
    clock.advance(Duration.ofSeconds(warmUp));
    scheduleArrivals(fleet, shape, rate, seconds, seed, report);
    scheduleKills(fleet);
    clock.advance(Duration.ofSeconds(seconds).plus(DRAIN_TIME));
    print(policy, rate, report, fleet);
  }

  private void scheduleArrivals(
      InMemoryFleet fleet,
      LoadProfile.Shape kind,
      double rate,
      int length,
      long profileSeed,
      LoadReport report) {
    Random balancer = new Random(profileSeed);
    LoadProfile profile =
        LoadProfile.withDefaults(kind, rate, Duration.ofSeconds(length), profileSeed);
    for (LoadProfile.Arrival arrival : profile.arrivals()) {
      String node = "n" + balancer.nextInt(nodes);
      fleet
          .clock()
          .schedule(() -> send(fleet.node(node), arrival, report, fleet.clock()), arrival.at());
    }
  }

  private InMemoryFleet createFleet(RoutingSettings routing) {
    InMemoryFleet fleet = InMemoryFleet.create(LAYERS, seed);
    for (int i = 0; i < engines; i++) {
      int stage = i % 3;
      int kind = (i / 3) % STEP_MILLIS.length;
      int link = (i * 7 / 5) % LINK_MILLIS.length;
      fleet.addEngine(
          "e" + i,
          stage * 8,
          stage * 8 + 8,
          STEP_MILLIS[kind],
          "kind" + kind,
          Duration.ofNanos((long) (LINK_MILLIS[link] * 1e6)));
    }
    for (int i = 0; i < nodes; i++) {
      fleet.addNode("n" + i, NodeLimits.defaults().withRouting(routing));
    }
    var unused = fleet.apply(configuration());
    fleet.clock().advance(SETTLE_TIME);
    return fleet;
  }

  private static String configuration() {
    StringBuilder yaml =
        new StringBuilder(
            "{kind: template, name: t, model: {name: model, layers: 24}, limits: {maxInFlight:"
                + " 100000, maxQueue: 100}, bounds: {firstTokenMs: 520, betweenTokensMs: 74}}\n");
    for (int i = 0; i < WORKSPACES; i++) {
      yaml.append("---\n{kind: workspace, name: w").append(i).append(", template: t}\n");
    }
    return yaml.toString();
  }

  private static void send(
      Node node, LoadProfile.Arrival arrival, LoadReport report, PausedExecutor clock) {
    CallerOptions options =
        new CallerOptions(
            Optional.of(arrival.repeatable()),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    long due = clock.currentTime(TimeUnit.NANOSECONDS);
    Runnable unused =
        node.dispatcher()
            .complete(
                "w" + arrival.workspace(),
                new CompletionBody(arrival.prompt(), OptionalInt.of(arrival.tokens())),
                options,
                report.measure(arrival.workspace(), due));
  }

  private void scheduleKills(InMemoryFleet fleet) {
    Random random = new Random(seed);
    for (int at = killEvery; killEvery > 0 && at < seconds; at += killEvery) {
      String box = "e" + random.nextInt(engines);
      fleet
          .clock()
          .schedule(() -> fleet.endpoints().kill(fleet.addressOf(box)), Duration.ofSeconds(at));
    }
  }

  private void print(PolicyKind policy, double rate, LoadReport report, InMemoryFleet fleet) {
    double retries = 0;
    for (int i = 0; i < nodes; i++) {
      retries += fleet.counters("n" + i).value(Metric.RETRIES, "overloaded");
      retries += fleet.counters("n" + i).value(Metric.RETRIES, "lost");
    }
    if (json) {
      System.out.println(
          Json.write(
              report
                  .toJson()
                  .put("policy", policy.name())
                  .put("rate", rate)
                  .put("retries", retries)));
      return;
    }
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-15s rate %6.1f good/s %6.1f retries %3.0f | %s",
            policy.name().toLowerCase(Locale.ROOT),
            rate,
            (double) report.goodCount() / seconds,
            retries,
            report.toLine()));
  }
}
