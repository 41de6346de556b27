package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class WatchTimingTest {
  /** Part of the revocation time in which the node serves; see EntryNode. */
  private static final double SERVES_FOR = 0.95;

  @Test
  void viewStaysYoungEnoughToServeWhileASlowStoreAnswers() {
    for (int seconds = 1; seconds <= 60; seconds++) {
      Duration revocation = Duration.ofSeconds(seconds);
      WatchTiming times = WatchTiming.within(revocation, 350);
      Duration slowStore = revocation.dividedBy(10);

      Duration oldest = times.watchWait().multipliedBy(2).plus(times.pause()).plus(slowStore);

      assertTrue(oldest.toNanos() < revocation.toNanos() * SERVES_FOR, "at " + seconds);
    }
  }

  @Test
  void nodeServesOnForThreeTenthsOfTheTimeWhenTheStoreGoesAway() {
    Duration revocation = Duration.ofSeconds(5);
    for (int nodes : new int[] {8, 32, 48, 64, 350}) {
      WatchTiming times = WatchTiming.within(revocation, nodes);

      Duration oldest = times.watchWait().multipliedBy(2).plus(times.pause());

      double servesOn = revocation.toNanos() * SERVES_FOR - oldest.toNanos();
      assertTrue(servesOn >= revocation.toNanos() * 0.29, nodes + " nodes: " + servesOn);
    }
  }

  @Test
  void smallFleetServesOnForAThirdOfTheTime() {
    Duration revocation = Duration.ofSeconds(5);
    WatchTiming times = WatchTiming.within(revocation, 8);

    Duration oldest = times.watchWait().multipliedBy(2).plus(times.pause());

    double servesOn = revocation.toNanos() * SERVES_FOR - oldest.toNanos();
    assertTrue(servesOn >= revocation.toNanos() / 3.0, "serves on for " + servesOn);
  }

  @Test
  void longRevocationTimeDoesNotDelayTheEndOfASilentWatch() {
    assertEquals(Duration.ofSeconds(3), WatchTiming.within(Duration.ofMinutes(1), 8).watchWait());
  }

  @Test
  void largeFleetCallsLessOften() {
    Duration revocation = Duration.ofSeconds(5);
    assertEquals(Duration.ofMillis(500), WatchTiming.within(revocation, 8).pause());
    assertEquals(Duration.ofMillis(500), WatchTiming.within(revocation, 32).pause());
    assertEquals(Duration.ofMillis(1125), WatchTiming.within(revocation, 48).pause());
    assertEquals(Duration.ofMillis(1750), WatchTiming.within(revocation, 85).pause());
  }
}
