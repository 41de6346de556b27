package org.vaneworks.tests.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.ReplicaChoice;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Boxes that send requests to replicas of a plain service, on a paused clock. Each box has a fleet
 * of its own and learns the load of the others at intervals. Replicas serve requests in their slots
 * in the order of arrival and refuse those that do not fit into their queue.
 */
final class ReplicaSimulation {
  static final int SLOTS = 6;

  /** Requests that a replica queues beyond its slots. */
  static final int QUEUE = 18;

  /** Time a request takes in a slot of a replica that is not slow. */
  static final Duration SERVICE_TIME = Duration.ofMillis(50);

  private static final String SERVICE = "records";
  private static final int ATTEMPTS = 3;

  /** Chooses a replica. */
  interface Rule {
    Optional<TrackedEndpoint> choose(
        ImmutableList<TrackedEndpoint> replicas,
        Set<TrackedEndpoint> tried,
        long now,
        Random random);
  }

  /** The rule of the selector. */
  static Optional<TrackedEndpoint> byCompletionTime(
      ImmutableList<TrackedEndpoint> replicas,
      Set<TrackedEndpoint> tried,
      long now,
      Random random) {
    ImmutableList<ReplicaChoice.Candidate> candidates =
        replicas.stream()
            .map(
                replica -> ReplicaChoice.Candidate.of(replica, tried.contains(replica), false, now))
            .collect(ImmutableList.toImmutableList());
    ReplicaChoice choice = ReplicaChoice.among(candidates);
    for (int i = 0; i < replicas.size(); i++) {
      replicas.get(i).setReplicaSlowness(choice.slownessToReport(i));
    }
    double peers = replicas.stream().mapToDouble(TrackedEndpoint::similarPeers).max().orElse(0);
    OptionalInt chosen = choice.choose(peers, now, random);
    return chosen.isPresent() ? Optional.of(replicas.get(chosen.getAsInt())) : Optional.empty();
  }

  /** The rule before there was {@link ReplicaChoice}, to compare with. */
  static Optional<TrackedEndpoint> byRequestsInFlight(
      ImmutableList<TrackedEndpoint> replicas,
      Set<TrackedEndpoint> tried,
      long now,
      Random random) {
    Optional<TrackedEndpoint> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (TrackedEndpoint replica : replicas) {
      boolean avoided = !replica.usable(now);
      double load = replica.totalRequests() + random.nextDouble();
      load += tried.contains(replica) ? replica.endpoint().slots() : 0;
      if (!avoided && load < bestLoad) {
        best = Optional.of(replica);
        bestLoad = load;
      }
    }
    return best;
  }

  /** A replica with requests in its slots and in its queue. */
  final class Replica {
    double factor = 1;
    boolean refuses;
    int arrivals;
    int served;
    int refused;
    int inSystem;
    private int busy;
    private final Queue<Runnable> queue = new ArrayDeque<>();

    private void arrive(Runnable onAnswer, Runnable onRefusal) {
      arrivals++;
      if (refuses || inSystem >= SLOTS + QUEUE) {
        refused++;
        clock.schedule(onRefusal, 1_000_000, NANOSECONDS);
        return;
      }
      inSystem++;
      if (busy < SLOTS) {
        serve(onAnswer);
      } else {
        queue.add(onAnswer);
      }
    }

    private void serve(Runnable onAnswer) {
      busy++;
      long nanos = (long) (SERVICE_TIME.toNanos() * factor * serviceFactor());
      clock.schedule(() -> served(onAnswer), nanos, NANOSECONDS);
    }

    private void served(Runnable onAnswer) {
      busy--;
      inSystem--;
      served++;
      if (!queue.isEmpty()) {
        serve(queue.remove());
      }
      onAnswer.run();
    }
  }

  /** A box with its view of the replicas. */
  private final class Box {
    final Fleet fleet =
        Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));

    Box() {
      for (int i = 0; i < replicas.size(); i++) {
        fleet.put(
            new FleetEndpoint(
                "r" + i,
                SERVICE,
                new HostPort("10.0.0.1", 8000 + i),
                "dc1",
                SLOTS,
                false,
                Optional.empty(),
                "",
                StorePosition.START));
      }
    }

    TrackedEndpoint view(int replica) {
      return fleet.find(SERVICE, new HostPort("10.0.0.1", 8000 + replica)).orElseThrow();
    }

    void learnLoads() {
      for (int i = 0; i < replicas.size(); i++) {
        int requests = 0;
        double pace = 1;
        for (Box other : boxes) {
          if (other != this) {
            requests += other.view(i).inFlight();
            pace = Math.max(pace, other.view(i).paceToReport(now()));
          }
        }
        view(i).setPaceReportedByPeers(pace);
        view(i).setPeerLoad(requests, 0, 1);
        view(i).setSimilarPeers(boxes.size() - 1, 0);
      }
    }

    void request() {
      sent++;
      attempt(new HashSet<>(), now(), 1);
    }

    private void attempt(Set<TrackedEndpoint> tried, long startedAt, int number) {
      Optional<TrackedEndpoint> chosen = rule.choose(fleet.usable(SERVICE), tried, now(), random);
      if (chosen.isEmpty()) {
        // Waits in the queue for capacity.
        clock.schedule(() -> attempt(tried, startedAt, number), 20_000_000, NANOSECONDS);
        return;
      }
      TrackedEndpoint replica = chosen.get();
      tried.add(replica);
      replica.reserve(0);
      long sentAt = now();
      double rounds = replica.rounds();
      replicas
          .get(replica.address().port() - 8000)
          .arrive(
              () -> {
                replica.recordAcceptance(sentAt, now());
                double meanRounds = (rounds + replica.rounds()) / 2;
                replica.recordServed((now() - sentAt) / meanRounds, now());
                replica.release(0);
                responseNanos.add(now() - startedAt);
              },
              () -> {
                if (avoidsForFixedTime) {
                  replica.avoidUntil(now() + 200_000_000);
                } else {
                  replica.recordRefusal(sentAt, now());
                }
                replica.recordShortage(now());
                replica.release(0);
                if (number < ATTEMPTS) {
                  attempt(tried, startedAt, number + 1);
                } else {
                  failed++;
                }
              });
    }
  }

  final PausedExecutor clock = PausedExecutor.create();
  final List<Replica> replicas = new ArrayList<>();
  final List<Long> responseNanos = new ArrayList<>();
  int sent;
  int failed;
  boolean constantServiceTime;

  /** Whether each refusal makes a box avoid the replica for 200 ms, as before. */
  boolean avoidsForFixedTime;

  private final List<Box> boxes = new ArrayList<>();
  private final Random random;
  private final Rule rule;

  ReplicaSimulation(int boxCount, int replicaCount, Rule rule, long seed) {
    this.rule = rule;
    random = new Random(seed);
    for (int i = 0; i < replicaCount; i++) {
      replicas.add(new Replica());
    }
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box());
    }
    // Boxes learn the loads at different times. A round takes about a second with 64 boxes.
    long interval = Math.min(1_000_000_000L, 15_000_000L * boxCount + 40_000_000L);
    for (int i = 0; i < boxCount && boxCount > 1; i++) {
      scheduleLearning(boxes.get(i), interval * i / boxCount, interval);
    }
  }

  private void scheduleLearning(Box box, long delay, long interval) {
    clock.schedule(
        () -> {
          box.learnLoads();
          scheduleLearning(box, interval, interval);
        },
        delay,
        NANOSECONDS);
  }

  /** Exponentially distributed with a mean of 1, unless it is constant. */
  private double serviceFactor() {
    return constantServiceTime ? 1 : -Math.log(1 - random.nextDouble());
  }

  /** Puts requests of the first box on all replicas from an index on. */
  void preload(int firstReplica, int requests) {
    for (int i = firstReplica; i < replicas.size(); i++) {
      for (int count = 0; count < requests; count++) {
        boxes.get(0).view(i).reserve(0);
      }
    }
  }

  /** All boxes learn the loads, then each sends one request. */
  void learnAndSendAtOnce() {
    boxes.forEach(Box::learnLoads);
    boxes.forEach(Box::request);
  }

  /** Sends requests of random boxes for a time, at intervals that are exponentially distributed. */
  void run(Duration length, double requestsPerSecond) {
    long end = now() + length.toNanos();
    while (true) {
      long gap = (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
      if (now() + gap >= end) {
        clock.advance(Duration.ofNanos(end - now()));
        return;
      }
      clock.advance(Duration.ofNanos(gap));
      boxes.get(random.nextInt(boxes.size())).request();
    }
  }

  /** Discards the counts so far. */
  void clearCounts() {
    sent = 0;
    failed = 0;
    responseNanos.clear();
    for (Replica replica : replicas) {
      replica.arrivals = 0;
      replica.served = 0;
      replica.refused = 0;
    }
  }

  int refusals() {
    return replicas.stream().mapToInt(replica -> replica.refused).sum();
  }

  int arrivals() {
    return replicas.stream().mapToInt(replica -> replica.arrivals).sum();
  }

  double percentileMillis(double fraction) {
    List<Long> sorted = responseNanos.stream().sorted().toList();
    return sorted.get((int) (fraction * (sorted.size() - 1))) / 1e6;
  }

  double meanMillis() {
    return responseNanos.stream().mapToLong(nanos -> nanos).average().orElse(0) / 1e6;
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
