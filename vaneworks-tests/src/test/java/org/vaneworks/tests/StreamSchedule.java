package org.vaneworks.tests;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.HostPort;
import org.vaneworks.testlib.AnswerVerifier;
import org.vaneworks.testlib.EngineCore;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;

/**
 * A random schedule, generated from a seed, of completions and engine faults.
 *
 * <p>The engines {@code safe1} and {@code safe2} hold all layers and have no faults, so no
 * repeatable request may fail.
 */
final class StreamSchedule {
  private static final int LAYERS = 12;
  private static final int[] LAYER_BOUNDARIES = {0, 3, 5, 6, 8, 12};
  private static final int MAX_TOKENS = 40;
  private static final int SCHEDULE_MILLIS = 2000;
  private static final Duration TIMEOUT = Duration.ofMinutes(3);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(15);

  private record SentRequest(RecordedAnswer answer, int tokens, boolean repeatable) {}

  private final Random random;
  private final InMemoryFleet fleet;
  private final List<String> faultyBoxes = new ArrayList<>();
  private final List<SentRequest> sentRequests = new ArrayList<>();
  private int faults;

  private StreamSchedule(long seed) {
    this.random = new Random(seed);
    this.fleet = InMemoryFleet.create(LAYERS, seed);
  }

  static Schedules.Result run(long seed) {
    return new StreamSchedule(seed).run();
  }

  private Schedules.Result run() {
    startFleet();
    planRequests();
    planFaults();
    fleet.clock().advance(Duration.ofMillis(SCHEDULE_MILLIS));
    boolean ended = fleet.clock().advanceUntil(this::allEnded, TIMEOUT);
    fleet.clock().advance(SETTLE_TIME);
    List<String> problems = new ArrayList<>();
    if (!ended) {
      problems.add("some requests never ended");
    }
    checkResults(problems);
    return new Schedules.Result(
        ImmutableList.copyOf(problems), Map.of("requests", sentRequests.size(), "faults", faults));
  }

  private void startFleet() {
    fleet.addEngine("safe1", 0, 5, 1 + random.nextInt(8));
    fleet.addEngine("safe2", 5, LAYERS, 1 + random.nextInt(8));
    int others = 3 + random.nextInt(5);
    for (int i = 0; i < others; i++) {
      int from = random.nextInt(LAYER_BOUNDARIES.length - 1);
      int to = from + 1 + random.nextInt(LAYER_BOUNDARIES.length - from - 1);
      fleet.addEngine(
          "victim" + i, LAYER_BOUNDARIES[from], LAYER_BOUNDARIES[to], 1 + random.nextInt(8));
      faultyBoxes.add("victim" + i);
    }
    fleet.addNode("n1");
    fleet.addNode("n2");
    fleet.settle();
  }

  private void planRequests() {
    int count = 3 + random.nextInt(10);
    for (int i = 0; i < count; i++) {
      String node = random.nextBoolean() ? "n1" : "n2";
      int tokens = 1 + random.nextInt(MAX_TOKENS);
      boolean repeatable = random.nextInt(10) < 7;
      String prompt = "p" + i + "x".repeat(random.nextInt(600));
      scheduleRandomly(
          () ->
              sentRequests.add(
                  new SentRequest(ask(node, prompt, tokens, repeatable), tokens, repeatable)));
    }
  }

  private RecordedAnswer ask(String node, String prompt, int tokens, boolean repeatable) {
    CallerOptions options =
        new CallerOptions(
            Optional.of(repeatable),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    return fleet.ask(node, prompt, tokens, options);
  }

  private void planFaults() {
    faults = random.nextInt(10);
    for (int i = 0; i < faults; i++) {
      String box = faultyBoxes.get(random.nextInt(faultyBoxes.size()));
      HostPort address = fleet.addressOf(box);
      int kind = random.nextInt(7);
      int count = 1 + random.nextInt(6);
      Duration pause = Duration.ofMillis(50 + random.nextInt(8000));
      scheduleRandomly(
          () -> {
            switch (kind) {
              case 0 -> fleet.endpoints().kill(address);
              case 1 -> freezeFor(address, pause);
              case 2 -> fleet.endpoints().loseAnswers(address, count);
              case 3 -> fleet.endpoints().exchangeAnswers(address, 2 * count);
              case 4 -> fleet.endpoints().setDelay(address, Duration.ofMillis(30L * count));
              case 5 -> fleet.endpoints().markLeaving(address);
              default -> fleet.boxes().markLeaving(box);
            }
          });
    }
  }

  private void freezeFor(HostPort address, Duration pause) {
    fleet.endpoints().freeze(address);
    fleet.clock().schedule(() -> fleet.endpoints().thaw(address), pause);
  }

  private void scheduleRandomly(Runnable task) {
    fleet.clock().schedule(task, Duration.ofMillis(random.nextInt(SCHEDULE_MILLIS)));
  }

  private boolean allEnded() {
    return sentRequests.stream().allMatch(sent -> sent.answer().isEnded());
  }

  private void checkResults(List<String> problems) {
    AnswerVerifier judge = fleet.verifier();
    for (SentRequest sent : sentRequests) {
      problems.addAll(judge.problemsOf(sent.answer(), sent.tokens(), sent.repeatable()));
      if (sent.repeatable() && !sent.answer().isComplete()) {
        problems.add("repeatable, but failed: " + sent.answer().refusal());
      }
    }
    for (EngineCore engine : fleet.endpoints().engines()) {
      String box = engine.options().endpoint().id().box();
      if (box.startsWith("safe") && engine.sessions() > 0) {
        problems.add(box + " still holds " + engine.sessions() + " sessions");
      }
    }
    fleet.nodes().stream()
        .filter(node -> node.inFlight() != 0)
        .forEach(node -> problems.add("in flight: " + node.inFlight()));
  }
}
