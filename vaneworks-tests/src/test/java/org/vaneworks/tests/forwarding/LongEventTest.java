package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Checks streams whose endpoint does not end its event. */
final class LongEventTest {
  private static final int PIECE_BYTES = 1 << 20;

  /** Pieces that an event may have. */
  private static final int ALLOWED_PIECES = 32;

  private final ForwardingFixture node = new ForwardingFixture();

  private static void sendPieces(SentAttempt attempt, int count) {
    byte[] piece = new byte[PIECE_BYTES];
    for (int i = 0; i < count; i++) {
      attempt.listener.data(piece);
    }
  }

  // Guards against an event without an end that is buffered until the node's memory is exhausted.
  @Test
  void eventOverTheLimitCutsStream() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request("/once/x");
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    sendPieces(attempt, ALLOWED_PIECES);
    assertFalse(attempt.cancelled, "cancelled before the limit");
    sendPieces(attempt, 1);
    assertTrue(attempt.cancelled, "cancelled");
    assertTrue(response.cut, "cut");
  }

  // Guards against several long events that together exhaust the node's memory, each below the
  // limit;
  // the buffer of an event doubles, and is copied meanwhile.
  @Test
  void eventOverTheMemoryOfTheNodeCutsStream() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request("/once/x");
    response.maxPartialEventBytes = 8 * PIECE_BYTES;
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    sendPieces(attempt, 4);
    assertFalse(attempt.cancelled, "cancelled before the limit");
    // From a buffer of 4 pieces to one of 8.
    sendPieces(attempt, 1);
    assertTrue(attempt.cancelled, "cancelled");
    assertTrue(response.cut, "cut");
  }

  // Guards against reading an event without an end again from an engine that sent it.
  @Test
  void streamDoesNotReturnForEventOverTheLimit() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request("/single/x");
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    sendPieces(attempt, ALLOWED_PIECES + 1);
    node.advance(200);
    assertTrue(response.cut, "cut");
    assertEquals(1, node.sent.size(), "sends");
  }

  // Guards against a long event that is cut although it ends within the limit.
  @Test
  void eventWithinTheLimitIsPassedOn() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request("/once/x");
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    sendPieces(attempt, ALLOWED_PIECES - 1);
    attempt.text("\n\n");
    assertEquals((ALLOWED_PIECES - 1) * PIECE_BYTES + 2, response.body.length());
  }
}
