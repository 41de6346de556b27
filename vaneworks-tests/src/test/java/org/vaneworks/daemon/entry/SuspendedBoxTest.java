package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.tests.forwarding.Got;

/**
 * Checks what a node takes after its box was suspended.
 *
 * <p>The steady clock does not count that time: by it a configuration that was confirmed just
 * before is young, however many seconds have passed in which keys may have been taken away.
 */
final class SuspendedBoxTest {
  private final SimulatedCluster fleet = new SimulatedCluster(1, 3, 5);

  private Got askAndWait() {
    Got got = fleet.ask(0, "letter");
    fleet.advance(2000);
    return got;
  }

  @Test
  void requestRightAfterASuspensionIsNotTakenByWhatWasConfirmedBefore() {
    fleet.timeOfDayMoves(0, 6000);
    Got got = askAndWait();
    assertEquals(Reason.CONFIGURATION_STALE, got.refusal.get().reason());
  }

  @Test
  void requestsAreTakenOnceTheStoreHasConfirmedTheConfiguration() {
    fleet.timeOfDayMoves(0, 6000);
    fleet.ask(0, "letter");
    fleet.advance(30);
    assertTrue(askAndWait().whole);
  }

  @Test
  void requestsAreRefusedForAsLongAsTheStoreDoesNotAnswerAfterASuspension() {
    fleet.cutFromStore(0, true);
    fleet.timeOfDayMoves(0, 6000);
    askAndWait();
    assertEquals(Reason.CONFIGURATION_STALE, askAndWait().refusal.get().reason());
  }

  @Test
  void stepOfTheTimeOfDayCostsOneCallToTheStore() {
    fleet.timeOfDayMoves(0, -2000);
    fleet.ask(0, "letter");
    fleet.advance(30);
    assertTrue(askAndWait().whole);
  }

  @Test
  void smallAdjustmentsOfTheTimeOfDayChangeNothing() {
    for (int i = 0; i < 20; i++) {
      fleet.timeOfDayMoves(0, i % 2 == 0 ? 40 : -40);
      assertTrue(askAndWait().whole);
    }
  }
}
