package org.vaneworks.tests.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.testlib.InMemoryFleet;

/** Tests calls to a plain service that takes long to answer. */
final class SlowServiceTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261209;
  private static final ServiceCall CALL = new ServiceCall("POST", "/confirm", "{}", "r1");
  private static final Duration TIMEOUT = Duration.ofMinutes(2);
  private static final Duration ALMOST_DEFAULT_LIMIT = Duration.ofSeconds(9);
  private static final Duration LONGER_THAN_DEFAULT_LIMIT = Duration.ofSeconds(25);
  private static final Duration LONG_LIMIT = Duration.ofSeconds(30);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);

  @BeforeEach
  void startNode() {
    var unused = fleet.addService("records-box", "records");
    var unusedNode = fleet.addNode("n1");
    fleet.settle();
  }

  // Guards against cutting calls at the step timeout of engines, which is shorter than the limit on
  // calls.
  @Test
  void callIsAnsweredWithinDefaultLimit() {
    assertAnsweredAfter(ALMOST_DEFAULT_LIMIT, Optional.empty());
  }

  // Guards against cutting calls at the default limit although their caller allows more time.
  @Test
  void callIsAnsweredWithinLimitOfItsCaller() {
    assertAnsweredAfter(LONGER_THAN_DEFAULT_LIMIT, Optional.of(LONG_LIMIT));
  }

  private void assertAnsweredAfter(Duration pause, Optional<Duration> limit) {
    fleet.endpoints().freeze(fleet.addressOf("records-box"));
    CallerOptions options =
        new CallerOptions(
            Optional.of(false), Optional.empty(), Optional.empty(), Optional.empty(), limit);
    CompletableFuture<ServiceReply> reply =
        fleet.node("n1").dispatcher().call(InMemoryFleet.WORKSPACE, "records", CALL, options);
    fleet.clock().advance(pause);
    fleet.endpoints().thaw(fleet.addressOf("records-box"));
    assertTrue(fleet.clock().advanceUntil(reply::isDone, TIMEOUT));
    assertTrue(!reply.isCompletedExceptionally(), reply::toString);
    assertEquals("{\"runs\":1}", reply.join().body());
  }
}
