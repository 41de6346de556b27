package org.vaneworks.tests;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.Node;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.Verdict;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.ServiceCore;

/**
 * A random schedule, generated from a seed, of service calls with tickets and idempotency keys,
 * each repeated on several nodes, and of faults: nodes crash, freeze, stop gracefully and are
 * replaced, links are cut in one direction, replies are lost and the store fails.
 */
final class OnceSchedule {
  private static final int NODES = 5;
  private static final int SCHEDULE_MILLIS = 30_000;
  private static final Duration TIMEOUT = Duration.ofMinutes(10);
  private static final Duration SETTLE_TIME = Duration.ofMinutes(1);

  private record Call(Node node, CompletableFuture<ServiceReply> reply) {}

  private final Random random;
  private final InMemoryFleet fleet;
  private final ServiceCore records;
  private final List<CallerOptions> options = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private int faults;

  private OnceSchedule(long seed) {
    this.random = new Random(seed);
    this.fleet = InMemoryFleet.create(12, seed);
    this.records = fleet.addService("records-box", "records");
  }

  static Schedules.Result run(long seed) {
    return new OnceSchedule(seed).run();
  }

  private Schedules.Result run() {
    for (int i = 1; i <= NODES; i++) {
      fleet.addNode("n" + i);
    }
    fleet.settle();
    createOptions();
    planCalls();
    planFaults();
    fleet.clock().advance(Duration.ofMillis(SCHEDULE_MILLIS));
    boolean ended =
        fleet.clock().advanceUntil(() -> calls.stream().allMatch(this::isEnded), TIMEOUT);
    fleet.clock().advance(SETTLE_TIME);
    if (!ended) {
      problems.add("some calls never ended");
    }
    checkRunCounts();
    int answered =
        (int) calls.stream().filter(call -> !call.reply().isCompletedExceptionally()).count();
    return new Schedules.Result(
        ImmutableList.copyOf(problems),
        Map.of("calls", calls.size(), "answered", answered, "faults", faults));
  }

  /** Returns whether the call has ended; a crash of its node also ends it for the caller. */
  private boolean isEnded(Call call) {
    return call.reply().isDone() || !fleet.nodes().contains(call.node());
  }

  private void createOptions() {
    int requests = 4 + random.nextInt(6);
    for (int i = 0; i < requests; i++) {
      boolean ticket = random.nextBoolean();
      Optional<String> ticketToken =
          ticket
              ? Optional.of(anyNode().orElseThrow().dispatcher().tickets(1).join().get(0))
              : Optional.empty();
      Optional<String> key = ticket ? Optional.empty() : Optional.of("key" + i);
      options.add(
          new CallerOptions(
              Optional.of(false), key, ticketToken, Optional.empty(), Optional.empty()));
    }
  }

  private Optional<Node> anyNode() {
    List<Node> nodes = fleet.nodes();
    return nodes.isEmpty()
        ? Optional.empty()
        : Optional.of(nodes.get(random.nextInt(nodes.size())));
  }

  private void planCalls() {
    for (int i = 0; i < options.size(); i++) {
      int request = i;
      int times = 1 + random.nextInt(5);
      int around = random.nextInt(SCHEDULE_MILLIS);
      for (int j = 0; j < times; j++) {
        boolean close = random.nextBoolean();
        int at = close ? around + random.nextInt(30) : random.nextInt(SCHEDULE_MILLIS);
        scheduleAfter(at, () -> anyNode().ifPresent(node -> call(node, request)));
      }
    }
  }

  private void call(Node node, int request) {
    ServiceCall call = new ServiceCall("POST", "/confirm", "swap " + request, "");
    CompletableFuture<ServiceReply> reply =
        node.dispatcher().call(InMemoryFleet.WORKSPACE, "records", call, options.get(request));
    calls.add(new Call(node, reply));
    var unused = reply.whenComplete((answer, failure) -> checkAnswer(request, answer, failure));
  }

  /** Checks an answer at the time when the caller receives it. */
  private void checkAnswer(int request, ServiceReply answer, Throwable failure) {
    int ran = runsOf(request);
    if (answer != null && ran != 1) {
      problems.add("request " + request + " was answered but ran " + ran + " times");
    }
    if (failure != null
        && RefusalException.refusalOf(failure).verdict() == Verdict.NOT_RUN
        && ran != 0) {
      problems.add("request " + request + " was refused as not run but ran: " + failure);
    }
  }

  private int runsOf(int request) {
    return records.runs().getOrDefault("POST /confirm swap " + request, 0);
  }

  private void planFaults() {
    faults = random.nextInt(12);
    for (int i = 0; i < faults; i++) {
      String name = "n" + (1 + random.nextInt(NODES));
      String other = "n" + (1 + random.nextInt(NODES));
      int kind = random.nextInt(10);
      int length = 100 + random.nextInt(15_000);
      int count = 1 + random.nextInt(3);
      scheduleAfter(
          random.nextInt(SCHEDULE_MILLIS), () -> inject(kind, name, other, length, count));
    }
  }

  private void inject(int kind, String name, String other, int length, int count) {
    boolean running = fleet.nodes().contains(fleet.node(name));
    HostPort address = fleet.addressOf(name);
    HostPort service = fleet.addressOf("records-box");
    if (kind <= 3 && !running) {
      fleet.addNode(name);
      return;
    }
    switch (kind) {
      case 0 -> fleet.killNode(name);
      case 1 -> {
        fleet.freezeNode(name);
        scheduleAfter(length, () -> fleet.thawNode(name));
      }
      case 2 -> {
        var unused = fleet.stopNode(name);
      }
      case 3 -> {
        fleet.killNode(name);
        fleet.addNode(name);
      }
      case 4 -> {
        fleet.peers().blockLink(address, fleet.addressOf(other));
        scheduleAfter(length, () -> fleet.peers().restoreLinks());
      }
      case 5 -> fleet.peers().loseReplies(address, count);
      case 6 -> {
        fleet.store().setDown(true);
        scheduleAfter(length, () -> fleet.store().setDown(false));
      }
      case 7 -> fleet.store().loseAnswers(count);
      case 8 -> {
        fleet.store().delayAnswers(Duration.ofMillis(length / 10));
        scheduleAfter(length, () -> fleet.store().delayAnswers(Duration.ZERO));
      }
      default -> {
        fleet.endpoints().freeze(service);
        scheduleAfter(length / 2, () -> fleet.endpoints().thaw(service));
      }
    }
  }

  private void scheduleAfter(int millis, Runnable task) {
    fleet.clock().schedule(task, Duration.ofMillis(millis));
  }

  private void checkRunCounts() {
    for (int request = 0; request < options.size(); request++) {
      if (runsOf(request) > 1) {
        problems.add("request " + request + " ran " + runsOf(request) + " times");
      }
    }
  }
}
