package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vaneworks.tests.Schedules;

/** Checks in random simulations that nodes recover after a store lost entries in a restore. */
final class StoreRestoreSimulationTest {
  /** More than one if {@code vaneworks.schedules} is a multiple of the number of tries. */
  private static final int SIMULATIONS_PER_TRY =
      Math.max(1, Integer.getInteger("vaneworks.schedules", Schedules.TRIES) / Schedules.TRIES);

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void nodesRecoverFromRestores(@ForAll long seed) {
    for (int i = 0; i < SIMULATIONS_PER_TRY; i++) {
      assertEquals(
          ImmutableList.of(), new StoreRestoreSimulation(seed + i).run(), "seed " + (seed + i));
    }
  }

  @Property(tries = Schedules.TRIES, seed = "20261203")
  void nodesRecoverFromRestoresIfAnswersAreDelayed(@ForAll long seed) {
    for (int i = 0; i < SIMULATIONS_PER_TRY; i++) {
      assertEquals(
          ImmutableList.of(),
          StoreRestoreSimulation.withDelayedAnswers(seed + i).run(),
          "seed " + (seed + i));
    }
  }

  /**
   * Guards against a live endpoint that is never used again. It was missing after a restore for
   * longer than missing endpoints are kept, so a node dropped it. The next restore brought its
   * entry back, so the endpoint had nothing to write.
   */
  @Test
  void droppedEndpointIsUsedAgainIfTheNextRestoreListsIt() {
    assertEquals(ImmutableList.of(), new StoreRestoreSimulation(677694018).run());
  }

  /** Guards against a disconnected node that misses the removal of an endpoint after a restore. */
  @Test
  void endpointThatARestoreListsIsNotUsedByADisconnectedNode() {
    assertEquals(ImmutableList.of(), new StoreRestoreSimulation(-27).run());
  }

  /**
   * Guards against a node that stays unlisted. Its entry had expired, and it opened two leases
   * because answers were delayed. The entry was written under the first lease, which nobody
   * renewed, and was not written again after it expired with that lease.
   */
  @Test
  void entryUnderAFormerLeaseIsRewrittenAfterItExpires() {
    assertEquals(ImmutableList.of(), StoreRestoreSimulation.withDelayedAnswers(7560).run());
  }
}
