package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.vaneworks.state.HostPort;

/** Tests which answers count as lost with the process of a peer. */
final class AttemptRecordTest {
  private final AttemptRecord record =
      new AttemptRecord(new HostPort("10.0.0.1", 1), 0, () -> false);

  // Guards against a check that blames a node for an answer that a peer had not read as it stopped.
  @Test
  void completeAnswerThatPeerHadNotReadIsLostWithIt() {
    record.finish(AttemptRecord.Outcome.COMPLETED);
    record.recordPeerStopped(20, false);
    assertTrue(record.wasLostWithPeerBy(20));
    assertFalse(record.wasLostWithPeerBy(19));
  }

  // Guards against a check that excuses a node that aborts an answer which it was passed whole.
  @Test
  void answerThatPeerPassedOnIsNotLostWithIt() {
    record.finish(AttemptRecord.Outcome.COMPLETED);
    record.recordPeerStopped(20, true);
    assertFalse(record.wasLostWithPeerBy(30));
  }

  // Guards against a check that excuses a node that left a peer before it stopped.
  @Test
  void answerThatNodeLeftIsNotLostWithPeer() {
    record.finish(AttemptRecord.Outcome.COMPLETED);
    record.close(10);
    record.recordPeerStopped(20, false);
    assertFalse(record.wasLostWithPeerBy(30));
  }
}
