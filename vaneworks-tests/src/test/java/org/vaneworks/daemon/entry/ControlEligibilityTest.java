package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vaneworks.testlib.PausedExecutor;

/** Guards against a controller that moves layers of engines because it is cut off from them. */
final class ControlEligibilityTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final List<Boolean> changes = new ArrayList<>();
  private final ControlEligibility eligibility = new ControlEligibility(clock, changes::add);

  @Test
  void isolatedNodeMayNotControl() {
    eligibility.isolationChanged(true);
    assertEquals(List.of(false), changes);
    eligibility.isolationChanged(false);
    assertEquals(List.of(false, true), changes);
  }

  @Test
  void nodeWhoseRequestsPeersServeMayNotControl() {
    eligibility.servedByPeer();
    clock.advance(Duration.ofSeconds(2));
    eligibility.servedByPeer();
    clock.advance(Duration.ofMillis(2900));
    assertEquals(List.of(false), changes);
    clock.advance(Duration.ofMillis(200));
    assertEquals(List.of(false, true), changes);
  }

  @Test
  void isolationEndsTogetherWithHelpOfPeers() {
    eligibility.isolationChanged(true);
    eligibility.servedByPeer();
    eligibility.isolationChanged(false);
    assertEquals(List.of(false), changes);
    clock.advance(Duration.ofSeconds(4));
    assertEquals(List.of(false, true), changes);
  }
}
