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
import org.vaneworks.coordination.load.StartShares;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.AdvertisedRateLimit;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks which nodes share what an endpoint takes. */
final class StartSharesTest {
  private static final double LIMIT = 3.2;

  /** Shares are told apart by the starts that they allow in that time. */
  private static final int SECONDS = 20;

  /** Between two looks; each start waits for the next one. */
  private static final int TICK_MILLIS = 10;

  private final PausedExecutor clock = PausedExecutor.create();
  private ImmutableList<String> boxes = boxes(8);

  private static ImmutableList<String> boxes(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> "box-" + number)
        .collect(ImmutableList.toImmutableList());
  }

  /** One node's view. */
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
      engine = fleet.at("m", address).orElseThrow();
      StartShares.keep(
          clock, new Random(box.hashCode()), fleet, box, dataCentre, () -> peersOf(box));
    }

    /** Returns how many requests it may begin in a while, each as soon as it may. */
    int startsInAWhile(double limit) {
      fleet.statements().limits().heard(engine, AdvertisedRateLimit.of(limit));
      int starts = 0;
      for (int tick = 0; tick < SECONDS * 1000 / TICK_MILLIS; tick++) {
        clock.advance(Duration.ofMillis(TICK_MILLIS));
        starts += begin() ? 1 : 0;
        if (tick % 100 == 0) {
          fleet.statements().limits().heard(engine, AdvertisedRateLimit.of(limit));
        }
      }
      return starts;
    }

    boolean begin() {
      boolean open = !fleet.usable("m").isEmpty();
      if (open) {
        fleet.statements().noteCall(engine, CallPurpose.FIRST_SEND);
      }
      return open;
    }
  }

  /** Boxes with an even number stand in dc1, beside the engine. */
  private static String dataCentreOf(String box) {
    return Integer.parseInt(box.substring(4)) % 2 == 0 ? "dc1" : "dc2";
  }

  private ImmutableList<Peer> peersOf(String box) {
    return boxes.stream()
        .filter(other -> !other.equals(box))
        .map(other -> new Peer(other, dataCentreOf(other), new HostPort("10.1.0.1", 7340)))
        .collect(ImmutableList.toImmutableList());
  }

  private int allStarts(double limit) {
    return boxes.stream()
        .mapToInt(box -> new Node(box, dataCentreOf(box)).startsInAWhile(limit))
        .sum();
  }

  @Test
  void allNodesTogetherMayBeginWhatTheEndpointTakes() {
    assertEquals(LIMIT * SECONDS, allStarts(LIMIT), boxes.size());
  }

  @Test
  void sameHoldsForMoreNodesThanTheLimitIsLarge() {
    boxes = boxes(100);
    assertEquals(LIMIT * SECONDS, allStarts(LIMIT), 2 * LIMIT);
  }

  @Test
  void nodesOfOtherDataCentresLeaveTheEndpointAlone() {
    assertEquals(0, new Node("box-1", "dc2").startsInAWhile(LIMIT));
  }

  @Test
  void nodesOfOtherDataCentresShareItIfItsOwnHasNone() {
    boxes = ImmutableList.of("box-1", "box-3", "box-5");
    assertEquals(LIMIT * SECONDS, allStarts(LIMIT), boxes.size());
  }

  @Test
  void nodeThatIsAloneMayBeginAll() {
    boxes = ImmutableList.of("box-0");
    double looks = LIMIT * SECONDS * LIMIT * TICK_MILLIS / 1000;
    assertEquals(LIMIT * SECONDS, allStarts(LIMIT), 1 + looks);
  }

  @Test
  void startsAreNotSavedUp() {
    boxes = ImmutableList.of("box-0");
    Node node = new Node("box-0", "dc1");
    node.fleet.statements().limits().heard(node.engine, AdvertisedRateLimit.of(LIMIT));
    node.begin();
    clock.advance(Duration.ofSeconds(8));
    assertTrue(node.begin());
    assertEquals(false, node.begin());
  }

  @Test
  void nodeWithoutAShareTriesTheEndpointOnceItsWordIsOld() {
    Node node = new Node("box-1", "dc2");
    node.fleet.statements().limits().heard(node.engine, AdvertisedRateLimit.of(LIMIT));
    int starts = 0;
    for (int tick = 0; tick < 3 * SECONDS * 1000 / TICK_MILLIS; tick++) {
      clock.advance(Duration.ofMillis(TICK_MILLIS));
      starts += node.begin() ? 1 : 0;
    }
    assertTrue(starts >= 1 && starts <= LIMIT * 3 * SECONDS / 8, starts + " starts");
  }
}
