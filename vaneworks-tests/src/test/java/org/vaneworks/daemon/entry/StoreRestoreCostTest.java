package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.coordination.shared.NodeLease;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.shared.BoxClock;
import org.vaneworks.tests.shared.InMemorySharedStore;
import org.vaneworks.tests.shared.StoreLink;

/** Checks how often nodes call a store that was just restored from a backup. */
final class StoreRestoreCostTest {
  private static final String PREFIX = "vaneworks/";
  private static final Duration KEY_REVOCATION = Duration.ofSeconds(5);
  private static final int COUNTED_MILLIS = 2000;

  private final PausedExecutor clock = PausedExecutor.create();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final List<NodeLease> nodes = new ArrayList<>();

  private void startNode(int index) {
    StoreLink link = new StoreLink(clock, store);
    BoxClock time = new BoxClock(clock);
    NodeLease lease =
        NodeLease.create(
            clock,
            new Random(index),
            link,
            time.suspensionDetector(),
            PREFIX,
            "box" + index,
            "dc1",
            "run",
            () -> Optional.of(new HostPort("10.1.0.1", 7000 + index)),
            Optional::empty,
            () -> KEY_REVOCATION);
    PrefixFollower.create(
            clock,
            new Random(index),
            link,
            Counters.in(new SimpleMeterRegistry()),
            "",
            () -> WatchTiming.within(KEY_REVOCATION, lease.sharingNodes()).watchWait(),
            () -> WatchTiming.within(KEY_REVOCATION, lease.sharingNodes()).pause(),
            lease,
            time.suspensionDetector())
        .start();
    lease.start();
    nodes.add(lease);
  }

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private int callsWithin(int millis) {
    int before = store.calls();
    advance(millis);
    return store.calls() - before;
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 95, 350})
  void callsAfterARestoreAreAtMostTwiceThoseOfAColdStart(int count) {
    store.takeBackup();
    int before = store.calls();
    for (int index = 0; index < count; index++) {
      startNode(index);
    }
    advance(COUNTED_MILLIS);
    int coldStart = store.calls() - before;
    advance(10_000);
    store.restoreBackup();
    int afterRestore = callsWithin(COUNTED_MILLIS);
    assertTrue(afterRestore <= 2 * coldStart, afterRestore + " calls, cold start " + coldStart);
    advance(10_000);
    assertEquals(count, nodes.get(0).liveNodes());
  }
}
