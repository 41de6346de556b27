package org.vaneworks.tests.pipeline;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;
import org.vaneworks.tests.Schedules;

/**
 * A random schedule, generated from a seed, of streams over engines that never die: they pause,
 * have no room for a while, are far away for a while, and their connections are reset.
 *
 * <p>Every stream must be delivered completely, except one that may not run twice and whose
 * connection was reset.
 */
final class PausedEngineSchedule {
  private static final int LAYERS = 12;
  private static final int SPLIT_LAYER = 6;
  private static final int LEARNING_STREAMS = 8;
  private static final int LEARNING_TOKENS = 60;
  private static final int MAX_TOKENS = 400;
  private static final int SCHEDULE_MILLIS = 6_000;
  private static final int MAX_PAUSE_MILLIS = 7_000;
  private static final int MAX_OVERLOAD_MILLIS = 3_000;
  private static final Duration TIMEOUT = Duration.ofMinutes(5);
  private static final Duration SETTLE_TIME = Duration.ofMinutes(1);

  private record Sent(RecordedAnswer answer, int tokens, boolean repeatable) {}

  private final Random random;
  private final InMemoryFleet fleet;
  private final List<HostPort> engines = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  private boolean resets;
  private int faults;

  private PausedEngineSchedule(long seed) {
    this.random = new Random(seed);
    this.fleet = InMemoryFleet.create(LAYERS, seed);
  }

  static Schedules.Result run(long seed) {
    return new PausedEngineSchedule(seed).run();
  }

  private Schedules.Result run() {
    startFleet();
    planStreams();
    planFaults();
    fleet.clock().advance(Duration.ofMillis(SCHEDULE_MILLIS));
    List<String> problems = new ArrayList<>();
    if (!fleet.clock().advanceUntil(this::allEnded, TIMEOUT)) {
      problems.add("some streams never ended");
    }
    fleet.clock().advance(SETTLE_TIME);
    checkStreams(problems);
    checkNothingIsLeft(problems);
    int whole = (int) sent.stream().filter(each -> each.answer().isComplete()).count();
    return new Schedules.Result(
        ImmutableList.copyOf(problems),
        Map.of("streams", sent.size(), "whole", whole, "faults", faults));
  }

  private void startFleet() {
    int perRange = 1 + random.nextInt(2);
    for (int i = 1; i <= perRange; i++) {
      addEngine("a" + i, 0, SPLIT_LAYER);
      addEngine("b" + i, SPLIT_LAYER, LAYERS);
    }
    if (random.nextBoolean()) {
      addEngine("c1", 0, LAYERS);
    }
    var unused = fleet.addNode("n1");
    fleet.settle();
    List<RecordedAnswer> learning = new ArrayList<>();
    for (int i = 0; i < LEARNING_STREAMS; i++) {
      learning.add(fleet.ask("n1", "learning " + i, LEARNING_TOKENS, CallerOptions.NONE));
    }
    boolean unusedEnd =
        fleet
            .clock()
            .advanceUntil(() -> learning.stream().allMatch(RecordedAnswer::isComplete), TIMEOUT);
  }

  private void addEngine(String box, int from, int to) {
    EngineCore engine = fleet.addEngine(box, from, to, 2 + random.nextInt(6));
    engines.add(engine.options().endpoint().address());
  }

  private void planStreams() {
    int count = 4 + random.nextInt(12);
    for (int i = 0; i < count; i++) {
      String prompt = "prompt " + i;
      int tokens = 200 + random.nextInt(MAX_TOKENS);
      boolean repeatable = random.nextInt(10) < 7;
      CallerOptions options =
          new CallerOptions(
              Optional.of(repeatable),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty());
      scheduleAfter(
          random.nextInt(500),
          () -> sent.add(new Sent(fleet.ask("n1", prompt, tokens, options), tokens, repeatable)));
    }
  }

  private void planFaults() {
    faults = 2 + random.nextInt(9);
    resets = random.nextBoolean();
    for (int i = 0; i < faults; i++) {
      HostPort engine = engines.get(random.nextInt(engines.size()));
      int kind = random.nextInt(resets ? 4 : 3);
      int pause = 50 + random.nextInt(MAX_PAUSE_MILLIS);
      int overload = 50 + random.nextInt(MAX_OVERLOAD_MILLIS);
      scheduleAfter(
          600 + random.nextInt(SCHEDULE_MILLIS - 600), () -> inject(kind, engine, pause, overload));
    }
  }

  private void inject(int kind, HostPort engine, int pause, int overload) {
    switch (kind) {
      case 0 -> {
        fleet.endpoints().freeze(engine);
        scheduleAfter(pause, () -> fleet.endpoints().thaw(engine));
      }
      case 1 -> {
        fleet.endpoints().setOverloaded(engine, true);
        scheduleAfter(overload, () -> fleet.endpoints().setOverloaded(engine, false));
      }
      case 2 -> {
        fleet.endpoints().setDelay(engine, Duration.ofMillis(overload / 10));
        scheduleAfter(pause, () -> fleet.endpoints().setDelay(engine, Duration.ofMillis(1)));
      }
      default -> fleet.endpoints().resetConnections(engine);
    }
  }

  private void scheduleAfter(int millis, Runnable task) {
    fleet.clock().schedule(task, Duration.ofMillis(millis));
  }

  private boolean allEnded() {
    return sent.stream().allMatch(each -> each.answer().isEnded());
  }

  private void checkStreams(List<String> problems) {
    for (Sent each : sent) {
      problems.addAll(fleet.verifier().problemsOf(each.answer(), each.tokens(), each.repeatable()));
      boolean mayFail = !each.repeatable() && resets;
      boolean beganToBeDelivered = !each.answer().tokens().isEmpty();
      if (!each.answer().isComplete() && beganToBeDelivered && !mayFail) {
        problems.add(
            each.answer().prompt()
                + (each.repeatable() ? "" : ", not repeatable,")
                + " ended early: "
                + each.answer().refusal());
      }
    }
  }

  private void checkNothingIsLeft(List<String> problems) {
    for (EngineCore engine : fleet.endpoints().engines()) {
      if (engine.sessions() > 0) {
        problems.add(engine.options().endpoint().id() + " has " + engine.sessions() + " sessions");
      }
    }
    for (EndpointState engine : fleet.node("n1").endpoints().all()) {
      if (engine.inFlight() != 0) {
        problems.add(engine.endpoint().id() + " has " + engine.inFlight() + " streams in flight");
      }
    }
    if (fleet.node("n1").inFlight() != 0) {
      problems.add("the node has " + fleet.node("n1").inFlight() + " requests in flight");
    }
  }
}
