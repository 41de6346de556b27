package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Tests what a node measures at the replicas of a plain service, and how it avoids some. */
final class ReplicaBalanceTest {
  private final ForwardingFixture node = new ForwardingFixture();

  private TrackedEndpoint tracked(FleetEndpoint replica) {
    return node.fleet.find(ForwardingFixture.PLAIN, replica.address()).orElseThrow();
  }

  private long sentTo(FleetEndpoint replica) {
    return node.sent.stream()
        .filter(sent -> sent.attempt.endpoint().id().equals(replica.id()))
        .count();
  }

  /** Sends a request that is answered after a time, which depends on the replica. */
  private void requestAnsweredAfter(FleetEndpoint slow, int slowMillis, int otherMillis) {
    node.request("/safe/x");
    SentAttempt sent = node.lastAttempt();
    node.advance(sent.attempt.endpoint().id().equals(slow.id()) ? slowMillis : otherMillis);
    answer(sent);
  }

  private static void answer(SentAttempt sent) {
    sent.head(200);
    sent.end();
  }

  // Guards against a node that measures service times wrongly, or not at all.
  @Test
  void slowReplicaGetsFewerRequests() {
    FleetEndpoint slow = node.replica(1);
    FleetEndpoint fast = node.replica(2);
    for (int i = 0; i < 200; i++) {
      requestAnsweredAfter(slow, 600, 50);
    }
    assertEquals(600e6, tracked(slow).replicaPace().meanNanos(), 1e6);
    assertEquals(50e6, tracked(fast).replicaPace().meanNanos(), 1e6);
    assertTrue(sentTo(slow) < 20, sentTo(slow) + " of 200");
  }

  // Guards against a replica that counts as fast because it fails fast.
  @Test
  void errorsAreNotMeasured() {
    FleetEndpoint replica = node.replica(1);
    node.request("/unsafe/x");
    node.lastAttempt().head(500);
    node.lastAttempt().end();
    assertEquals(0, tracked(replica).replicaPace().samples(node.now()));
  }

  // Guards against a replica that counts as slow because a caller reads slowly.
  @Test
  void responseReadSlowlyByTheCallerIsNotMeasured() {
    FleetEndpoint replica = node.replica(1);
    RecordedResponse response = node.request("/safe/x");
    response.keepsUp = false;
    node.lastAttempt().head(200);
    node.lastAttempt().text("part");
    response.listener.drained();
    node.lastAttempt().end();
    assertEquals(0, tracked(replica).replicaPace().samples(node.now()));
  }

  // Guards against a replica that never answers in time and so is never known to be slow.
  @Test
  void requestThatEndsWithoutAnAnswerIsALowerBound() {
    FleetEndpoint replica = node.replica(1);
    node.request("/unsafe/x");
    node.advance(800);
    assertEquals(800e6, tracked(replica).replicaPace().atLeastNanos(node.now()), 1e6);
    node.request("/unsafe/x").listener.disconnected();
    assertEquals(800e6, tracked(replica).replicaPace().atLeastNanos(node.now()), 1e6);
  }

  // Guards against a service that refuses all requests because its only replica was full once.
  @Test
  void onlyReplicaIsUsedByOtherRequestsAfterARefusal() {
    FleetEndpoint only = node.replica(1);
    RecordedResponse refused = node.request("/safe/x");
    node.lastAttempt().notRun(503, Optional.empty());
    node.advance(100);
    assertEquals(1, sentTo(only), "sends of the refused request within the backoff");
    assertFalse(refused.refusal.isPresent());
    node.advance(120);
    assertEquals(2, sentTo(only));
    answer(node.lastAttempt());
    assertEquals(Optional.of(200), refused.status);
    node.request("/safe/x");
    assertEquals(3, sentTo(only));
  }

  @Test
  void backoffDoublesUntilARequestIsAccepted() {
    TrackedEndpoint replica = tracked(node.replica(1));
    long now = node.now();
    for (int millis : new int[] {200, 400, 800, 1600, 1600}) {
      replica.recordRefusal(now, now);
      assertEquals(now + millis * 1_000_000L, replica.refusalBackoffEndsAt());
      now += 2_000_000_000L;
    }
    assertTrue(replica.refusesRepeatedly(now));
    replica.recordAcceptance(now, now);
    assertFalse(replica.refusesRepeatedly(now));
    replica.recordRefusal(now, now);
    assertEquals(now + 200_000_000L, replica.refusalBackoffEndsAt());
  }

  // Guards against a backoff of over a second because several requests were sent before the first
  // of them was refused.
  @Test
  void requestsRefusedTogetherCountOnce() {
    TrackedEndpoint replica = tracked(node.replica(1));
    long sentAt = node.now();
    for (int i = 0; i < 10; i++) {
      replica.recordRefusal(sentAt, sentAt + i);
    }
    assertEquals(sentAt + 200_000_000L, replica.refusalBackoffEndsAt());
  }

  @Test
  void slowReplicaIsReportedToPeersWhileItIsMeasured() {
    FleetEndpoint slow = node.replica(1);
    node.replica(2);
    for (int i = 0; i < 20; i++) {
      TrackedEndpoint replica = tracked(slow);
      replica.recordServed(600e6, node.now());
      node.fleet.usable(ForwardingFixture.PLAIN).get(1).recordServed(50e6, node.now());
    }
    node.request("/safe/x");
    assertNotEquals(slow, node.lastAttempt().attempt.endpoint());
    assertTrue(tracked(slow).paceToReport(node.now()) > 5);
    node.advance(6000);
    assertEquals(1, tracked(slow).paceToReport(node.now()));
  }
}
