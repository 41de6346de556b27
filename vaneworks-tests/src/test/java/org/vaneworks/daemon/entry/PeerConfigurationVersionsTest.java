package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.testlib.PausedExecutor;

/** Checks when the store's configuration is considered older than one that a peer has seen. */
final class PeerConfigurationVersionsTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final PeerConfigurationVersions peers = new PeerConfigurationVersions(clock);

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private long now() {
    return clock.currentTime(TimeUnit.NANOSECONDS);
  }

  @Test
  void storeThatConfirmsLessThanAPeerHasSeenIsBehind() {
    peers.recordVersion(12);
    advance(100);
    assertTrue(peers.storeIsBehind(11, now()));
    assertFalse(peers.storeIsBehind(12, now()));
    assertFalse(peers.storeIsBehind(13, now()));
  }

  @Test
  void storeThatWasNotCalledSinceIsNotBehind() {
    long calledAt = now();
    advance(100);
    peers.recordVersion(12);
    advance(100);
    assertFalse(peers.storeIsBehind(11, calledAt));
  }

  @Test
  void olderVersionOfAnotherPeerIsIgnored() {
    peers.recordVersion(12);
    advance(100);
    peers.recordVersion(11);
    assertTrue(peers.storeIsBehind(11, now()));
  }

  @Test
  void versionThatNoPeerReportsAnyMoreExpires() {
    peers.recordVersion(12);
    for (int i = 0; i < 12; i++) {
      advance(1000);
      peers.recordVersion(11);
    }
    assertFalse(peers.storeIsBehind(11, now()));
  }

  @Test
  void peerWithoutAVersionIsIgnored() {
    peers.recordVersion(0);
    advance(100);
    assertFalse(peers.storeIsBehind(1, now()));
  }
}
