package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.tests.forwarding.RecordedResponse;

/**
 * Checks which requests a node accepts after its box was suspended.
 *
 * <p>The monotonic clock does not advance during a suspension: by that clock, a configuration that
 * was confirmed just before still appears fresh, although keys may have been revoked meanwhile.
 */
final class SuspendedBoxTest {
  private final SimulatedCluster cluster = new SimulatedCluster(1, 3, 5);

  private RecordedResponse sendAndAwaitResponse() {
    RecordedResponse response = cluster.sendRequest(0, "letter");
    cluster.advance(2000);
    return response;
  }

  @Test
  void requestAfterASuspensionIsRefusedIfTheConfigurationWasConfirmedBefore() {
    cluster.stepTimeOfDay(0, 6000);
    RecordedResponse response = sendAndAwaitResponse();
    assertEquals(Reason.CONFIGURATION_STALE, response.refusal.get().reason());
  }

  @Test
  void requestsAreAcceptedOnceTheStoreHasConfirmedTheConfiguration() {
    cluster.stepTimeOfDay(0, 6000);
    cluster.sendRequest(0, "letter");
    cluster.advance(30);
    assertTrue(sendAndAwaitResponse().whole);
  }

  @Test
  void requestsAreRefusedUntilTheStoreAnswersAfterASuspension() {
    cluster.setStoreDisconnected(0, true);
    cluster.stepTimeOfDay(0, 6000);
    sendAndAwaitResponse();
    assertEquals(Reason.CONFIGURATION_STALE, sendAndAwaitResponse().refusal.get().reason());
  }

  @Test
  void stepOfTheTimeOfDayCostsOneCallToTheStore() {
    cluster.stepTimeOfDay(0, -2000);
    cluster.sendRequest(0, "letter");
    cluster.advance(30);
    assertTrue(sendAndAwaitResponse().whole);
  }

  @Test
  void smallAdjustmentsOfTheTimeOfDayChangeNothing() {
    for (int i = 0; i < 20; i++) {
      cluster.stepTimeOfDay(0, i % 2 == 0 ? 40 : -40);
      assertTrue(sendAndAwaitResponse().whole);
    }
  }
}
