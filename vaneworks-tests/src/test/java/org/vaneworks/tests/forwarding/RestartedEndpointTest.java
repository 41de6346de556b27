package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.state.Verdict;

/** Checks what happens to requests whose endpoint restarts under the same id. */
final class RestartedEndpointTest {
  private final ForwardingFixture node = new ForwardingFixture();

  @Test
  void streamFailsOverOnceWhenFirstEngineRestarts() {
    FleetEndpoint first = node.engine(1, 0, 80);
    RecordedResponse response = node.request("/stream/x");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.engine(2, 0, 80);
    node.restart(first);
    assertEquals(2, node.sent.size());
    assertTrue(node.sent.get(0).cancelled);
    assertEquals("e2", node.lastAttempt().attempt.endpoint().id());
    assertEquals(Optional.of("1"), node.lastAttempt().attempt.resumeAfter());
    node.sent.get(0).event(2);
    node.lastAttempt().head(200);
    node.lastAttempt().event(2);
    node.lastAttempt().listener.end();
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", response.body);
  }

  @Test
  void streamIsReroutedWhenLaterEngineRestarts() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.request("/stream/x");
    node.lastAttempt().head(200);
    node.engine(3, 40, 80);
    node.restart(second);
    assertEquals(1, node.sent.size());
    assertEquals(1, node.control.repathedPaths.size());
    assertTrue(node.control.repathedPaths.get(0).contains("10.0.0.3"));
  }

  @Test
  void unsafeRequestIsRefusedImmediatelyAsMayHaveRun() {
    FleetEndpoint replica = node.replica(1);
    RecordedResponse response = node.request("/unsafe/x");
    node.restart(replica);
    assertEquals(1, node.sent.size());
    assertEquals(Verdict.MAY_HAVE_RUN, response.refusal.get().verdict());
  }

  @Test
  void safeRequestIsRetriedOnAnotherReplica() {
    FleetEndpoint one = node.replica(1);
    RecordedResponse response = node.request("/safe/x");
    node.replica(2);
    node.restart(one);
    assertEquals(2, node.sent.size());
    assertFalse(response.refusal.isPresent());
  }

  /** While the store is unavailable, the endpoint list still shows the layers held before. */
  @Test
  void engineThatRejectsMisdirectedRequestIsProbedForRestart() {
    FleetEndpoint first = node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.control.started.put(first.address(), Incarnation.startedAt(9000));
    node.request("/stream/x");
    FleetEndpoint asked = node.lastAttempt().attempt.endpoint();
    node.control.started.put(asked.address(), Incarnation.startedAt(9000));
    node.lastAttempt().notRun(421, Optional.of(asked.address()));
    node.clock.runDue();
    assertEquals(
        Optional.empty(),
        node.fleet.find(ForwardingFixture.MODEL, asked.address()).get().endpoint().layers());
  }
}
