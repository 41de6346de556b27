package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.ReplicaChoice;
import org.vaneworks.coordination.forwarding.ReplicaChoice.Candidate;
import org.vaneworks.coordination.forwarding.ReplicaChoice.Probe;

/** Tests the choice of a replica from what is known about all of them. */
final class ReplicaChoiceTest {
  private static final long NOW = 1_000_000_000_000L;
  private static final long NEVER = Long.MIN_VALUE;
  private static final double MILLI = 1e6;
  private static final int SLOTS = 6;

  private final Random random = new Random(5);

  private static Candidate measured(double millis, double requests) {
    return new Candidate(
        millis * MILLI, 50, 0, 1, requests, SLOTS, NEVER, false, false, false, Probe.NONE);
  }

  private static Candidate unmeasured(double requests) {
    return new Candidate(0, 0, 0, 1, requests, SLOTS, NEVER, false, false, false, Probe.NONE);
  }

  private static Candidate refused(long backoffEndsAt, boolean repeatedly, boolean tried) {
    return new Candidate(
        50 * MILLI, 50, 0, 1, 0, SLOTS, backoffEndsAt, repeatedly, tried, false, Probe.NONE);
  }

  private OptionalInt choose(Candidate... candidates) {
    return ReplicaChoice.among(ImmutableList.copyOf(candidates)).choose(0, NOW, random);
  }

  private long chosenOf(int tries, int index, Candidate... candidates) {
    return IntStream.range(0, tries).filter(i -> choose(candidates).getAsInt() == index).count();
  }

  // Guards against requests that wait at a slow replica while a fast one has requests but answers
  // earlier.
  @Test
  void slowReplicaIsChosenOnlyIfOthersHaveManyRequests() {
    assertEquals(1, choose(measured(600, 0), measured(50, 6)).getAsInt());
    assertEquals(0, choose(measured(600, 0), measured(50, 30)).getAsInt());
  }

  // Guards against replicas that are preferred because their service times differ by chance.
  @Test
  void similarServiceTimesCountAsEqual() {
    assertEquals(1, choose(measured(50, 3), measured(80, 1)).getAsInt());
  }

  @Test
  void replicaWithoutMeasurementsCountsLikeTheOthers() {
    assertEquals(0, choose(unmeasured(1), measured(50, 3)).getAsInt());
    assertEquals(1, choose(unmeasured(3), measured(50, 1)).getAsInt());
  }

  // Guards against a replica so slow that no caller waits for its answers, and no sample exists.
  @Test
  void replicaThatAnswersNobodyCountsAsSlow() {
    Candidate silent =
        new Candidate(0, 0, 900 * MILLI, 1, 0, SLOTS, NEVER, false, false, false, Probe.NONE);
    assertEquals(1, choose(silent, measured(50, 3)).getAsInt());
  }

  @Test
  void reportsOfPeersCountWithoutOwnMeasurements() {
    Candidate reported =
        new Candidate(0, 0, 0, 12, 0, SLOTS, NEVER, false, false, false, Probe.NONE);
    assertEquals(1, choose(reported, measured(50, 3)).getAsInt());
    Candidate own =
        new Candidate(50 * MILLI, 50, 0, 12, 0, SLOTS, NEVER, false, false, false, Probe.NONE);
    assertEquals(0, choose(own, measured(50, 3)).getAsInt());
  }

  // Guards against a wrong report to all nodes because of one slow answer.
  @Test
  void slownessIsReportedOnlyIfMeasuredSeveralTimes() {
    Candidate once =
        new Candidate(600 * MILLI, 1, 0, 1, 0, SLOTS, NEVER, false, false, false, Probe.NONE);
    ReplicaChoice afterOne = ReplicaChoice.among(ImmutableList.of(once, measured(50, 0)));
    assertEquals(1, afterOne.slownessToReport(0));
    ReplicaChoice afterMany =
        ReplicaChoice.among(ImmutableList.of(measured(600, 0), measured(50, 0), measured(50, 0)));
    assertTrue(afterMany.slownessToReport(0) > 5);
    assertEquals(1, afterMany.slownessToReport(1));
  }

  @Test
  void slowReplicaIsMeasuredAgainByFewRequests() {
    Candidate slow =
        new Candidate(600 * MILLI, 50, 0, 1, 0, SLOTS, NEVER, false, false, false, Probe.DUE);
    long probes = chosenOf(1000, 0, slow, measured(50, 3));
    assertTrue(probes > 5 && probes < 50, probes + " of 1000");
    Candidate fastAgain =
        new Candidate(600 * MILLI, 50, 0, 1, 0, SLOTS, NEVER, false, false, false, Probe.URGENT);
    assertEquals(0, choose(fastAgain, measured(50, 3)).getAsInt());
  }

  @Test
  void replicaThatRefusedIsAvoided() {
    assertEquals(0, chosenOf(100, 0, refused(NOW + 1, false, false), measured(50, 20)));
    assertEquals(0, choose(refused(NOW, false, false), measured(50, 20)).getAsInt());
  }

  // Guards against a service that is unavailable although its replicas may have room again.
  @Test
  void firstToEndItsBackoffIsChosenIfAllRefused() {
    assertEquals(
        1,
        choose(
                refused(NOW + 300, true, false),
                refused(NOW + 100, true, false),
                refused(NOW + 200, true, false))
            .getAsInt());
  }

  // Guards against a request that is sent again at once to the replica that has just refused it.
  @Test
  void requestWaitsIfAllReplicasRefusedIt() {
    assertFalse(choose(refused(NOW + 1, true, true)).isPresent());
    assertFalse(choose(refused(NOW + 1, false, true)).isPresent());
  }

  private static Candidate connected(double requests) {
    return new Candidate(
        50 * MILLI, 50, 0, 1, requests, SLOTS, NEVER, false, false, true, Probe.NONE);
  }

  // Guards against new connections, which cost the replica time, while an idle one could be used;
  // and against all requests of a node going to the replica that it is connected to.
  @Test
  void idleConnectionIsPreferredAmongEqualsOnly() {
    long chosen = chosenOf(1000, 0, connected(2), measured(50, 2));
    assertTrue(chosen > 650 && chosen < 850, chosen + " of 1000");
    assertEquals(0, chosenOf(1000, 0, connected(3), measured(50, 2)));
  }

  @Test
  void triedReplicaIsChosenOnlyWithoutAnother() {
    Candidate tried = refused(NEVER, false, true);
    assertEquals(0, chosenOf(100, 0, tried, measured(50, 20)));
    assertEquals(0, choose(tried).getAsInt());
  }

  // Guards against requests that are refused although a replica can be used: one that does not back
  // off, or that the request has not been sent to.
  @Property(tries = 2000, seed = "20261204")
  void usableReplicaIsAlwaysChosen(
      @ForAll @IntRange(min = 0, max = 12) int count,
      @ForAll @IntRange(min = 0, max = 350) int peers,
      @ForAll long seed) {
    Random values = new Random(seed);
    ImmutableList<Candidate> candidates =
        IntStream.range(0, count)
            .mapToObj(i -> anyCandidate(values))
            .collect(ImmutableList.toImmutableList());
    OptionalInt chosen = ReplicaChoice.among(candidates).choose(peers, NOW, values);
    boolean anyOpen = candidates.stream().anyMatch(candidate -> candidate.backoffEndsAt() <= NOW);
    boolean anyUntried = candidates.stream().anyMatch(candidate -> !candidate.tried());
    assertEquals(anyOpen || anyUntried, chosen.isPresent());
    if (chosen.isPresent()) {
      Candidate candidate = candidates.get(chosen.getAsInt());
      assertTrue(!candidate.tried() || candidate.backoffEndsAt() <= NOW, "refused this request");
      boolean anyBetter =
          candidates.stream().anyMatch(other -> other.backoffEndsAt() <= NOW && !other.tried());
      assertFalse(
          anyBetter && candidate.refusesRepeatedly() && candidate.backoffEndsAt() > NOW,
          "refuses on, and another replica does not");
    }
  }

  private static Candidate anyCandidate(Random values) {
    double[] times = {0, 1, 50 * MILLI, 600 * MILLI, 1e15};
    long[] ends = {NEVER, NOW, NOW + 1, NOW + 1_600_000_000L, Long.MAX_VALUE};
    return new Candidate(
        times[values.nextInt(times.length)],
        values.nextInt(4) * 1.5,
        times[values.nextInt(times.length)],
        1 + values.nextInt(12),
        values.nextInt(3) * 100 * values.nextDouble(),
        1 + values.nextInt(200),
        ends[values.nextInt(ends.length)],
        values.nextBoolean(),
        values.nextBoolean(),
        values.nextBoolean(),
        Probe.values()[values.nextInt(3)]);
  }
}
