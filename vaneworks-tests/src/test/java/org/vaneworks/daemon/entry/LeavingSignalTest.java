package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that an engine that says in its answers that it leaves gets no more requests. */
final class LeavingSignalTest {
  private static final int NODES = 8;
  private static final int LEAVING = 1;
  private static final int ENDS_AFTER_MILLIS = 8000;
  private static final int A_SECOND = 28;

  private final SimulatedCluster fleet = new SimulatedCluster(NODES, 3, 7);
  private int asked;

  /** Asks nodes in turn. */
  private void ask(int seconds) {
    for (int i = 0; i < seconds * A_SECOND; i++) {
      fleet.ask(asked % NODES, "letter " + asked);
      asked++;
      fleet.advance(1000 / A_SECOND);
    }
  }

  /** Guards against requests to an endpoint whose answers say that it leaves. */
  @Test
  void engineGetsNoRequestsOfANodeThatItToldThatItLeaves() {
    ask(3);
    fleet.leaves(LEAVING, ENDS_AFTER_MILLIS);
    ask(6);
    assertEquals(0, fleet.arrivalsAfterLeaving(LEAVING));
  }

  /** Guards against an entry that lapses and comes back, and takes the announced end along. */
  @Test
  void announcedEndOutlivesTheEntryOfTheEngine() {
    ask(3);
    fleet.leaves(LEAVING, ENDS_AFTER_MILLIS);
    ask(1);
    fleet.listsItselfAgain(LEAVING, 300);
    ask(6);
    assertEquals(0, fleet.arrivalsAfterLeaving(LEAVING));
  }
}
