package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/**
 * Checks when a stream whose events stop is noticed. The load: an engine crashes under streams with
 * an event each 30 ms and an objective of 200 ms for pauses.
 */
final class EarlyStallTest {
  private static final int EVENT_INTERVAL_MILLIS = 30;
  private static final int PAUSE_OBJECTIVE_MILLIS = 200;

  private final ForwardingFixture node = new ForwardingFixture();
  private SentAttempt stream;

  private FleetEndpoint startStream(int eventInterval) {
    node.engine(1, 0, 40);
    FleetEndpoint later = node.engine(2, 40, 80);
    node.request("/stream/x");
    stream = node.lastAttempt();
    stream.head(200);
    for (int event = 1; event <= 20; event++) {
      stream.event(event);
      node.advance(eventInterval);
    }
    return later;
  }

  // Guards against streams that all miss the objective for pauses because the loss of an engine is
  // only noticed when the objective has passed.
  @Test
  void pathAvoidsCrashedEngineBeforeTheObjectiveHasPassed() {
    FleetEndpoint crashed = startStream(EVENT_INTERVAL_MILLIS);
    node.engine(3, 40, 80);
    node.control.refusing.add(crashed.address());
    // Engines of the new path read the tokens so far, which takes some 80 ms.
    node.advance(PAUSE_OBJECTIVE_MILLIS - 80 - EVENT_INTERVAL_MILLIS);
    assertEquals(1, node.control.repathedPaths.size(), "path changes");
  }

  // Guards against checks without a pause in between, which would occupy the event loop.
  @Test
  @Timeout(20)
  void routeWithoutObjectiveForPausesIsCheckedAtIntervals() {
    EntryConfiguration standard = ForwardingFixture.configuration();
    EntryRoute route = standard.route("host.example", "/stream/").orElseThrow();
    EntryRoute withoutObjective =
        new EntryRoute(
            route.name(),
            route.host(),
            route.pathPrefix(),
            route.kind(),
            route.timeout(),
            route.objective(),
            Duration.ZERO,
            route.priority(),
            route.services(),
            route.attempts(),
            true);
    node.configuration =
        Optional.of(
            EntryConfiguration.of(
                4,
                List.of(withoutObjective),
                List.of(standard.service(ForwardingFixture.MODEL).orElseThrow()),
                ApiKeys.notRequired(),
                standard.limits()));
    startStream(EVENT_INTERVAL_MILLIS);
    node.advance(1000);
    // Engines are probed 200 ms after the last answer at the earliest.
    assertTrue(node.control.probed.size() <= 12, node.control.probed::toString);
  }

  // Guards against probes of healthy engines for each event of a slow stream.
  @Test
  void enginesWithLongPausesAreNotProbedBetweenEvents() {
    startStream(90);
    int probes = node.control.probed.size();
    for (int event = 21; event <= 40; event++) {
      stream.event(event);
      node.advance(90);
    }
    assertEquals(probes, node.control.probed.size(), "probes");
  }
}
