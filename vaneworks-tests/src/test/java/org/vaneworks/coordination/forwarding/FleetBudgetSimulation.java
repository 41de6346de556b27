package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.vaneworks.coordination.shared.NodeLease;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.tests.forwarding.PausedClock;
import org.vaneworks.tests.shared.BoxClock;
import org.vaneworks.tests.shared.InMemorySharedStore;
import org.vaneworks.tests.shared.StoreLink;

/**
 * One random simulation of the retry budgets of a fleet, in which each process that may serve
 * spends all that its budget allows, at once or from time to time. Processes are killed and start
 * again, alone and together, boxes are added, and the store fails, loses its contents, or can't be
 * reached by some. Endpoints may stand still: what was sent to them in that time arrives at its
 * end, also that of processes that were killed meanwhile.
 *
 * <p>The repeats of all processes together, as they arrive, are judged by the bound of the whole
 * fleet, over each window.
 */
final class FleetBudgetSimulation {
  static final int WINDOW_MILLIS = 10_000;
  private static final double SHARE = 0.2;
  private static final int RESERVE = 200;
  private static final int STEP_MILLIS = 50;
  private static final int WARM_UP_MILLIS = 15_000;
  private static final int LENGTH_MILLIS = 60_000;

  /** Maximum age of the confirmed configuration with which a node serves. */
  private static final Duration FRESHNESS = Duration.ofMillis(4750);

  /** Mean steps between two reports of a process to the same peer. */
  private static final int MEAN_REPORT_STEPS = 6;

  private static final int MEAN_FAULT_INTERVAL_MILLIS = 2500;

  /** How long all processes need no repeats at most, before they need as many as they may send. */
  private static final int MAX_QUIET_MILLIS = 12_000;

  private static final int MAX_DOWN_MILLIS = 5000;
  private static final int MAX_STOP_MILLIS = 3000;
  private static final int MAX_OUTAGE_MILLIS = 16_000;

  /** How long the store is back at most between two outages. */
  private static final int MAX_RETURN_MILLIS = 2500;

  /** From a kill until the entries of the killed processes expire. */
  private static final int MIN_EXPIRY_MILLIS = 8000;

  private static final int MAX_EXPIRY_MILLIS = 12_000;

  private static final String PREFIX = "vaneworks/";

  private static final ForwardingLimits LIMITS =
      new ForwardingLimits(FRESHNESS, SHARE, RESERVE, Duration.ofMillis(WINDOW_MILLIS));

  private final PausedClock time = PausedClock.create();
  private final Executor clock = time.executor();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final Random random;

  /** Draws reports and bursts, so that the other faults of a seed do not depend on them. */
  private final Random reports;

  private final double requestsPerStep;
  private final int maxHoldMillis;
  private final boolean repeatedOutages;
  private final boolean bursts;
  private final List<Box> boxes = new ArrayList<>();

  /** The requests and the repeats of each step. */
  private final List<Integer> requests = new ArrayList<>();

  private final List<Integer> repeats = new ArrayList<>();
  private final List<String> events = new ArrayList<>();

  /** The processes that sent the repeats that have not arrived, each as often as it sent one. */
  private final List<Process> held = new ArrayList<>();

  private long heldUntilMillis;
  private long quietUntilMillis;
  private long burstUntilMillis;
  private long outagesUntilMillis;

  /**
   * Creates a simulation.
   *
   * @param requestsPerSecond the requests of the whole fleet
   * @param maxHoldMillis how long endpoints stand still at most; 0 if they never do
   * @param repeatedOutages whether the only faults are kills of all processes, each with two
   *     outages of the store shortly after one another, and those of bursts
   * @param bursts whether repeats are needed from time to time only, and then as many as may be
   *     sent, otherwise they always are; with it, single boxes stop, are added, or can't write
   */
  FleetBudgetSimulation(
      long seed,
      int boxCount,
      int requestsPerSecond,
      int maxHoldMillis,
      boolean repeatedOutages,
      boolean bursts) {
    this.repeatedOutages = repeatedOutages;
    this.bursts = bursts;
    random = new Random(seed);
    reports = new Random(~seed);
    this.maxHoldMillis = maxHoldMillis;
    requestsPerStep = requestsPerSecond * STEP_MILLIS / 1000.0;
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box(i));
    }
  }

  /** A box and the process that runs on it, if any. */
  private final class Box {
    private final int number;
    private int runs;
    private Optional<Process> process = Optional.empty();

    Box(int number) {
      this.number = number;
    }

    void start() {
      if (process.isEmpty()) {
        process = Optional.of(new Process(number, ++runs));
      }
    }

    void kill() {
      process.ifPresent(Process::kill);
      process = Optional.empty();
    }
  }

  /** A process: its entry in the store, what it reads there, and its budget. */
  private final class Process {
    private final StoreLink link = new StoreLink(clock, store);
    private final NodeLease lease;
    private final PrefixFollower follower;
    private final ResendBudget budget;

    Process(int box, int run) {
      BoxClock boxClock = new BoxClock(clock);
      HostPort address = new HostPort("10.1." + box / 250 + "." + (1 + box % 250), 7340);
      lease =
          NodeLease.create(
              clock,
              new Random(random.nextLong()),
              link,
              boxClock.suspensionDetector(),
              PREFIX,
              "box" + box,
              "dc1",
              Integer.toString(run),
              () -> Optional.of(address),
              () -> Optional.of(new PeerRelay(address, "token")),
              () -> FRESHNESS);
      follower =
          PrefixFollower.create(
              clock,
              new Random(random.nextLong()),
              link,
              Counters.in(new SimpleMeterRegistry()),
              PREFIX,
              () -> Duration.ofMillis(1500),
              () -> Duration.ofMillis(100),
              lease,
              boxClock.suspensionDetector());
      budget =
          ResendBudget.of(
              FleetBudgetSimulation.this::nowNanos,
              LIMITS,
              new SharingNodes(lease::sharingNodes, lease::countedSince));
      follower.start();
      lease.start();
    }

    void kill() {
      link.cut(true);
    }

    /** Reports to peers, now and then to each; the report of a process that has ended is lost. */
    void reportToPeers(int box) {
      for (Peer peer : lease.peers()) {
        if (reports.nextInt(MEAN_REPORT_STEPS) == 0) {
          boxes.stream()
              .filter(other -> peer.box().equals("box" + other.number))
              .flatMap(other -> other.process.stream())
              .forEach(other -> other.lease.recordReportOf("box" + box));
        }
      }
    }

    void spendAll() {
      while (budget.tryWithdraw()) {
        held.add(this);
      }
    }
  }

  private long nowNanos() {
    return clock.currentTime(TimeUnit.NANOSECONDS);
  }

  /** Runs the simulation; returns a description of the first window beyond the bound, if any. */
  Optional<String> run() {
    boxes.forEach(Box::start);
    play(WARM_UP_MILLIS, false);
    play(LENGTH_MILLIS, true);
    return worstWindow().filter(window -> window.repeats() > window.allowed()).map(this::describe);
  }

  private void play(int millis, boolean faults) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      if (faults && random.nextInt(MEAN_FAULT_INTERVAL_MILLIS) < STEP_MILLIS) {
        injectFault();
      }
      time.advance(Duration.ofMillis(STEP_MILLIS));
      step();
    }
  }

  private void step() {
    boxes.forEach(box -> box.process.ifPresent(each -> each.reportToPeers(box.number)));
    boolean spends = needsRepeats();
    int arrived = 0;
    for (Box box : boxes) {
      if (box.process.filter(each -> each.follower.isConfirmedWithin(FRESHNESS)).isEmpty()) {
        continue;
      }
      Process process = box.process.get();
      double mean = requestsPerStep / boxes.size();
      int count = (int) mean + (random.nextDouble() < mean % 1 ? 1 : 0);
      for (int i = 0; i < count; i++) {
        process.budget.deposit();
      }
      arrived += count;
      if (spends) {
        process.spendAll();
      }
    }
    requests.add(arrived);
    repeats.add(nowMillis() < heldUntilMillis ? 0 : deliver());
  }

  private boolean needsRepeats() {
    if (bursts && nowMillis() >= burstUntilMillis) {
      quietUntilMillis = nowMillis() + reports.nextInt(MAX_QUIET_MILLIS);
      burstUntilMillis = quietUntilMillis + 1 + reports.nextInt(WINDOW_MILLIS);
    }
    return nowMillis() >= quietUntilMillis;
  }

  /** Delivers the repeats that have not arrived; returns their number. */
  private int deliver() {
    int delivered = held.size();
    held.clear();
    return delivered;
  }

  private void injectFault() {
    if (maxHoldMillis > 0 && random.nextInt(3) == 0) {
      hold(1 + random.nextInt(maxHoldMillis));
      return;
    }
    if (bursts && reports.nextBoolean()) {
      injectFaultOfFewBoxes();
      return;
    }
    if (repeatedOutages) {
      if (!store.down && nowMillis() > outagesUntilMillis) {
        stopStoreTwice();
      }
      return;
    }
    switch (random.nextInt(9)) {
      case 0, 1 -> restart("some", anyBoxes());
      case 2 -> restart("all", boxes);
      case 3, 4 -> stopStore(1 + random.nextInt(MAX_OUTAGE_MILLIS));
      case 5 -> cut(anyBoxes(), 1 + random.nextInt(MAX_OUTAGE_MILLIS));
      case 6 -> replaceStore();
      case 7 -> {
        int outage = 1 + random.nextInt(MAX_OUTAGE_MILLIS);
        stopStore(outage);
        restart("all, store away", boxes);
      }
      default -> addBox();
    }
  }

  /** Faults after which processes start, or lose their entries, while all others go on. */
  private void injectFaultOfFewBoxes() {
    switch (reports.nextInt(4)) {
      case 0 ->
          boxes.forEach(box -> later(reports.nextInt(LENGTH_MILLIS), () -> stopAndStart(box)));
      case 1 -> stopAndStart(boxes.get(reports.nextInt(boxes.size())));
      case 2 -> cutWrites(anyBoxes(), 1 + reports.nextInt(2 * MAX_OUTAGE_MILLIS));
      default -> addBox();
    }
  }

  /** Stops a process, which goes on serving for a while, and starts another one. */
  private void stopAndStart(Box box) {
    record("stop of box " + box.number);
    box.process.ifPresent(
        stopping -> {
          stopping.lease.stop();
          later(
              reports.nextInt(MAX_STOP_MILLIS),
              () -> {
                if (box.process.filter(stopping::equals).isPresent()) {
                  box.kill();
                  later(reports.nextInt(MAX_DOWN_MILLIS), box::start);
                }
              });
        });
  }

  private void cutWrites(ImmutableList<Box> chosen, int millis) {
    record(chosen.size() + " boxes can't write for " + millis);
    for (Box box : chosen) {
      box.process.ifPresent(
          cut -> {
            cut.link.cutWrites(true);
            later(millis, () -> cut.link.cutWrites(false));
          });
    }
  }

  private void hold(int millis) {
    record("endpoints stand still for " + millis);
    heldUntilMillis = Math.max(heldUntilMillis, nowMillis() + millis);
  }

  private ImmutableList<Box> anyBoxes() {
    List<Box> shuffled = new ArrayList<>(boxes);
    Collections.shuffle(shuffled, random);
    return ImmutableList.copyOf(shuffled.subList(0, 1 + random.nextInt(boxes.size())));
  }

  private void restart(String which, List<Box> chosen) {
    record("kill of " + which + " (" + chosen.size() + ")");
    for (Box box : ImmutableList.copyOf(chosen)) {
      box.kill();
      later(random.nextInt(MAX_DOWN_MILLIS), box::start);
    }
  }

  private void stopStore(int millis) {
    record("store away for " + millis);
    store.down = true;
    later(millis, () -> store.down = false);
  }

  /**
   * Kills all processes while the store is away, which is back about when their entries expire, and
   * soon away again.
   */
  private void stopStoreTwice() {
    int first = random.nextInt(MIN_EXPIRY_MILLIS, MAX_EXPIRY_MILLIS) - MAX_RETURN_MILLIS / 2;
    int back = random.nextInt(MAX_RETURN_MILLIS);
    int second = 1 + random.nextInt(MAX_OUTAGE_MILLIS);
    outagesUntilMillis = nowMillis() + first + back + second;
    stopStore(first);
    restart("all, store away", boxes);
    later(first + back, () -> stopStore(second));
  }

  private void cut(ImmutableList<Box> chosen, int millis) {
    record(chosen.size() + " boxes cut off from the store for " + millis);
    for (Box box : chosen) {
      box.process.ifPresent(
          cut -> {
            cut.link.cut(true);
            later(millis, () -> cut.link.cut(box.process.filter(cut::equals).isEmpty()));
          });
    }
  }

  private void replaceStore() {
    record("store restored without entries");
    store.takeEmptyBackup();
    store.restoreBackup();
  }

  private void addBox() {
    record("a box more");
    Box box = new Box(boxes.size());
    boxes.add(box);
    box.start();
  }

  private void record(String event) {
    events.add(nowMillis() + " " + event);
  }

  private long nowMillis() {
    return clock.currentTime(TimeUnit.MILLISECONDS);
  }

  private void later(int millis, Runnable task) {
    clock.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** The repeats of a window, and how many it may have. */
  record Window(long startMillis, int repeats, double allowed) {
    double use() {
      return repeats / allowed;
    }
  }

  /** Returns the window that uses the largest part of the bound. */
  Optional<Window> worstWindow() {
    int steps = WINDOW_MILLIS / STEP_MILLIS;
    return IntStream.rangeClosed(0, repeats.size() - steps)
        .mapToObj(
            start -> {
              int most =
                  IntStream.of(start, start - steps / 2, start - steps)
                      .map(from -> sum(requests, from, from + steps))
                      .max()
                      .getAsInt();
              return new Window(
                  (long) start * STEP_MILLIS,
                  sum(repeats, start, start + steps),
                  SHARE * most + RESERVE);
            })
        .max((one, other) -> Double.compare(one.use(), other.use()));
  }

  private static int sum(List<Integer> counts, int from, int to) {
    return counts.subList(Math.max(0, from), to).stream().mapToInt(Integer::intValue).sum();
  }

  private String describe(Window window) {
    return window + " after " + events;
  }
}
