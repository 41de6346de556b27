package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vaneworks.tests.Schedules;

/** Checks over random courses that nothing rests on what a store has forgotten. */
final class StoreRestoreSimulationTest {
  /** More of them are played by hand. */
  private static final int COURSES_A_TRY =
      Math.max(1, Integer.getInteger("vaneworks.schedules", Schedules.TRIES) / Schedules.TRIES);

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void nodesGoOnWhateverTheStoreForgets(@ForAll long seed) {
    for (int i = 0; i < COURSES_A_TRY; i++) {
      assertEquals(
          ImmutableList.of(), new StoreRestoreSimulation(seed + i).play(), "course " + (seed + i));
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void sameWhereAnswersComeLate(@ForAll long seed) {
    for (int i = 0; i < COURSES_A_TRY; i++) {
      assertEquals(
          ImmutableList.of(),
          StoreRestoreSimulation.withLateAnswers(seed + i).play(),
          "course " + (seed + i));
    }
  }

  /**
   * A live endpoint was missing in a copy for longer than it is kept, and was named again by the
   * next copy, so that it had nothing to write: the node that had dropped it never used it again.
   */
  @Test
  void endpointThatTheNextCopyNamesAgainIsUsed() {
    assertEquals(ImmutableList.of(), new StoreRestoreSimulation(677694018).play());
  }

  /** A node that was cut off did not see that an endpoint of the copy was unlisted again. */
  @Test
  void endpointThatTheCopyNamesIsNotUsedByANodeThatIsCutOff() {
    assertEquals(ImmutableList.of(), new StoreRestoreSimulation(-27).play());
  }

  /**
   * A node whose entry had lapsed opened two leases, as answers came late: its entry was there
   * under the first, which nobody renewed, and was not written again once it had gone with it.
   */
  @Test
  void entryUnderAFormerLeaseIsWrittenAgainOnceItGoes() {
    assertEquals(ImmutableList.of(), StoreRestoreSimulation.withLateAnswers(7560).play());
  }
}
