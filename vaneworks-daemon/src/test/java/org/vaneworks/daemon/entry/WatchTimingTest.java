package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the timing of watches for revocation times and fleet sizes. */
final class WatchTimingTest {
  /** Maximum age of the confirmed configuration of a serving node; see {@link EntryNode}. */
  private static final double CONFIGURATION_AGE_FRACTION = 0.95;

  @Test
  void configurationStaysFreshWithASlowStore() {
    for (int seconds = 1; seconds <= 60; seconds++) {
      Duration revocation = Duration.ofSeconds(seconds);
      WatchTiming timing = WatchTiming.within(revocation, 350);
      Duration slowStore = revocation.dividedBy(10);

      Duration maxAge = timing.watchWait().multipliedBy(2).plus(timing.pause()).plus(slowStore);

      assertTrue(
          maxAge.toNanos() < revocation.toNanos() * CONFIGURATION_AGE_FRACTION,
          "revocation time in seconds: " + seconds);
    }
  }

  @Test
  void nodeServesForThreeTenthsOfRevocationTimeWithoutStore() {
    Duration revocation = Duration.ofSeconds(5);
    for (int nodes : new int[] {8, 32, 48, 64, 350}) {
      WatchTiming timing = WatchTiming.within(revocation, nodes);

      Duration maxAge = timing.watchWait().multipliedBy(2).plus(timing.pause());

      double servingNanos = revocation.toNanos() * CONFIGURATION_AGE_FRACTION - maxAge.toNanos();
      assertTrue(
          servingNanos >= revocation.toNanos() * 0.29,
          nodes + " nodes, nanoseconds without the store: " + servingNanos);
    }
  }

  @Test
  void smallFleetServesForAThirdOfRevocationTimeWithoutStore() {
    Duration revocation = Duration.ofSeconds(5);
    WatchTiming timing = WatchTiming.within(revocation, 8);

    Duration maxAge = timing.watchWait().multipliedBy(2).plus(timing.pause());

    double servingNanos = revocation.toNanos() * CONFIGURATION_AGE_FRACTION - maxAge.toNanos();
    assertTrue(
        servingNanos >= revocation.toNanos() / 3.0,
        "nanoseconds without the store: " + servingNanos);
  }

  @Test
  void watchWaitIsBoundedForLongRevocationTimes() {
    assertEquals(Duration.ofSeconds(3), WatchTiming.within(Duration.ofMinutes(1), 8).watchWait());
  }

  @Test
  void pauseGrowsWithFleetSize() {
    Duration revocation = Duration.ofSeconds(5);
    assertEquals(Duration.ofMillis(500), WatchTiming.within(revocation, 8).pause());
    assertEquals(Duration.ofMillis(500), WatchTiming.within(revocation, 32).pause());
    assertEquals(Duration.ofMillis(1125), WatchTiming.within(revocation, 48).pause());
    assertEquals(Duration.ofMillis(1750), WatchTiming.within(revocation, 85).pause());
  }
}
