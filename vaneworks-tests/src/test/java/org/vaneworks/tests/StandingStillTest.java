package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.testlib.PausedExecutor;

/** Checks in which order a paused clock that stood still goes on. */
final class StandingStillTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final List<String> seen = new ArrayList<>();

  private void see(String what) {
    seen.add(what + " at " + clock.currentTime(TimeUnit.MILLISECONDS));
  }

  // Guards against tests of late nodes that pass because the clock reads sockets first.
  @Test
  void timersThatCameDueRunBeforeWhatArrivedIsRead() {
    clock.deliver(() -> see("arrival"), Duration.ofMillis(10));
    clock.schedule(() -> clock.execute(() -> see("task of timer")), Duration.ofMillis(50));
    clock.schedule(() -> clock.schedule(() -> see("later"), Duration.ofMillis(1)), Duration.ZERO);
    clock.stall(Duration.ofMillis(100));
    clock.advance(Duration.ofMillis(1));
    assertEquals(List.of("task of timer at 100", "arrival at 100", "later at 101"), seen);
  }

  @Test
  void arrivalsAreReadInTimeWhileTheThreadRuns() {
    clock.deliver(() -> see("arrival"), Duration.ofMillis(10));
    clock.schedule(() -> see("timer"), Duration.ofMillis(50));
    clock.advance(Duration.ofMillis(100));
    assertEquals(List.of("arrival at 10", "timer at 50"), seen);
  }

  @Test
  void arrivalThatWasCalledOffIsNotRead() {
    var arrival = clock.deliver(() -> see("arrival"), Duration.ofMillis(10));
    clock.schedule(arrival::cancel, Duration.ofMillis(20));
    clock.stall(Duration.ofMillis(30));
    assertEquals(List.of(), seen);
  }
}
