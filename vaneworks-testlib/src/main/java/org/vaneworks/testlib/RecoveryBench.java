package org.vaneworks.testlib;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.vaneworks.coordination.NodeLimits;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.coordination.pipeline.PipelineLimits;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Refusal;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures how long a stream stands still when a stage of it is killed, freezes or is cut off.
 *
 * <p>Each trial is a fleet of its own with background streams, one fault, and the longest gap
 * between two tokens of the streams that the fault hit. The naive baseline looks at no progress
 * before the step timeout and runs the whole request again on a new route.
 */
@Command(name = "recovery", description = "Measures recovery from lost stages, in paused time.")
public final class RecoveryBench implements Callable<Integer> {
  private static final int LAYERS = 24;
  private static final int COPIES = 3;
  private static final int STREAMS = 12;
  private static final int TOKENS = 150;
  private static final Duration BEFORE = Duration.ofMillis(1500);
  private static final Duration AFTER = Duration.ofSeconds(60);
  private static final long HIGHEST_MICROS = 600_000_000L;

  /** The ways to lose a stage. */
  private enum Fault {
    KILL,
    FREEZE,
    SLOW_LINK
  }

  /** What is measured. */
  private enum Policy {
    OURS,
    NAIVE
  }

  @Option(names = "--trials", description = "Trials of each fault and policy.")
  private int trials = 100;

  @Option(names = "--seed", description = "Source of all chance.")
  private long seed = 1;

  private RecoveryBench() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new RecoveryBench()).execute(args));
  }

  @Override
  public Integer call() {
    for (Fault fault : Fault.values()) {
      for (Policy policy : Policy.values()) {
        measure(fault, policy);
      }
    }
    return 0;
  }

  private void measure(Fault fault, Policy policy) {
    Histogram gaps = new Histogram(HIGHEST_MICROS, 3);
    int[] counts = new int[2];
    for (int trial = 0; trial < trials; trial++) {
      runTrial(fault, policy, seed + trial, gaps, counts);
    }
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-9s %-5s streams hit %4d failed %3d longest gap p50 %5d p95 %5d max %5d ms",
            fault.name().toLowerCase(Locale.ROOT),
            policy.name().toLowerCase(Locale.ROOT),
            counts[0],
            counts[1],
            gaps.getValueAtPercentile(50) / 1000,
            gaps.getValueAtPercentile(95) / 1000,
            gaps.getMaxValue() / 1000));
  }

  private static NodeLimits limits(Policy policy) {
    if (policy == Policy.OURS) {
      return NodeLimits.defaults();
    }
    Duration timeout = EndpointLimits.defaults().stepTimeout();
    NodeLimits usual =
        NodeLimits.defaults()
            .withStreams(new PipelineLimits(16, Duration.ofSeconds(10), Duration.ofDays(1), 0));
    return new NodeLimits(
        usual.routing(),
        new EndpointLimits(timeout, timeout, 64, 256),
        usual.streams(),
        usual.once(),
        usual.store(),
        usual.stop());
  }

  private static void runTrial(
      Fault fault, Policy policy, long chance, Histogram gaps, int[] counts) {
    Random random = new Random(chance);
    InMemoryFleet fleet = InMemoryFleet.create(LAYERS, chance);
    for (int copy = 0; copy < COPIES; copy++) {
      for (int stage = 0; stage < 3; stage++) {
        fleet.addEngine("e" + stage + copy, stage * 8, stage * 8 + 8, 5 + 3.0 * copy);
      }
    }
    fleet.addNode("n1", limits(policy));
    fleet.settle();
    warmUp(fleet);
    GapSink[] sinks = new GapSink[STREAMS];
    for (int i = 0; i < STREAMS; i++) {
      sinks[i] = new GapSink(fleet.clock());
      start(fleet, "prompt " + i + " " + "word ".repeat(100), sinks[i]);
    }
    fleet.clock().advance(BEFORE.plusMillis(random.nextInt(500)));
    String box = "e" + random.nextInt(3) + random.nextInt(COPIES);
    for (GapSink sink : sinks) {
      sink.faultNow();
    }
    int[] before = ranOn(fleet, box, sinks.length);
    bringAbout(fleet, fault, fleet.addressOf(box));
    fleet.clock().advance(AFTER);
    for (int i = 0; i < sinks.length; i++) {
      if (before[i] > 0 && sinks[i].wasRunning()) {
        counts[0]++;
        counts[1] += sinks[i].isWhole() ? 0 : 1;
        gaps.recordValue(sinks[i].longestGapMicros());
      }
    }
  }

  /** Lets the node learn step times, as a node that has run for a while has. */
  private static void warmUp(InMemoryFleet fleet) {
    for (int i = 0; i < 2 * STREAMS; i++) {
      start(fleet, "warm up " + i, new GapSink(fleet.clock()));
    }
    fleet.clock().advance(Duration.ofSeconds(30));
  }

  private static void start(InMemoryFleet fleet, String prompt, GapSink sink) {
    Runnable unused =
        fleet
            .node("n1")
            .dispatcher()
            .complete(
                InMemoryFleet.WORKSPACE,
                new CompletionBody(prompt, OptionalInt.of(TOKENS)),
                CallerOptions.NONE,
                sink);
  }

  /** Tells which of the streams ran on the box: by the ledgers, prompts name the streams. */
  private static int[] ranOn(InMemoryFleet fleet, String box, int streams) {
    Judge judge = fleet.judge();
    int[] ran = new int[streams];
    for (int i = 0; i < streams; i++) {
      List<LedgerEntry> runs = judge.runsOf("prompt " + i + " " + "word ".repeat(100));
      for (EngineCore engine : fleet.endpoints().engines()) {
        if (engine.options().endpoint().id().box().equals(box)) {
          ran[i] = (int) engine.ledger().stream().filter(runs::contains).count();
        }
      }
    }
    return ran;
  }

  private static void bringAbout(InMemoryFleet fleet, Fault fault, HostPort address) {
    switch (fault) {
      case KILL -> fleet.endpoints().kill(address);
      case FREEZE -> fleet.endpoints().freeze(address);
      case SLOW_LINK -> fleet.endpoints().delay(address, Duration.ofSeconds(2));
    }
  }

  /** Measures the longest gap between two tokens after a fault. */
  private static final class GapSink implements AnswerSink {
    private final PausedExecutor clock;
    private long last = -1;
    private long longest;
    private boolean watched;
    private boolean runningAtFault;
    private boolean ended;
    private boolean whole;

    GapSink(PausedExecutor clock) {
      this.clock = clock;
    }

    void faultNow() {
      watched = true;
      runningAtFault = last >= 0 && !ended;
    }

    boolean wasRunning() {
      return runningAtFault;
    }

    boolean isWhole() {
      return whole;
    }

    long longestGapMicros() {
      return longest / 1000;
    }

    @Override
    public void token(String text) {
      long now = clock.currentTime(TimeUnit.NANOSECONDS);
      longest = watched && last >= 0 ? Math.max(longest, now - last) : longest;
      last = now;
    }

    @Override
    public void complete() {
      ended = true;
      whole = true;
    }

    @Override
    public void failed(Refusal refusal) {
      ended = true;
    }
  }
}
