package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks what requests await whose attempts end while the reserve of a process grows. */
final class StartedProcessBudgetTest {
  private final ForwardingFixture node = new ForwardingFixture();

  @BeforeEach
  void startEngines() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    setReserve(100);
  }

  private void setReserve(double reserve) {
    node.forwarder.updateLimits(
        new ForwardingLimits(Duration.ofMillis(4750), 0.2, reserve, Duration.ofSeconds(10)));
  }

  private static void breakOff(SentAttempt attempt) {
    attempt.listener.failed(false, new IllegalStateException("reset"));
  }

  // Guards against the first streams of a process that fail, though its reserve grows meanwhile.
  @Test
  void streamWithoutResponseWaitsForTheReserveOfAProcessThatStarted() {
    RecordedResponse response = node.request("/stream/a");
    breakOff(node.lastAttempt());
    node.advance(100);
    assertEquals(1, node.sent.size(), "sends");
    assertFalse(response.refusal.isPresent(), "refused");
    node.advance(200);
    assertEquals(2, node.sent.size(), "sends");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.lastAttempt().end();
    assertTrue(response.whole, "whole");
  }

  // Guards against requests that are held until their callers have left, without an answer.
  @Test
  void streamWithoutResponseIsRefusedBeforeItsCallerGivesUp() {
    setReserve(3);
    RecordedResponse response = node.request("/stream/a");
    breakOff(node.lastAttempt());
    node.advance(2000);
    assertEquals(1, node.sent.size(), "sends");
    assertTrue(response.refusal.isPresent(), "refused");
  }

  // Control case: a request that certainly has not run is refused at once, as its caller can send
  // it again.
  @Test
  void rejectedRequestDoesNotWait() {
    RecordedResponse response = node.request("/stream/a");
    node.lastAttempt().notRun(503, Optional.empty());
    assertTrue(response.refusal.isPresent(), "refused");
  }

  // Guards against an interrupted stream that is lost, as a request that has nothing goes first.
  @Test
  void interruptedStreamsGoFirst() {
    node.request("/stream/a");
    breakOff(node.lastAttempt());
    node.request("/stream/b");
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    breakOff(node.lastAttempt());
    node.advance(300);
    assertEquals(3, node.sent.size(), "sends");
    assertTrue(node.lastAttempt().attempt.resumeAfter().isPresent(), "resumed");
  }

  // Guards against retries that are sent for callers who have left.
  @Test
  void requestWhoseCallerLeftWaitsNoLonger() {
    RecordedResponse response = node.request("/stream/a");
    breakOff(node.lastAttempt());
    response.listener.disconnected();
    node.advance(1000);
    assertEquals(1, node.sent.size(), "sends");
  }
}
