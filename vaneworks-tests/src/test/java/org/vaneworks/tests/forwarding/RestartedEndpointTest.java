package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.state.Verdict;

/** Checks what becomes of requests whose endpoint starts again under its id. */
final class RestartedEndpointTest {
  private final ForwardingFixture node = new ForwardingFixture();

  @Test
  void streamGoesOnElsewhereOnceWhenItsFirstEngineStartsAgain() {
    FleetEndpoint first = node.engine(1, 0, 80);
    Got got = node.ask("/stream/x");
    node.last().head(200);
    node.last().event(1);
    node.engine(2, 0, 80);
    node.startsAgain(first);
    assertEquals(2, node.sent.size());
    assertTrue(node.sent.get(0).cancelled);
    assertEquals("e2", node.last().attempt.endpoint().id());
    assertEquals(Optional.of("1"), node.last().attempt.resumeAfter());
    node.sent.get(0).event(2);
    node.last().head(200);
    node.last().event(2);
    node.last().listener.end();
    assertEquals("id: 1\ndata: x\n\nid: 2\ndata: x\n\n", got.body);
  }

  @Test
  void streamGetsAnotherPathWhenALaterEngineOfItsPathStartsAgain() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    node.ask("/stream/x");
    node.last().head(200);
    node.engine(3, 40, 80);
    node.startsAgain(second);
    assertEquals(1, node.sent.size());
    assertEquals(1, node.control.repaths.size());
    assertTrue(node.control.repaths.get(0).contains("10.0.0.3"));
  }

  @Test
  void unsafeRequestEndsAtOnceAsOneThatMayHaveRun() {
    FleetEndpoint replica = node.replica(1);
    Got got = node.ask("/unsafe/x");
    node.startsAgain(replica);
    assertEquals(1, node.sent.size());
    assertEquals(Verdict.MAY_HAVE_RUN, got.refusal.get().verdict());
  }

  @Test
  void safeRequestIsSentToAnotherReplica() {
    FleetEndpoint one = node.replica(1);
    Got got = node.ask("/safe/x");
    node.replica(2);
    node.startsAgain(one);
    assertEquals(2, node.sent.size());
    assertFalse(got.refusal.isPresent());
  }

  /** While the store is away the list goes on naming the former layers. */
  @Test
  void engineThatRejectsWhatItNoLongerHoldsIsAskedAndKnownToHaveStartedAgain() {
    FleetEndpoint first = node.engine(1, 0, 80);
    node.engine(2, 0, 80);
    node.control.started.put(first.address(), Incarnation.startedAt(9000));
    node.ask("/stream/x");
    FleetEndpoint asked = node.last().attempt.endpoint();
    node.control.started.put(asked.address(), Incarnation.startedAt(9000));
    node.last().notRun(421, Optional.of(asked.address()));
    node.clock.runDue();
    assertEquals(
        Optional.empty(),
        node.fleet.find(ForwardingFixture.MODEL, asked.address()).get().endpoint().layers());
  }
}
