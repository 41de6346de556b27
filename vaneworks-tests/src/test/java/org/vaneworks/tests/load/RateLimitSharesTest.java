package org.vaneworks.tests.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.load.RateLimitShares;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests which nodes share the rate limit of an endpoint, and that they keep to it together. */
final class RateLimitSharesTest {
  private static final double LIMIT = 3.2;

  /** Duration over which started requests are counted, in seconds. */
  private static final int DURATION_SECONDS = 20;

  /**
   * Interval at which a node checks whether it may start a request; a start may be delayed by this
   * much.
   */
  private static final int CHECK_INTERVAL_MILLIS = 10;

  private final PausedExecutor clock = PausedExecutor.create();
  private ImmutableList<String> boxes = boxes(8);

  private static ImmutableList<String> boxes(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> "box-" + number)
        .collect(ImmutableList.toImmutableList());
  }

  /** One node with its own table of endpoints. */
  private final class Node {
    private final Fleet fleet =
        Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofSeconds(3));
    private final TrackedEndpoint engine;

    Node(String box, String dataCentre) {
      HostPort address = new HostPort("10.0.0.1", 80);
      fleet.put(
          new FleetEndpoint(
              "e1",
              "m",
              address,
              "dc1",
              134,
              false,
              Optional.of(LayerRange.of(0, 80)),
              "large",
              StorePosition.START));
      engine = fleet.find("m", address).orElseThrow();
      RateLimitShares.maintain(
          clock, new Random(box.hashCode()), fleet, box, dataCentre, () -> peersOf(box));
    }

    /**
     * Returns the number of requests that the node starts within the period, each as soon as
     * permitted.
     */
    int countStarts(double limit) {
      fleet.signals().rateLimits().recordFromEndpoint(engine, AdvertisedRateLimit.of(limit));
      int starts = 0;
      for (int tick = 0; tick < DURATION_SECONDS * 1000 / CHECK_INTERVAL_MILLIS; tick++) {
        clock.advance(Duration.ofMillis(CHECK_INTERVAL_MILLIS));
        starts += tryStart() ? 1 : 0;
        if (tick % 100 == 0) {
          fleet.signals().rateLimits().recordFromEndpoint(engine, AdvertisedRateLimit.of(limit));
        }
      }
      return starts;
    }

    boolean tryStart() {
      boolean permitted = !fleet.usable("m").isEmpty();
      if (permitted) {
        fleet.signals().recordCall(engine, CallPurpose.FIRST_SEND);
      }
      return permitted;
    }
  }

  /** Boxes with an even number are in dc1, the data centre of the engine. */
  private static String dataCentreOf(String box) {
    return Integer.parseInt(box.substring(4)) % 2 == 0 ? "dc1" : "dc2";
  }

  private ImmutableList<Peer> peersOf(String box) {
    return boxes.stream()
        .filter(other -> !other.equals(box))
        .map(other -> new Peer(other, dataCentreOf(other), new HostPort("10.1.0.1", 7340)))
        .collect(ImmutableList.toImmutableList());
  }

  private int startsOfAllNodes(double limit) {
    return boxes.stream()
        .mapToInt(box -> new Node(box, dataCentreOf(box)).countStarts(limit))
        .sum();
  }

  @Test
  void allNodesTogetherUseTheLimit() {
    assertEquals(LIMIT * DURATION_SECONDS, startsOfAllNodes(LIMIT), boxes.size());
  }

  @Test
  void allNodesTogetherUseTheLimitWithMoreNodesThanRequestsPerSecond() {
    boxes = boxes(100);
    assertEquals(LIMIT * DURATION_SECONDS, startsOfAllNodes(LIMIT), 2 * LIMIT);
  }

  @Test
  void nodesInOtherDataCentresDoNotUseTheEndpoint() {
    assertEquals(0, new Node("box-1", "dc2").countStarts(LIMIT));
  }

  @Test
  void nodesInOtherDataCentresShareTheLimitIfTheEndpointsOwnHasNone() {
    boxes = ImmutableList.of("box-1", "box-3", "box-5");
    assertEquals(LIMIT * DURATION_SECONDS, startsOfAllNodes(LIMIT), boxes.size());
  }

  @Test
  void singleNodeUsesTheWholeLimit() {
    boxes = ImmutableList.of("box-0");
    double lostStarts = LIMIT * DURATION_SECONDS * LIMIT * CHECK_INTERVAL_MILLIS / 1000;
    assertEquals(LIMIT * DURATION_SECONDS, startsOfAllNodes(LIMIT), 1 + lostStarts);
  }

  @Test
  void unusedStartsDoNotAccumulate() {
    boxes = ImmutableList.of("box-0");
    Node node = new Node("box-0", "dc1");
    node.fleet
        .signals()
        .rateLimits()
        .recordFromEndpoint(node.engine, AdvertisedRateLimit.of(LIMIT));
    node.tryStart();
    clock.advance(Duration.ofSeconds(8));
    assertTrue(node.tryStart());
    assertEquals(false, node.tryStart());
  }

  @Test
  void nodeWithoutShareTriesTheEndpointOnceTheLimitIsOutdated() {
    Node node = new Node("box-1", "dc2");
    node.fleet
        .signals()
        .rateLimits()
        .recordFromEndpoint(node.engine, AdvertisedRateLimit.of(LIMIT));
    int starts = 0;
    for (int tick = 0; tick < 3 * DURATION_SECONDS * 1000 / CHECK_INTERVAL_MILLIS; tick++) {
      clock.advance(Duration.ofMillis(CHECK_INTERVAL_MILLIS));
      starts += node.tryStart() ? 1 : 0;
    }
    assertTrue(starts >= 1 && starts <= LIMIT * 3 * DURATION_SECONDS / 8, starts + " starts");
  }
}
