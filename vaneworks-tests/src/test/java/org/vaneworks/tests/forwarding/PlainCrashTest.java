package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.channels.ClosedChannelException;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Verdict;

/** Checks what becomes of a request that ends the replicas of a plain service. */
final class PlainCrashTest {
  private final ForwardingFixture node = new ForwardingFixture();

  /** Asks a replica that ends when it begins the request, and leaves the list. */
  private RecordedResponse askAndCrash(int number) {
    node.replica(number);
    RecordedResponse got = node.ask("/unsafe/x");
    node.last().listener.failed(false, new ClosedChannelException());
    node.fleet.remove("r" + number);
    return got;
  }

  @Test
  void requestUnderWhichThreeReplicasEndedIsRefusedAsNotRun() {
    for (int number = 1; number <= 3; number++) {
      assertEquals(Verdict.MAY_HAVE_RUN, askAndCrash(number).refusal.get().verdict());
    }
    node.replica(4);
    RecordedResponse got = node.ask("/unsafe/x");
    assertEquals(3, node.sent.size());
    assertEquals(Reason.QUARANTINED, got.refusal.get().reason());
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
  }

  @Test
  void otherRequestsOfTheServiceRun() {
    for (int number = 1; number <= 3; number++) {
      askAndCrash(number);
    }
    node.replica(4);
    RecordedResponse got = node.ask("/unsafe/y");
    node.last().head(200);
    node.last().listener.end();
    assertEquals(Optional.of(200), got.status);
    assertFalse(got.refusal.isPresent());
  }
}
