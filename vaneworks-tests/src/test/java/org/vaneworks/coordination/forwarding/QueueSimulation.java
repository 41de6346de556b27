package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.vaneworks.coordination.fleet.RequestSchedule;
import org.vaneworks.tests.forwarding.PausedClock;

/**
 * A {@link CapacityQueue} under load: engines whose memory requests take for as long as they run,
 * and callers that give up and repeat as in docs/OVERLOAD.md.
 *
 * <p>A request takes its tokens of one engine for {@link #BASE_SECONDS} and {@link
 * #SECONDS_PER_TOKEN}. Callers give up after two seconds without a start and retry a refused
 * request once, at the time that the refusal names but after a third of their time at the latest.
 */
final class QueueSimulation {
  /** The engines: their number and the tokens that each holds. */
  record Engines(int number, int tokens) {
    /** Returns how many requests of mean size can start per second. */
    double capacity() {
      // The mean of tokens times time exceeds the product of the means, as sizes vary.
      double tokenSeconds =
          MEAN_TOKENS * BASE_SECONDS
              + MEAN_TOKENS * MEAN_TOKENS * Math.exp(SIGMA * SIGMA) * SECONDS_PER_TOKEN;
      return number * tokens / tokenSeconds;
    }
  }

  private static final double BASE_SECONDS = 0.4;
  private static final double SECONDS_PER_TOKEN = 0.001;
  private static final Duration OBJECTIVE = Duration.ofMillis(500);
  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final Duration DEADLINE = Duration.ofSeconds(20);
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
  private static final Duration RECONNECT = Duration.ofMillis(10);

  /** Mean and spread of the tokens of a request: 908 on average, the largest tenth over 1,700. */
  private static final double MEAN_TOKENS = 908;

  private static final double SIGMA = 0.6;
  private static final int MAX_TOKENS = 4_000;

  /** How callers of a workspace treat refusals. */
  enum Repeats {
    ONCE_WHEN_TOLD,
    AT_ONCE_UNTIL_DEADLINE
  }

  /** What became of one request of a caller, with its repeats. */
  static final class Outcome {
    private final String workspace;
    private final int tokens;
    private final long arrivedAt;
    private OptionalLong startedAt = OptionalLong.empty();
    private int sends;

    private Outcome(String workspace, int tokens, long arrivedAt) {
      this.workspace = workspace;
      this.tokens = tokens;
      this.arrivedAt = arrivedAt;
    }

    String workspace() {
      return workspace;
    }

    int tokens() {
      return tokens;
    }

    boolean served() {
      return startedAt.isPresent();
    }

    /** Returns the time from the caller's first attempt to the start; it must have started. */
    Duration waited() {
      return Duration.ofNanos(startedAt.getAsLong() - arrivedAt);
    }

    private boolean arrivedBetween(Duration from, Duration to) {
      return arrivedAt >= from.toNanos() && arrivedAt < to.toNanos();
    }
  }

  private final PausedClock clock = PausedClock.create();
  private final CapacityQueue queue = new CapacityQueue(clock.executor());
  private final long seed;
  private final Random random;
  private final boolean shares;
  private final Map<String, Double> weights = new HashMap<>();
  private final int[] free;
  private final Set<Request> waiting = new HashSet<>();
  private OptionalLong idleSince = OptionalLong.empty();
  private long longestIdleNanos;
  private final List<Outcome> outcomes = new ArrayList<>();

  /**
   * Creates an idle queue.
   *
   * @param shares false if requests have no workspace, which gives the order of arrival
   */
  QueueSimulation(Engines engines, long seed, boolean shares) {
    this.free = new int[engines.number()];
    Arrays.fill(free, engines.tokens());
    this.seed = seed;
    this.random = new Random(seed);
    this.shares = shares;
  }

  void weight(String workspace, double weight) {
    weights.put(workspace, weight);
  }

  /** Draws the size of a typical request, in tokens. */
  static int typicalSize(Random random) {
    double median = MEAN_TOKENS / Math.exp(SIGMA * SIGMA / 2);
    double tokens = median * Math.exp(SIGMA * random.nextGaussian());
    return (int) Math.max(50, Math.min(MAX_TOKENS, tokens));
  }

  /** Adds Poisson arrivals of a workspace to the given time span. */
  void arrivals(
      String workspace,
      double perSecond,
      Duration from,
      Duration to,
      ToIntFunction<Random> size,
      Repeats repeats) {
    // Arrivals of a workspace do not depend on those of others, so that runs can be compared.
    Random random = new Random(31 * seed + workspace.hashCode());
    double at = from.toNanos() / 1e9;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      if (at * 1e9 >= to.toNanos()) {
        return;
      }
      arrival(workspace, size.applyAsInt(random), Duration.ofNanos((long) (at * 1e9)), repeats);
    }
  }

  void arrival(String workspace, int tokens, Duration at, Repeats repeats) {
    clock
        .executor()
        .schedule(
            () -> {
              Outcome outcome = new Outcome(workspace, tokens, now());
              outcomes.add(outcome);
              send(outcome, repeats);
            },
            at.toNanos(),
            NANOSECONDS);
  }

  void run(Duration duration) {
    clock.advance(duration);
  }

  /** Returns the outcomes of requests that arrived in a time span. */
  List<Outcome> outcomes(Duration from, Duration to) {
    return outcomes.stream().filter(outcome -> outcome.arrivedBetween(from, to)).toList();
  }

  /** Returns the longest time for which a request waited while an engine had room for it. */
  Duration longestIdle() {
    updateIdle();
    return Duration.ofNanos(longestIdleNanos);
  }

  /** Called after each change of what waits and of what is free. */
  private void updateIdle() {
    int room = Arrays.stream(free).max().orElseThrow();
    boolean idle = waiting.stream().anyMatch(request -> request.outcome.tokens <= room);
    if (idle && idleSince.isEmpty()) {
      idleSince = OptionalLong.of(now());
    }
    if (idleSince.isPresent()) {
      longestIdleNanos = Math.max(longestIdleNanos, now() - idleSince.getAsLong());
    }
    if (!idle) {
      idleSince = OptionalLong.empty();
    }
  }

  private void send(Outcome outcome, Repeats repeats) {
    outcome.sends++;
    Request request = new Request(outcome, repeats);
    waiting.add(request);
    queue.join(request);
    updateIdle();
  }

  private long now() {
    return clock.executor().currentTime(NANOSECONDS);
  }

  private final class Request implements CapacityQueue.Waiter {
    private final Outcome outcome;
    private final Repeats repeats;
    private final long sentAt = now();

    Request(Outcome outcome, Repeats repeats) {
      this.outcome = outcome;
      this.repeats = repeats;
    }

    @Override
    public boolean start() {
      int best = 0;
      for (int engine = 1; engine < free.length; engine++) {
        best = free[engine] > free[best] ? engine : best;
      }
      if (free[best] < outcome.tokens) {
        return false;
      }
      int engine = best;
      free[engine] -= outcome.tokens;
      waiting.remove(this);
      outcome.startedAt = OptionalLong.of(now());
      double seconds = BASE_SECONDS + SECONDS_PER_TOKEN * outcome.tokens;
      clock.executor().schedule(() -> release(engine), (long) (seconds * 1e9), NANOSECONDS);
      updateIdle();
      return true;
    }

    private void release(int engine) {
      free[engine] += outcome.tokens;
      updateIdle();
    }

    @Override
    public void refuse() {
      waiting.remove(this);
      updateIdle();
      long left = outcome.arrivedAt + DEADLINE.toNanos() - now();
      if (left <= 0 || (repeats == Repeats.ONCE_WHEN_TOLD && outcome.sends > 1)) {
        return;
      }
      long told = Math.max(MIN_RETRY_AFTER.toNanos(), queue.expectedWait().toNanos());
      long jitter = (long) (told * (0.75 + random.nextDouble() / 2));
      long wait =
          repeats == Repeats.AT_ONCE_UNTIL_DEADLINE
              ? RECONNECT.toNanos()
              : Math.min(left / 3, jitter);
      clock.executor().schedule(() -> send(outcome, repeats), wait, NANOSECONDS);
    }

    @Override
    public RequestSchedule requestSchedule() {
      return RequestSchedule.ALWAYS;
    }

    @Override
    public boolean continues() {
      return false;
    }

    @Override
    public boolean isInterrupted() {
      return false;
    }

    @Override
    public long onTimeUntil() {
      return sentAt + OBJECTIVE.toNanos();
    }

    @Override
    public long waitsUntil() {
      return sentAt + PATIENCE.toNanos();
    }

    @Override
    public int priority() {
      return 1;
    }

    @Override
    public WorkspaceCharge charge() {
      return new WorkspaceCharge(
          shares ? Optional.of(outcome.workspace) : Optional.empty(),
          weights.getOrDefault(outcome.workspace, 1.0),
          outcome.tokens);
    }

    @Override
    public boolean hasAttempt() {
      return false;
    }
  }
}
