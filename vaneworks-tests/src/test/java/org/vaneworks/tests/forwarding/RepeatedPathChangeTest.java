package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.Iterables;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks that the path of a stream is changed each time one of its engines is lost. */
final class RepeatedPathChangeTest {
  private static final String FIRST_PART = "10.0.0.1:80=0-40,";

  private final ForwardingFixture node = new ForwardingFixture();
  private SentAttempt stream;
  private int lastEvent;

  private void flow(int events) {
    for (int i = 0; i < events; i++) {
      lastEvent++;
      stream.event(lastEvent);
      node.advance(100);
    }
  }

  /** Lets engines fall silent until the path is changed; returns the last path ordered. */
  private String loseAndRepair(FleetEndpoint... engines) {
    int before = node.control.repathedPaths.size();
    for (FleetEndpoint engine : engines) {
      node.control.silent.add(engine.address());
    }
    for (int i = 0; i < 20 && node.control.repathedPaths.size() == before; i++) {
      node.advance(100);
    }
    assertNotEquals(before, node.control.repathedPaths.size(), "path changes");
    return node.control.repathedPaths.get(before);
  }

  // Guards against a stream that stands still until its deadline when an engine of its path is
  // lost that was lost before together with another one, for which one path change was enough.
  @Test
  void engineLostTogetherWithAnotherIsReplacedWhenLostAgain() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 60);
    FleetEndpoint third = node.engine(4, 60, 80);
    node.request("/stream/x");
    stream = node.lastAttempt();
    stream.head(200);
    flow(1);
    FleetEndpoint both = node.engine(3, 40, 80);
    assertEquals(FIRST_PART + "10.0.0.3:80=40-80", loseAndRepair(second, third));
    node.control.silent.clear();
    flow(20);
    assertEquals(FIRST_PART + "10.0.0.2:80=40-60,10.0.0.4:80=60-80", loseAndRepair(both));
    flow(20);
    node.engine(5, 60, 80);
    assertEquals(FIRST_PART + "10.0.0.2:80=40-60,10.0.0.5:80=60-80", loseAndRepair(third));
  }

  // Guards against a stream that stands still until its deadline when an engine of its path is
  // lost, because the node disregarded that the first engine had accepted this path.
  @Test
  void engineOfThePathAcceptedLastIsReplaced() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 60);
    FleetEndpoint third = node.engine(4, 60, 80);
    node.request("/stream/x");
    stream = node.lastAttempt();
    stream.head(200);
    flow(1);
    // Each order avoids the engine of the one before, and neither is answered when the other is
    // given.
    FleetEndpoint one = node.engine(5, 40, 80);
    FleetEndpoint other = node.engine(6, 40, 80);
    node.fleet.onSuspicion(engine -> avoidEngineOfLastOrder(one, other));
    loseAndRepair(second, third);
    assertEquals(2, node.control.repathedPaths.size(), "path changes");
    String first = node.control.repathedPaths.get(0);
    String last = node.control.repathedPaths.get(1);
    assertNotEquals(first, last);
    node.engine(7, 40, 80);
    flow(20);
    loseAndRepair(last.contains(one.address().toString()) ? one : other);
  }

  private void avoidEngineOfLastOrder(FleetEndpoint... engines) {
    String last = Iterables.getLast(node.control.repathedPaths, "");
    for (FleetEndpoint engine : engines) {
      if (last.contains(engine.address().toString())) {
        node.fleet
            .find(ForwardingFixture.MODEL, engine.address())
            .orElseThrow()
            .avoidUntil(node.now() + Duration.ofMillis(200).toNanos());
      }
    }
  }
}
