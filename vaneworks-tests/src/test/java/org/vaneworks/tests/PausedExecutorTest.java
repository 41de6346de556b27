package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.testlib.PausedExecutor;

/** Tests the order in which a paused clock runs timers and arrivals after a simulated stall. */
final class PausedExecutorTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final List<String> events = new ArrayList<>();

  private void record(String what) {
    events.add(what + " at " + clock.currentTime(TimeUnit.MILLISECONDS));
  }

  // A stalled process runs its overdue timers before it reads its sockets. Guards against tests of
  // stalled nodes that pass only because the simulated clock delivers arrivals first.
  @Test
  void overdueTimersRunBeforePendingArrivals() {
    clock.deliver(() -> record("arrival"), Duration.ofMillis(10));
    clock.schedule(() -> clock.execute(() -> record("task of timer")), Duration.ofMillis(50));
    clock.schedule(
        () -> clock.schedule(() -> record("later"), Duration.ofMillis(1)), Duration.ZERO);
    clock.stall(Duration.ofMillis(100));
    clock.advance(Duration.ofMillis(1));
    assertEquals(List.of("task of timer at 100", "arrival at 100", "later at 101"), events);
  }

  @Test
  void arrivalsAreDeliveredOnTimeWhileTheThreadRuns() {
    clock.deliver(() -> record("arrival"), Duration.ofMillis(10));
    clock.schedule(() -> record("timer"), Duration.ofMillis(50));
    clock.advance(Duration.ofMillis(100));
    assertEquals(List.of("arrival at 10", "timer at 50"), events);
  }

  @Test
  void cancelledArrivalIsNotDelivered() {
    var arrival = clock.deliver(() -> record("arrival"), Duration.ofMillis(10));
    clock.schedule(arrival::cancel, Duration.ofMillis(20));
    clock.stall(Duration.ofMillis(30));
    assertEquals(List.of(), events);
  }
}
