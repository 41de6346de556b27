package org.vaneworks.tests.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.shared.NodeLease;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks who the controller is when nodes come, go and are cut off. */
final class NodeLeaseTest {
  private static final String PREFIX = "vaneworks/";

  private final PausedExecutor clock = PausedExecutor.create();
  private final StoreInMemory store = new StoreInMemory(clock);
  private final List<NodeLease> nodes = new ArrayList<>();

  private NodeLease node(SharedStore reached, String box, String run) {
    return node(reached, box, run, new BoxTime(clock));
  }

  private NodeLease node(SharedStore reached, String box, String run, BoxTime time) {
    NodeLease lease =
        NodeLease.create(
            clock,
            new Random(nodes.size()),
            reached,
            time.watch(),
            PREFIX,
            box,
            "dc1",
            run,
            () -> addressOf(box));
    PrefixFollower.create(
            clock,
            new Random(9),
            reached,
            Counters.in(new SimpleMeterRegistry()),
            PREFIX,
            () -> Duration.ofMillis(1500),
            () -> Duration.ofMillis(100),
            lease,
            time.watch())
        .start();
    lease.start();
    nodes.add(lease);
    return lease;
  }

  /** Boxes are named by a number, which ends their address; others listen for no peer. */
  private static Optional<HostPort> addressOf(String box) {
    String number = box.replaceAll("[^0-9]", "");
    return number.isEmpty()
        ? Optional.empty()
        : Optional.of(new HostPort("10.1.0." + number, 7340));
  }

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private long controllers() {
    return nodes.stream().filter(node -> node.controllerFence().isPresent()).count();
  }

  @Test
  void oneNodeOfManyIsTheController() {
    for (int i = 0; i < 8; i++) {
      node(store, "box" + i, "1");
    }
    advance(1000);
    assertEquals(1, controllers());
    assertEquals(8, nodes.get(0).liveNodes());
  }

  @Test
  void nodesFindWhereTheirPeersListen() {
    for (int i = 1; i <= 3; i++) {
      node(store, "box" + i, "1");
    }
    advance(1000);
    assertEquals(
        ImmutableList.of(
            new Peer("box2", "dc1", new HostPort("10.1.0.2", 7340)),
            new Peer("box3", "dc1", new HostPort("10.1.0.3", 7340))),
        nodes.get(0).peers());
  }

  @Test
  void nodeWithoutAnAddressIsNoPeerButCounts() {
    node(store, "box1", "1");
    node(store, "silent", "1");
    advance(1000);
    assertEquals(ImmutableList.of(), nodes.get(0).peers());
    assertEquals(2, nodes.get(0).liveNodes());
  }

  @Test
  void stoppedControllerIsReplacedAtOnceWithAHigherFence() {
    node(store, "box1", "1");
    advance(500);
    long before = nodes.get(0).controllerFence().getAsLong();
    NodeLease second = node(store, "box2", "1");
    advance(500);
    nodes.get(0).stop();
    advance(500);
    assertTrue(second.controllerFence().getAsLong() > before);
    assertFalse(nodes.get(0).controllerFence().isPresent());
  }

  @Test
  void controllerThatCannotRenewStopsBeforeAnotherBegins() {
    NodeLease first = node(store, "box1", "1");
    advance(500);
    store.down = true;
    advance(3100);
    assertFalse(first.controllerFence().isPresent());
  }

  @Test
  void controllerIsThereAgainAfterAnOutage() {
    node(store, "box1", "1");
    node(store, "box2", "1");
    advance(500);
    store.down = true;
    advance(6000);
    assertEquals(0, controllers());
    store.down = false;
    advance(4000);
    assertEquals(1, controllers());
  }

  @Test
  void claimWhoseAnswerWasLostIsFoundByTheWatch() {
    NodeLease first = node(store, "box1", "1");
    store.losesAnswers = false;
    advance(5);
    store.losesAnswers = true;
    advance(200);
    store.losesAnswers = false;
    advance(4000);
    assertTrue(first.controllerFence().isPresent());
  }

  @Test
  void earlierRunOfABoxDoesNotCountTwice() {
    node(store, "box1", "1");
    advance(200);
    NodeLease second = node(store, "box1", "2");
    advance(500);
    assertEquals(1, second.liveNodes());
  }

  @Test
  void mostNodesOfALargeFleetSeeTheNextControllerBeforeTheyClaim() {
    for (int i = 0; i < 85; i++) {
      node(store, "box" + i, "1");
    }
    advance(3000);
    assertEquals(1, controllers());
    store.calls.clear();

    controller().stop();
    advance(3000);

    assertEquals(1, controllers());
    long claims = store.calls.stream().filter(call -> call.contains("controller")).count();
    assertTrue(claims < 20, "claims: " + claims);
  }

  @Test
  void nodesThatDoNotDecideCallTheStoreSeldom() {
    for (int i = 0; i < 8; i++) {
      node(store, "box" + i, "1");
    }
    advance(3000);
    store.calls.clear();
    advance(12_000);
    long renewals = store.calls.stream().filter(call -> call.startsWith("renew")).count();
    assertTrue(renewals <= 8 * 3 + 12, "renewals: " + renewals);
  }

  @Test
  void nodeIsCountedWhileItsEntryStands() {
    NodeLease first = node(store, "box1", "1");
    store.put(PREFIX + "nodes/box2/1", "");
    advance(500);
    assertEquals(2, first.liveNodes());
    store.remove(PREFIX + "nodes/box2/1");
    advance(2000);
    assertEquals(1, first.liveNodes());
  }

  @Test
  void entryWhoseWriteHadNoAnswerIsThereInTheEnd() {
    store.losesAnswers = false;
    NodeLease first = node(store, "box1", "1");
    store.losesAnswers = true;
    advance(300);
    store.losesAnswers = false;
    advance(30_000);
    assertTrue(store.has(PREFIX + "nodes/box1/1"));
    assertTrue(first.controllerFence().isPresent());
  }

  @Test
  void newsOfAnEarlierControllerChangesNothing() {
    NodeLease first = node(store, "box1", "1");
    advance(500);
    long fence = first.controllerFence().getAsLong();
    long revision = fence - new StorePosition(store.era(), 0).toLong();
    first.change(
        new StoreChanges.Change(
            new StoredItem(
                PREFIX + "controller",
                "",
                new StorePosition(store.era(), revision - 1),
                StorePosition.START),
            true));
    advance(5000);
    assertEquals(fence, first.controllerFence().getAsLong());
  }

  private NodeLease controller() {
    return nodes.stream().filter(node -> node.controllerFence().isPresent()).findFirst().get();
  }

  @Test
  void nodeWhoseEntryLapsedInACutIsCountedAgainSoonAfterIt() {
    NodeLease other = node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    cutOffUntilItsEntryLapses(node(link, "box2", "1"), link);
    assertEquals(1, other.liveNodes());
    link.cut(false);
    advance(3500);
    assertEquals(2, other.liveNodes());
  }

  @Test
  void nodeWhoseEntryLapsedInACutIsCountedAgainThoughTheStoreForgotIt() {
    NodeLease other = node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    cutOffUntilItsEntryLapses(node(link, "box2", "1"), link);
    store.forgetHistory();
    link.cut(false);
    advance(6000);
    assertEquals(2, other.liveNodes());
  }

  @Test
  void nodeCountsItselfWhileItsEntryIsMissing() {
    node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    NodeLease cutOff = node(link, "box2", "1");
    cutOffUntilItsEntryLapses(cutOff, link);
    link.cut(false);
    for (int i = 0; i < 30; i++) {
      advance(100);
      assertEquals(2, cutOff.liveNodes(), "after " + (i + 1) * 100 + " ms");
    }
  }

  private void cutOffUntilItsEntryLapses(NodeLease node, StoreLink link) {
    advance(2000);
    assertEquals(2, node.liveNodes());
    link.cut(true);
    advance(15_000);
  }

  @Test
  void entriesThatLapsedTogetherAreWrittenAgainOneAfterTheOther() {
    int nodeCount = 200;
    for (int i = 0; i < nodeCount; i++) {
      node(store, "box" + i, "1");
    }
    advance(3000);
    store.down = true;
    advance(15_000);
    store.down = false;
    int most = 0;
    for (int i = 0; i < 60; i++) {
      int before = entriesOpened();
      advance(100);
      most = Math.max(most, entriesOpened() - before);
    }
    assertTrue(most <= 15, "in a tenth of a second: " + most);
    assertEquals(nodeCount, nodes.get(0).liveNodes());
  }

  private int entriesOpened() {
    return Collections.frequency(store.calls, "create");
  }

  @Test
  void nodesWhoseEntriesLapsedTogetherStillShareWhatAllMayUse() {
    List<StoreLink> links = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      links.add(new StoreLink(clock, store));
      node(links.get(i), "box" + i, "1");
    }
    advance(1000);
    links.forEach(link -> link.cut(true));
    advance(15_000);
    links.get(0).cut(false);
    advance(1000);
    assertEquals(1, nodes.get(0).liveNodes());
    assertEquals(8, nodes.get(0).sharingNodes());
    assertEquals(7, nodes.get(0).sharingPeers().size());
  }

  @Test
  void nodeThatStaysAwayLeavesItsShareToOthers() {
    node(store, "box1", "1");
    NodeLease second = node(store, "box2", "1");
    advance(1000);
    second.stop();
    advance(5000);
    assertEquals(2, nodes.get(0).sharingNodes());
    advance(8000);
    assertEquals(1, nodes.get(0).sharingNodes());
  }

  @Test
  void laterRunOfABoxTakesThePlaceOfTheFormer() {
    node(store, "box1", "1");
    NodeLease former = node(store, "box2", "1");
    advance(1000);
    former.stop();
    node(store, "box2", "2");
    advance(2000);
    assertEquals(2, nodes.get(0).sharingNodes());
    assertEquals(1, nodes.get(0).sharingPeers().size());
  }

  @Test
  void controllerThatWasSuspendedHoldsNoFenceUntilItsLeaseIsRenewed() {
    BoxTime time = new BoxTime(clock);
    NodeLease suspended = node(store, "a", "1", time);
    advance(2000);
    assertTrue(suspended.controllerFence().isPresent());
    time.step(2500);
    assertTrue(suspended.controllerFence().isEmpty());
    advance(20);
    assertTrue(suspended.controllerFence().isPresent());
  }

  @Test
  void controllerWhoseLeaseEndedWhileItWasSuspendedIsNotTheControllerAnyMore() {
    BoxTime time = new BoxTime(clock);
    StoreLink link = new StoreLink(clock, store);
    NodeLease suspended = node(link, "a", "1", time);
    advance(2000);
    NodeLease other = node(store, "b", "1");
    // The steady clock of the suspended box stands still; what it sees of the store does too.
    link.cut(true);
    advance(2900);
    time.step(5000);
    assertTrue(suspended.controllerFence().isEmpty());
    link.cut(false);
    advance(5000);
    assertTrue(other.controllerFence().isPresent());
    assertTrue(suspended.controllerFence().isEmpty());
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      node(new StoreLink(clock, store), "box" + i, "1");
    }
  }

  private long highestFence() {
    return nodes.stream()
        .flatMapToLong(node -> node.controllerFence().stream())
        .max()
        .orElseThrow();
  }

  @Test
  void nodesWhoseEntriesAStoreForgotAreListedAgainSoon() {
    store.takeCopy();
    start(8);
    advance(3000);
    store.comeBackFromCopy();
    advance(2500);
    for (NodeLease node : nodes) {
      assertEquals(8, node.liveNodes());
    }
  }

  @Test
  void nodesWhoseEntriesAreInTheCopyStayListed() {
    start(8);
    advance(3000);
    store.takeCopy();
    advance(3000);
    store.comeBackFromCopy();
    for (int i = 0; i < 40; i++) {
      advance(500);
      if (i > 4) {
        assertEquals(8, nodes.get(0).liveNodes(), "after " + (i + 1) * 500 + " ms");
      }
    }
  }

  @Test
  void controllerAfterAStoreForgotItsLeaseHasAHigherFence() {
    store.takeCopy();
    start(4);
    advance(3000);
    long before = highestFence();
    store.comeBackFromCopy();
    advance(6000);
    assertEquals(1, controllers());
    assertTrue(highestFence() > before, highestFence() + " after " + before);
  }

  @Test
  void leaseWhoseNumberIsGivenToAnotherNodeIsNotHeldByBoth() {
    store.takeCopy();
    start(1);
    advance(3000);
    NodeLease former = nodes.get(0);
    long before = highestFence();
    store.comeBackFromCopy();
    // Its leases take the numbers that the former's had.
    NodeLease other = node(store, "other", "1");
    advance(1500);
    assertTrue(controllers() <= 1, controllers() + " controllers");
    advance(6000);
    assertEquals(1, controllers());
    assertTrue(highestFence() > before);
    assertEquals(2, former.liveNodes());
    assertEquals(2, other.liveNodes());
  }

  @Test
  void controllerThatEndedIsNotThereAgainWithTheCopy() {
    start(2);
    advance(1000);
    store.takeCopy();
    NodeLease first = controller();
    long before = highestFence();
    first.stop();
    advance(2000);
    store.comeBackFromCopy();
    advance(8000);
    assertTrue(first.controllerFence().isEmpty());
    assertEquals(1, controllers());
    assertTrue(highestFence() > before);
  }
}
