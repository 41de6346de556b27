package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.vaneworks.coordination.fleet.ReplicaPace;
import org.vaneworks.coordination.fleet.TrackedEndpoint;

/**
 * Chooses the replica of a plain service at which a request is expected to be answered first. Does
 * no I/O and keeps no state between choices.
 *
 * <p>Nodes that choose from the same view would all take the replica that is free according to the
 * latest reports. Therefore each draws at random, with the probabilities at which all of them
 * together fill the replicas evenly. A node without peers draws among the best replicas only.
 */
public final class ReplicaChoice {
  /**
   * Replicas whose relative service times differ by less than this factor count as equally fast.
   * The requests in flight make up for smaller differences, as slower replicas keep theirs longer.
   */
  private static final double SAME_PACE_FACTOR = 2;

  /**
   * Relative service time from which a replica is reported to peers as slow; higher than the factor
   * above, because a wrong report affects all nodes.
   */
  private static final double REPORTED_SLOWNESS = 3;

  /** Number of own samples from which a slow replica is reported to peers. */
  private static final double SAMPLES_TO_REPORT = 2.5;

  /** Number of own samples from which reports of peers are ignored. */
  private static final double SUFFICIENT_SAMPLES = 3;

  /** Number of samples that a lower bound of the service time is worth. */
  private static final double SAMPLES_OF_LOWER_BOUND = 2;

  /**
   * One request in this many is sent to a slow replica, if any, whose latest measurement is old. So
   * a recovery is noticed at the cost of 2 % of the requests.
   */
  private static final int CHOICES_PER_PROBE = 50;

  /**
   * One replica in this many is avoided at most because it was full. With more, the others were
   * overloaded at 60 % of the capacity and refused in turn without an end.
   */
  private static final int MIN_REPLICAS_PER_AVOIDED = 3;

  /** Three of four choices between two equals prefer the one to which a connection exists. */
  private static final double CONNECTED_FRACTION = 0.5;

  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);

  /**
   * A usable replica.
   *
   * @param serviceNanos the mean service time that this node measured
   * @param samples the number of samples that the mean is worth; less than 1 if it is unknown
   * @param atLeastNanos a lower bound of a service time that is not measured
   * @param reportedSlowness the service time that peers reported, relative to that of the others; 1
   *     if they did not report that the replica is slow
   * @param requests the estimated number of requests of all nodes at the replica
   * @param slots the number of requests that the replica serves concurrently
   * @param backoffEndsAt when it may be used again after a refusal, on the node's clock
   * @param refusesRepeatedly whether it refused several requests and has accepted none for a while
   * @param tried whether the request has been sent to it already
   * @param connected whether an idle connection to it exists
   * @param probe whether a request of this node may measure it now, if it is slow
   */
  public record Candidate(
      double serviceNanos,
      double samples,
      double atLeastNanos,
      double reportedSlowness,
      double requests,
      int slots,
      long backoffEndsAt,
      boolean refusesRepeatedly,
      boolean tried,
      boolean connected,
      Probe probe) {
    /** Checks the ranges. */
    public Candidate {
      checkArgument(reportedSlowness >= 1, "slowness must be at least 1: %s", reportedSlowness);
      checkArgument(requests >= 0, "requests must not be negative: %s", requests);
      checkArgument(slots > 0, "slots must be positive: %s", slots);
    }

    /** Describes a replica as this node knows it. */
    public static Candidate of(
        TrackedEndpoint replica, boolean tried, boolean connected, long now) {
      ReplicaPace pace = replica.replicaPace();
      return new Candidate(
          pace.meanNanos(),
          pace.samples(now),
          pace.atLeastNanos(now),
          replica.paceReportedByPeers(),
          replica.totalRequests() * replica.shortage(now),
          Math.max(1, replica.endpoint().slots()),
          replica.refusalBackoffEndsAt(),
          replica.refusesRepeatedly(now),
          tried,
          connected,
          Probe.of(replica, now));
    }
  }

  /** Whether a replica that is slow should be measured again. */
  public enum Probe {
    /** It was measured recently, or is being measured. */
    NONE,
    /** The latest measurement is old. */
    DUE,
    /** The latest request was fast, so that the replica may have recovered. */
    URGENT;

    private static Probe of(TrackedEndpoint replica, long now) {
      if (replica.inFlight() > 0) {
        return NONE;
      }
      if (replica.replicaPace().mayHaveRecovered()) {
        return URGENT;
      }
      return replica.replicaPace().age(now).compareTo(PROBE_INTERVAL) >= 0 ? DUE : NONE;
    }
  }

  private final ImmutableList<Candidate> candidates;

  /** Service times relative to the mean of all requests; those that differ little are equal. */
  private final double[] relativeTimes;

  private final double fastest;

  private ReplicaChoice(ImmutableList<Candidate> candidates) {
    this.candidates = candidates;
    this.relativeTimes = groupBySpeed(relativeTimes(candidates));
    this.fastest = Arrays.stream(relativeTimes).min().orElse(1);
  }

  /** Prepares a choice among candidates. */
  public static ReplicaChoice among(ImmutableList<Candidate> candidates) {
    return new ReplicaChoice(candidates);
  }

  /**
   * Returns how many times slower than the fastest replicas this node has measured a candidate to
   * be; 1 if it is not slow enough to be reported to peers, or was not measured by this node.
   */
  public double slownessToReport(int index) {
    double slowness = relativeTimes[index] / fastest;
    boolean measured = candidates.get(index).samples() >= SAMPLES_TO_REPORT;
    return measured && slowness >= REPORTED_SLOWNESS ? slowness : 1;
  }

  /**
   * Chooses a candidate. Replicas that refuse on are used only if all do; then the one whose
   * backoff ends first, unless it refused this request.
   *
   * @param peers the number of other nodes that choose from the same view
   * @return the index of the chosen candidate; empty if there is none
   */
  public OptionalInt choose(double peers, long now, RandomGenerator random) {
    int[] open = open(now);
    int[] untried = Arrays.stream(open).filter(i -> !candidates.get(i).tried()).toArray();
    if (open.length == 0) {
      return firstToEndBackoff();
    }
    if (untried.length == 0) {
      return OptionalInt.of(choose(open, peers, random));
    }
    OptionalInt probed = probed(untried, random);
    if (probed.isPresent()) {
      return probed;
    }
    return OptionalInt.of(choose(untried, peers, random));
  }

  private IntStream all() {
    return IntStream.range(0, candidates.size());
  }

  /**
   * Returns the candidates that are not avoided. Most that refused a single request were only full
   * at that moment. If many are avoided for that, the others fill up and refuse as well, even if
   * all together have room.
   */
  private int[] open(long now) {
    int avoidable = Math.max(1, candidates.size() / MIN_REPLICAS_PER_AVOIDED);
    Set<Integer> avoided =
        all()
            .filter(i -> candidates.get(i).backoffEndsAt() > now)
            .filter(i -> !candidates.get(i).refusesRepeatedly())
            .boxed()
            .sorted(Comparator.comparingLong(i -> -candidates.get(i).backoffEndsAt()))
            .limit(avoidable)
            .collect(Collectors.toSet());
    return all()
        .filter(i -> !avoided.contains(i))
        .filter(i -> candidates.get(i).backoffEndsAt() <= now || !candidates.get(i).tried())
        .filter(
            i -> candidates.get(i).backoffEndsAt() <= now || !candidates.get(i).refusesRepeatedly())
        .toArray();
  }

  private OptionalInt firstToEndBackoff() {
    return all()
        .filter(i -> !candidates.get(i).tried())
        .boxed()
        .min(Comparator.comparingLong(i -> candidates.get(i).backoffEndsAt()))
        .map(OptionalInt::of)
        .orElseGet(OptionalInt::empty);
  }

  /**
   * Returns the service times relative to the mean of all samples. That is mostly the mean of the
   * fast replicas, which answer more requests. Replicas without measurements count like the mean.
   */
  private static double[] relativeTimes(ImmutableList<Candidate> candidates) {
    double samples = candidates.stream().mapToDouble(Candidate::samples).sum();
    double sum =
        candidates.stream()
            .mapToDouble(candidate -> candidate.samples() * candidate.serviceNanos())
            .sum();
    double mean = samples >= 1 && sum > 0 ? sum / samples : 0;
    return candidates.stream().mapToDouble(candidate -> relativeTime(candidate, mean)).toArray();
  }

  private static double relativeTime(Candidate candidate, double mean) {
    if (mean == 0) {
      return candidate.reportedSlowness();
    }
    double time = likelyRatio(candidate.serviceNanos() / mean, candidate.samples());
    if (candidate.samples() >= SUFFICIENT_SAMPLES) {
      return time;
    }
    double bound = likelyRatio(candidate.atLeastNanos() / mean, SAMPLES_OF_LOWER_BOUND);
    return Math.max(Math.max(time, bound), candidate.reportedSlowness());
  }

  /**
   * Returns the ratio, closer to 1 by the standard error of a mean of exponentially distributed
   * times. Equal replicas then differ by more than {@link #SAME_PACE_FACTOR} in about one
   * measurement of ten thousand.
   */
  private static double likelyRatio(double ratio, double samples) {
    if (samples <= 1 || ratio <= 0) {
      return 1;
    }
    double certainty = 1 - 1 / Math.sqrt(samples);
    return ratio > 1 ? Math.max(1, ratio * certainty) : Math.min(1, ratio / certainty);
  }

  /** Replaces times that differ little by their mean. */
  private static double[] groupBySpeed(double[] times) {
    double[] sorted = Arrays.stream(times).sorted().toArray();
    double[] grouped = times.clone();
    int from = 0;
    while (from < sorted.length) {
      double lowest = sorted[from];
      double highest = lowest * SAME_PACE_FACTOR;
      int to = from;
      double sum = 0;
      while (to < sorted.length && sorted[to] <= highest) {
        sum += sorted[to];
        to++;
      }
      for (int i = 0; i < times.length; i++) {
        if (times[i] >= lowest && times[i] <= highest) {
          grouped[i] = sum / (to - from);
        }
      }
      from = to;
    }
    return grouped;
  }

  /** Returns a slow replica that is to be measured again by this request, if any. */
  private OptionalInt probed(int[] indices, RandomGenerator random) {
    int[] slow =
        Arrays.stream(indices)
            .filter(i -> relativeTimes[i] > fastest)
            .filter(i -> candidates.get(i).probe() != Probe.NONE)
            .toArray();
    OptionalInt urgent =
        Arrays.stream(slow).filter(i -> candidates.get(i).probe() == Probe.URGENT).findFirst();
    if (slow.length == 0 || urgent.isPresent()) {
      return urgent;
    }
    return random.nextInt(CHOICES_PER_PROBE) == 0
        ? OptionalInt.of(slow[random.nextInt(slow.length)])
        : OptionalInt.empty();
  }

  private int choose(int[] indices, double peers, RandomGenerator random) {
    if (peers == 0) {
      return best(indices, random);
    }
    return best(new int[] {draw(indices, peers, random), draw(indices, peers, random)}, random);
  }

  /**
   * Returns the cheapest replica. A random fraction of a request decides between equals, a smaller
   * one for replicas to which a connection exists, as a new one costs the replica time. The
   * fraction is random all the same, so that connections to the others are opened too and the
   * requests of a node do not all go to one replica.
   */
  private int best(int[] indices, RandomGenerator random) {
    int best = indices[0];
    double lowest = Double.POSITIVE_INFINITY;
    for (int i : indices) {
      Candidate candidate = candidates.get(i);
      double fraction = random.nextDouble() * (candidate.connected() ? CONNECTED_FRACTION : 1);
      double level = level(i, candidate.requests() + fraction);
      if (level < lowest) {
        best = i;
        lowest = level;
      }
    }
    return best;
  }

  /**
   * Draws a replica in proportion to the requests that it would get if this node and its peers
   * together filled the cheapest replicas up to the same cost.
   *
   * @param peers the number of other nodes that choose from the same view now
   */
  private int draw(int[] indices, double peers, RandomGenerator random) {
    double level = levelAfter(indices, 1 + peers);
    double rest = random.nextDouble() * (1 + peers);
    int chosen = indices[0];
    for (int i : indices) {
      double requests = requestsAt(level, i);
      if (requests > 0) {
        chosen = i;
        rest -= requests;
      }
      if (rest < 0) {
        break;
      }
    }
    return chosen;
  }

  /** Returns the square root of the cost of the cheapest replicas after further requests. */
  private double levelAfter(int[] indices, double requests) {
    int[] cheapestFirst =
        Arrays.stream(indices)
            .boxed()
            .sorted(Comparator.comparingDouble(i -> level(i, candidates.get(i).requests())))
            .mapToInt(i -> i)
            .toArray();
    double total = requests;
    double perLevel = 0;
    double level = Double.POSITIVE_INFINITY;
    for (int i : cheapestFirst) {
      if (level(i, candidates.get(i).requests()) >= level) {
        break;
      }
      total += candidates.get(i).slots() + candidates.get(i).requests();
      perLevel += candidates.get(i).slots() / Math.sqrt(relativeTimes[i]);
      level = total / perLevel;
    }
    return level;
  }

  /** Returns how many more requests bring a replica to a level; negative if it is above. */
  private double requestsAt(double level, int index) {
    Candidate candidate = candidates.get(index);
    double rounds = level / Math.sqrt(relativeTimes[index]);
    return candidate.slots() * (rounds - 1) - candidate.requests();
  }

  /**
   * Returns the square root of the cost of a replica: the expected completion time, multiplied once
   * more by the rounds of requests ahead. The more requests a replica has, the sooner it refuses
   * some, while slow ones have free slots.
   */
  private double level(int index, double requests) {
    double rounds = 1 + requests / candidates.get(index).slots();
    return Math.sqrt(relativeTimes[index]) * rounds;
  }
}
