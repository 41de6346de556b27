package org.vaneworks.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.RequestSchedule;
import org.vaneworks.tests.forwarding.PausedClock;

/** Tests the order in which waiting requests start. */
final class CapacityQueueOrderTest {
  /** Longer than the interval at which the queue looks for capacity. */
  private static final Duration POLL = Duration.ofMillis(25);

  private final PausedClock clock = PausedClock.create();
  private final CapacityQueue queue = new CapacityQueue(clock.executor());
  private final List<Request> started = new ArrayList<>();
  private double room;
  private int waited;

  /** A request of which everything can be set; it is never refused while the test runs. */
  private final class Request implements CapacityQueue.Waiter {
    private final Optional<String> workspace;
    private final double weight;
    private final double cost;
    private final int priority;
    private final long onTimeUntil;
    private boolean continues;
    private boolean attempt;

    Request(
        Optional<String> workspace, double weight, double cost, int priority, long onTimeUntil) {
      this.workspace = workspace;
      this.weight = weight;
      this.cost = cost;
      this.priority = priority;
      this.onTimeUntil = onTimeUntil;
    }

    @Override
    public boolean start() {
      if (room < cost) {
        return false;
      }
      room -= cost;
      started.add(this);
      return true;
    }

    @Override
    public void started(boolean hasWaited) {
      waited += hasWaited ? 1 : 0;
    }

    @Override
    public void refuse() {
      throw new AssertionError("refused: " + workspace);
    }

    @Override
    public RequestSchedule requestSchedule() {
      return RequestSchedule.ALWAYS;
    }

    @Override
    public boolean continues() {
      return continues;
    }

    @Override
    public boolean isInterrupted() {
      return continues;
    }

    @Override
    public long onTimeUntil() {
      return onTimeUntil;
    }

    @Override
    public long waitsUntil() {
      return Long.MAX_VALUE;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public WorkspaceCharge charge() {
      return new WorkspaceCharge(workspace, weight, cost);
    }

    @Override
    public boolean hasAttempt() {
      return attempt;
    }
  }

  private Request request(String workspace, double cost) {
    return new Request(Optional.of(workspace), 1, cost, 1, Long.MAX_VALUE);
  }

  private Request join(Request request) {
    queue.join(request);
    return request;
  }

  private Request join(String workspace, double cost) {
    return join(request(workspace, cost));
  }

  /** Gives room for one more request of a cost in each of a number of polls. */
  private void poll(int times, double cost) {
    for (int i = 0; i < times; i++) {
      room += cost;
      clock.advance(POLL);
    }
  }

  private List<String> startedWorkspaces() {
    return started.stream().map(request -> request.workspace.orElse("")).toList();
  }

  // Guards against a change for deployments without workspaces, or in which one workspace waits:
  // rank, priority and arrival decide, whatever the sizes.
  @Property(tries = 100, seed = "20261204")
  void oneWorkspaceIsServedByRankPriorityAndArrival(@ForAll Random random) {
    for (Optional<String> workspace : List.of(Optional.<String>empty(), Optional.of("ward"))) {
      CapacityQueueOrderTest run = new CapacityQueueOrderTest();
      List<Request> requests = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        long onTimeUntil = random.nextBoolean() ? Long.MAX_VALUE : -1;
        int cost = 1 + random.nextInt(500);
        Request request = run.new Request(workspace, 2, cost, random.nextInt(3), onTimeUntil);
        request.continues = random.nextInt(10) == 0;
        requests.add(run.join(request));
        run.clock.advance(Duration.ofNanos(1));
      }
      run.room = Double.MAX_VALUE;
      run.clock.advance(POLL);
      List<Request> expected =
          requests.stream()
              .sorted(
                  Comparator.comparing((Request request) -> !request.continues)
                      .thenComparing(request -> !request.continues && request.onTimeUntil < 0)
                      .thenComparing(request -> request.priority))
              .toList();
      assertEquals(expected, run.started);
      assertEquals(40, run.waited);
    }
  }

  // Guards against shares that differ from the weights while all workspaces wait.
  @Property(tries = 30, seed = "20261204")
  void waitingWorkspacesShareByWeight(
      @ForAll @Size(min = 2, max = 8) List<@DoubleRange(min = 0.5, max = 4) Double> weights) {
    CapacityQueueOrderTest run = new CapacityQueueOrderTest();
    int perWorkspace = 200;
    for (int workspace = 0; workspace < weights.size(); workspace++) {
      for (int i = 0; i < perWorkspace; i++) {
        double weight = weights.get(workspace);
        run.join(run.new Request(Optional.of("w" + workspace), weight, 1, 1, Long.MAX_VALUE));
      }
    }
    int starts = 100;
    run.room = starts;
    run.clock.advance(POLL);
    double totalWeight = weights.stream().mapToDouble(Double::doubleValue).sum();
    for (int workspace = 0; workspace < weights.size(); workspace++) {
      String name = "w" + workspace;
      long own = run.startedWorkspaces().stream().filter(name::equals).count();
      assertEquals(starts * weights.get(workspace) / totalWeight, own, weights.size());
    }
  }

  // Guards against shares that count only what had to wait: the workspace that has taken the places
  // comes after the other one, though it waits longer.
  @Test
  void useWithoutWaitingCounts() {
    room = 11;
    join("quiet", 1);
    for (int i = 0; i < 10; i++) {
      join("flood", 1);
    }
    join("flood", 1);
    clock.advance(Duration.ofMillis(1));
    join("quiet", 1);
    join("quiet", 1);
    started.clear();
    poll(3, 1);
    assertEquals(List.of("quiet", "flood", "quiet"), startedWorkspaces());
  }

  // Guards against a workspace that pays for requests that were refused or whose callers left.
  @Test
  void requestsThatNeverStartAreNotCharged() {
    List<Request> left = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      left.add(join("ward", 5));
    }
    join("desk", 1);
    join("desk", 1);
    left.forEach(queue::leave);
    join("ward", 1);
    poll(3, 1);
    assertEquals(List.of("desk", "ward", "desk"), startedWorkspaces());
  }

  // Guards against a workspace whose urgent use puts its less urgent requests behind those of
  // others for long, or the other way round: start tags of two priorities are not comparable.
  @Test
  void prioritiesAreSharedSeparately() {
    room = 100;
    for (int i = 0; i < 100; i++) {
      join(new Request(Optional.of("ward"), 1, 1, 0, Long.MAX_VALUE));
    }
    started.clear();
    join(new Request(Optional.of("ward"), 1, 1, 2, Long.MAX_VALUE));
    join(new Request(Optional.of("desk"), 1, 1, 2, Long.MAX_VALUE));
    join(new Request(Optional.of("desk"), 1, 1, 2, Long.MAX_VALUE));
    poll(3, 1);
    assertEquals(List.of("ward", "desk", "desk"), startedWorkspaces());
  }

  // Guards against starvation of a large request: of its own workspace at most eight smaller ones
  // start before it, also less urgent ones; the next wait until it fits.
  @Test
  void largeRequestIsPassedOverAtMostEightTimesByItsWorkspace() {
    Request large = join("ward", 10);
    for (int i = 0; i < 20; i++) {
      join(new Request(Optional.of("ward"), 1, 1, i % 2 + 1, Long.MAX_VALUE));
    }
    poll(17, 1);
    assertEquals(8, started.size());
    assertEquals(9, room);
    poll(1, 1);
    assertEquals(large, started.get(8));
  }

  // Guards against a workspace that stops the others with a request that never fits.
  @Test
  void otherWorkspacesDoNotWaitForLargeRequest() {
    join("ward", 1_000);
    for (int i = 0; i < 30; i++) {
      join("desk", 1);
    }
    poll(30, 1);
    assertEquals(30, started.size());
  }

  // Guards against a request that fails over, which can't use the endpoint that its attempt has and
  // so may find no capacity whatever its size, and would hold back its workspace.
  @Test
  void requestWithAttemptDoesNotHoldBackItsWorkspace() {
    Request failingOver = request("ward", 1_000);
    failingOver.attempt = true;
    join(failingOver);
    for (int i = 0; i < 20; i++) {
      join("ward", 1);
    }
    poll(20, 1);
    assertEquals(20, started.size());
  }

  // Guards against a large request that is put behind all requests that are on time because smaller
  // ones of other workspaces took its room until its own objective had passed.
  @Test
  void largeRequestThatOthersPassedOverKeepsItsRank() {
    long objective = Duration.ofMillis(500).toNanos();
    Request large = join(new Request(Optional.of("ward"), 1, 10, 1, objective));
    for (int i = 0; i < 8; i++) {
      join("desk" + i, 1);
    }
    poll(8, 1);
    assertEquals(8, started.size());
    clock.advance(Duration.ofMillis(500));
    join("late", 1);
    poll(1, 10);
    assertEquals(large, started.get(8));
  }
}
