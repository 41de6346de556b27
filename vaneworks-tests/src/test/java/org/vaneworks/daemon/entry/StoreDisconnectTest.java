package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Checks which endpoints get new work after a node was disconnected from the store for a while.
 *
 * <p>Guards against an incident in which requests of a plain service reached an endpoint 13 to 17 s
 * after it had left the list, each time from a node that had just become ready again. That node
 * alone had been disconnected from the store for ten seconds; meanwhile the endpoint left without
 * an announcement and kept serving. After a failed call, the node assumed that every missing entry
 * had expired in an outage of the store and kept its endpoint in use for 2.5 s, although the store
 * had been unavailable to this node only. Its log showed the endpoint as kept at the first read
 * after the disconnect and as dropped 2.5 s later, while the other nodes dropped it at once.
 */
final class StoreDisconnectTest {
  private final FleetWatchFixture node = new FleetWatchFixture(5);

  private void follow() {
    node.list("a", "b", "c");
    node.follower.start();
    node.advance(1000);
  }

  /** Advances the clock until a call that starts from now on has confirmed the snapshot. */
  private void awaitSnapshot() {
    long from = node.clock.currentTime(TimeUnit.NANOSECONDS);
    for (int waited = 0; node.follower.confirmedAt() < from; waited += 10) {
      assertTrue(waited < 3000, "no snapshot after " + waited + " ms");
      node.advance(10);
    }
  }

  @Test
  void endpointThatLeftDuringADisconnectGetsNoNewWork() {
    follow();
    node.link.cut(true);
    node.advance(3000);
    node.unlist("c");
    node.advance(7000);
    node.link.cut(false);
    awaitSnapshot();
    assertEquals(ImmutableSet.of("a", "b"), node.usable());
  }

  @Test
  void endpointThatLeftDuringADisconnectGetsNoNewWorkAfterAFullRead() {
    follow();
    node.link.cut(true);
    node.advance(3000);
    node.unlist("c");
    node.store.forgetHistory();
    node.advance(7000);
    node.link.cut(false);
    awaitSnapshot();
    assertEquals(ImmutableSet.of("a", "b"), node.usable());
  }

  @Test
  void endpointsThatExpiredInAnOutageStayInUseUntilTheyAreListedAgain() {
    follow();
    node.store.down = true;
    node.advance(6000);
    node.unlist("a", "b", "c");
    node.store.down = false;
    awaitSnapshot();
    assertEquals(ImmutableSet.of("a", "b", "c"), node.usable());
    node.list("a", "b", "c");
    node.advance(10_000);
    assertEquals(ImmutableSet.of("a", "b", "c"), node.usable());
  }

  @Test
  void endpointThatIsNotListedAgainAfterAnOutageIsDroppedAfterTheGracePeriod() {
    follow();
    node.store.down = true;
    node.advance(6000);
    node.unlist("a", "b", "c");
    node.store.down = false;
    node.advance(1500);
    node.list("a", "b");
    node.advance(1500);
    assertEquals(ImmutableSet.of("a", "b"), node.usable());
  }

  @Test
  void endpointThatLeavesAfterASingleFailedCallGetsNoNewWork() {
    follow();
    node.link.cut(true);
    node.advance(1300);
    node.link.cut(false);
    node.unlist("c");
    awaitSnapshot();
    assertEquals(ImmutableSet.of("a", "b"), node.usable());
  }
}
