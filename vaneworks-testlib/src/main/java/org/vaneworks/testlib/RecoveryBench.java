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
 * Measures how long a stream is interrupted if one of its stages is killed, freezes or gets a slow
 * link.
 *
 * <p>Each trial uses a new fleet with several concurrent streams, injects one fault, and records
 * the longest gap between two tokens of each affected stream. The naive baseline does not detect
 * missing progress before the step timeout and then reruns the complete request on a new route.
 */
@Command(name = "recovery", description = "Measures recovery from lost stages, in paused time.")
public final class RecoveryBench implements Callable<Integer> {
  private static final int LAYERS = 24;
  private static final int REPLICAS = 3;
  private static final int STREAMS = 12;
  private static final int TOKENS = 150;
  private static final Duration TIME_BEFORE_FAULT = Duration.ofMillis(1500);
  private static final Duration TIME_AFTER_FAULT = Duration.ofSeconds(60);
  private static final long MAX_MICROS = 600_000_000L;

  /** The injected faults. */
  private enum Fault {
    KILL,
    FREEZE,
    SLOW_LINK
  }

  /** The compared recovery policies. */
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
    Histogram gaps = new Histogram(MAX_MICROS, 3);
    int[] hitAndFailed = new int[2];
    for (int trial = 0; trial < trials; trial++) {
      runTrial(fault, policy, seed + trial, gaps, hitAndFailed);
    }
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-9s %-5s streams hit %4d failed %3d longest gap p50 %5d p95 %5d max %5d ms",
            fault.name().toLowerCase(Locale.ROOT),
            policy.name().toLowerCase(Locale.ROOT),
            hitAndFailed[0],
            hitAndFailed[1],
            gaps.getValueAtPercentile(50) / 1000,
            gaps.getValueAtPercentile(95) / 1000,
            gaps.getMaxValue() / 1000));
  }

  private static NodeLimits limits(Policy policy) {
    if (policy == Policy.OURS) {
      return NodeLimits.defaults();
    }
    Duration timeout = EndpointLimits.defaults().stepTimeout();
    NodeLimits defaults =
        NodeLimits.defaults()
            .withStreams(new PipelineLimits(16, Duration.ofSeconds(10), Duration.ofDays(1), 0));
    return new NodeLimits(
        defaults.routing(),
        new EndpointLimits(timeout, timeout, 64, 256),
        defaults.streams(),
        defaults.once(),
        defaults.store(),
        defaults.stop());
  }

  private static void runTrial(
      Fault fault, Policy policy, long trialSeed, Histogram gaps, int[] hitAndFailed) {
    Random random = new Random(trialSeed);
    InMemoryFleet fleet = InMemoryFleet.create(LAYERS, trialSeed);
    for (int replica = 0; replica < REPLICAS; replica++) {
      for (int stage = 0; stage < 3; stage++) {
        fleet.addEngine("e" + stage + replica, stage * 8, stage * 8 + 8, 5 + 3.0 * replica);
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
    fleet.clock().advance(TIME_BEFORE_FAULT.plusMillis(random.nextInt(500)));
    String box = "e" + random.nextInt(3) + random.nextInt(REPLICAS);
    for (GapSink sink : sinks) {
      sink.markFault();
    }
    int[] entriesBefore = ledgerEntriesOn(fleet, box, sinks.length);
    injectFault(fleet, fault, fleet.addressOf(box));
    fleet.clock().advance(TIME_AFTER_FAULT);
    for (int i = 0; i < sinks.length; i++) {
      if (entriesBefore[i] > 0 && sinks[i].wasRunningAtFault()) {
        hitAndFailed[0]++;
        hitAndFailed[1] += sinks[i].isComplete() ? 0 : 1;
        gaps.recordValue(sinks[i].longestGapMicros());
      }
    }
  }

  /** Sends streams from which the node learns step times, as in normal operation. */
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

  /** Returns the number of ledger entries of each stream on a box; prompts identify the streams. */
  private static int[] ledgerEntriesOn(InMemoryFleet fleet, String box, int streams) {
    AnswerVerifier verifier = fleet.verifier();
    int[] entries = new int[streams];
    for (int i = 0; i < streams; i++) {
      List<LedgerEntry> runs = verifier.runsOf("prompt " + i + " " + "word ".repeat(100));
      for (EngineCore engine : fleet.endpoints().engines()) {
        if (engine.options().endpoint().id().box().equals(box)) {
          entries[i] = (int) engine.ledger().stream().filter(runs::contains).count();
        }
      }
    }
    return entries;
  }

  private static void injectFault(InMemoryFleet fleet, Fault fault, HostPort address) {
    switch (fault) {
      case KILL -> fleet.endpoints().kill(address);
      case FREEZE -> fleet.endpoints().freeze(address);
      case SLOW_LINK -> fleet.endpoints().setDelay(address, Duration.ofSeconds(2));
    }
  }

  /** Measures the longest gap between two tokens after the fault. */
  private static final class GapSink implements AnswerSink {
    private final PausedExecutor clock;
    private long last = -1;
    private long longest;
    private boolean measuring;
    private boolean runningAtFault;
    private boolean ended;
    private boolean complete;

    GapSink(PausedExecutor clock) {
      this.clock = clock;
    }

    void markFault() {
      measuring = true;
      runningAtFault = last >= 0 && !ended;
    }

    boolean wasRunningAtFault() {
      return runningAtFault;
    }

    boolean isComplete() {
      return complete;
    }

    long longestGapMicros() {
      return longest / 1000;
    }

    @Override
    public void token(String text) {
      long now = clock.currentTime(TimeUnit.NANOSECONDS);
      longest = measuring && last >= 0 ? Math.max(longest, now - last) : longest;
      last = now;
    }

    @Override
    public void complete() {
      ended = true;
      complete = true;
    }

    @Override
    public void failed(Refusal refusal) {
      ended = true;
    }
  }
}
