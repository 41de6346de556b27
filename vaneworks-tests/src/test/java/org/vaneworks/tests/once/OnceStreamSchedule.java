package org.vaneworks.tests.once;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Refusal;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.RecordedAnswer;
import org.vaneworks.tests.Schedules;

/**
 * A random schedule, generated from a seed, of completions with tickets and idempotency keys that
 * run for seconds, each asked for at several nodes, and of faults: nodes stop gracefully, crash,
 * freeze and are replaced, links are cut in one direction, replies are lost and engines pause.
 */
final class OnceStreamSchedule {
  private static final int LAYERS = 12;
  private static final int NODES = 4;
  private static final double STEP_MILLIS = 10;
  private static final int MAX_TOKENS = 600;
  private static final int SCHEDULE_MILLIS = 20_000;
  private static final Duration TIMEOUT = Duration.ofMinutes(10);
  private static final Duration SETTLE_TIME = Duration.ofMinutes(1);

  private record Request(String prompt, int tokens, CallerOptions options) {}

  private record Call(Node node, Request request, RecordedAnswer answer) {}

  private final Random random;
  private final InMemoryFleet fleet;
  private final List<Request> requests = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private int faults;

  private OnceStreamSchedule(long seed) {
    this.random = new Random(seed);
    this.fleet = InMemoryFleet.create(LAYERS, seed);
  }

  static Schedules.Result run(long seed) {
    return new OnceStreamSchedule(seed).run();
  }

  private Schedules.Result run() {
    var unused = fleet.addEngine("a1", 0, LAYERS, STEP_MILLIS);
    var unusedSecond = fleet.addEngine("a2", 0, LAYERS, STEP_MILLIS);
    for (int i = 1; i <= NODES; i++) {
      fleet.addNode("n" + i);
    }
    fleet.settle();
    createRequests();
    planCalls();
    planFaults();
    fleet.clock().advance(Duration.ofMillis(SCHEDULE_MILLIS));
    boolean ended =
        fleet.clock().advanceUntil(() -> calls.stream().allMatch(this::isEnded), TIMEOUT);
    fleet.clock().advance(SETTLE_TIME);
    if (!ended) {
      problems.add("some calls never ended");
    }
    calls.forEach(this::checkAnswer);
    requests.forEach(this::checkRuns);
    int whole = (int) calls.stream().filter(call -> call.answer().isComplete()).count();
    return new Schedules.Result(
        ImmutableList.copyOf(problems),
        Map.of("calls", calls.size(), "whole", whole, "faults", faults));
  }

  /** Returns whether the call has ended; a crash of its node also ends it for the caller. */
  private boolean isEnded(Call call) {
    return call.answer().isEnded() || !fleet.nodes().contains(call.node());
  }

  private void createRequests() {
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      boolean ticket = random.nextInt(3) > 0;
      Optional<String> ticketToken =
          ticket
              ? Optional.of(anyNode().orElseThrow().dispatcher().tickets(1).join().get(0))
              : Optional.empty();
      Optional<String> key = ticket ? Optional.empty() : Optional.of("key" + i);
      requests.add(
          new Request(
              "prompt " + i,
              1 + random.nextInt(MAX_TOKENS),
              new CallerOptions(
                  Optional.of(false), key, ticketToken, Optional.empty(), Optional.empty())));
    }
  }

  private Optional<Node> anyNode() {
    List<Node> nodes = fleet.nodes();
    return nodes.isEmpty()
        ? Optional.empty()
        : Optional.of(nodes.get(random.nextInt(nodes.size())));
  }

  private void planCalls() {
    for (Request request : requests) {
      int times = 1 + random.nextInt(4);
      int first = random.nextInt(SCHEDULE_MILLIS / 2);
      for (int j = 0; j < times; j++) {
        scheduleAfter(
            first + j * random.nextInt(5000),
            () -> anyNode().ifPresent(node -> ask(node, request)));
      }
    }
  }

  private void ask(Node node, Request request) {
    RecordedAnswer answer = RecordedAnswer.to(request.prompt());
    var unused =
        node.dispatcher()
            .complete(
                InMemoryFleet.WORKSPACE,
                new CompletionBody(request.prompt(), OptionalInt.of(request.tokens())),
                request.options(),
                checkingRefusals(answer));
    calls.add(new Call(node, request, answer));
  }

  /**
   * Checks a refusal at the time when the caller receives it: a request that was refused as not run
   * may be started by a later call.
   */
  private AnswerSink checkingRefusals(RecordedAnswer answer) {
    return new AnswerSink() {
      @Override
      public void token(String text) {
        answer.token(text);
      }

      @Override
      public void complete() {
        answer.complete();
      }

      @Override
      public void failed(Refusal refusal) {
        answer.failed(refusal);
        problems.addAll(
            fleet.verifier().problemsOf(answer, MAX_TOKENS, false).stream()
                .map(problem -> answer.prompt() + ": " + problem)
                .toList());
      }
    };
  }

  private void checkAnswer(Call call) {
    if (call.answer().refusal().isEmpty()) {
      problems.addAll(
          fleet.verifier().problemsOf(call.answer(), call.request().tokens(), false).stream()
              .map(problem -> call.request().prompt() + ": " + problem)
              .toList());
    }
  }

  private void checkRuns(Request request) {
    long streams =
        fleet.verifier().runsOf(request.prompt()).stream()
            .map(entry -> entry.session().stream())
            .distinct()
            .count();
    if (streams > 1) {
      problems.add(request.prompt() + " ran " + streams + " times");
    }
  }

  private void planFaults() {
    faults = random.nextInt(8);
    for (int i = 0; i < faults; i++) {
      String name = "n" + (1 + random.nextInt(NODES));
      String other = "n" + (1 + random.nextInt(NODES));
      int kind = random.nextInt(10);
      int length = 100 + random.nextInt(12_000);
      int count = 1 + random.nextInt(3);
      scheduleAfter(
          random.nextInt(SCHEDULE_MILLIS), () -> inject(kind, name, other, length, count));
    }
  }

  private void inject(int kind, String name, String other, int length, int count) {
    boolean running = fleet.nodes().contains(fleet.node(name));
    HostPort address = fleet.addressOf(name);
    HostPort engine = fleet.addressOf(count == 1 ? "a1" : "a2");
    if (kind <= 4 && !running) {
      fleet.addNode(name);
      return;
    }
    switch (kind) {
      case 0 -> fleet.killNode(name);
      case 1 -> {
        fleet.freezeNode(name);
        scheduleAfter(length, () -> fleet.thawNode(name));
      }
      case 2, 3, 4 -> {
        var unused = fleet.stopNode(name);
      }
      case 5, 6 -> {
        fleet.peers().blockLink(address, fleet.addressOf(other));
        scheduleAfter(length, () -> fleet.peers().restoreLinks());
      }
      case 7 -> fleet.peers().loseReplies(address, count);
      case 8 -> {
        fleet.endpoints().freeze(engine);
        scheduleAfter(length, () -> fleet.endpoints().thaw(engine));
      }
      default -> fleet.endpoints().resetConnections(engine);
    }
  }

  private void scheduleAfter(int millis, Runnable task) {
    fleet.clock().schedule(task, Duration.ofMillis(millis));
  }
}
