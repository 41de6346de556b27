package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.entry.CallKind;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.RequestPriority;
import org.vaneworks.state.entry.WeightedService;

/**
 * Guards against routes of different urgency that are served alike because all workspaces have the
 * same priority.
 */
final class RequestPriorityTest {
  private static RequestPriority of(int route, OptionalInt workspace) {
    EntryRoute entry =
        new EntryRoute(
            "r",
            "host",
            "/",
            CallKind.RESUMABLE_STREAM,
            Duration.ofSeconds(20),
            Duration.ofMillis(500),
            Duration.ofMillis(200),
            route,
            ImmutableList.of(new WeightedService("m", 1)),
            2,
            false);
    return RequestPriority.of(entry, Optional.of(new Caller("ward", workspace)));
  }

  private static RequestPriority of(int route, int workspace) {
    return of(route, OptionalInt.of(workspace));
  }

  @Test
  void routesDecideWithinOnePriorityOfWorkspaces() {
    assertTrue(of(0, 1).compareTo(of(1, 1)) < 0);
    assertTrue(of(1, 1).compareTo(of(2, 1)) < 0);
    assertTrue(of(0, 1).engineLevel() < of(1, 1).engineLevel());
    assertTrue(of(1, 1).engineLevel() < of(2, 1).engineLevel());
  }

  @Test
  void workspaceGoesBeforeRoute() {
    assertTrue(of(2, 0).compareTo(of(0, 1)) < 0);
    assertTrue(of(2, 0).engineLevel() < of(0, 1).engineLevel());
  }

  @Test
  void workspaceWithoutPriorityCountsAsItsRoute() {
    assertEquals(of(2, 2), of(2, OptionalInt.empty()));
  }

  @Property
  void levelsKeepTheOrderAndTheirRange(
      @ForAll @IntRange(max = 12) int route,
      @ForAll @IntRange(max = 12) int workspace,
      @ForAll @IntRange(max = 12) int otherRoute,
      @ForAll @IntRange(max = 12) int otherWorkspace) {
    RequestPriority one = of(route, workspace);
    RequestPriority other = of(otherRoute, otherWorkspace);
    if (one.compareTo(other) <= 0) {
      assertTrue(one.engineLevel() <= other.engineLevel());
    }
    assertTrue(one.level() >= 0 && one.level() <= 99);
    assertTrue(one.engineLevel() >= 0 && one.engineLevel() <= 9);
  }
}
