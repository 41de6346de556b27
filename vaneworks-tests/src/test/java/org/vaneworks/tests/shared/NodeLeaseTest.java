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
import org.vaneworks.coordination.shared.PeerRelay;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Tests which node is the controller, and how many nodes are counted, while nodes start, stop, lose
 * their connection to the store or are suspended, and while the store fails or is restored.
 */
final class NodeLeaseTest {
  private static final String PREFIX = "vaneworks/";
  private static final Duration MAX_LIST_AGE = Duration.ofMillis(4750);

  private final PausedExecutor clock = PausedExecutor.create();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private final List<NodeLease> nodes = new ArrayList<>();

  private NodeLease node(SharedStore nodeStore, String box, String run) {
    return node(nodeStore, box, run, new BoxClock(clock));
  }

  private NodeLease node(SharedStore nodeStore, String box, String run, BoxClock boxClock) {
    NodeLease lease =
        NodeLease.create(
            clock,
            new Random(nodes.size()),
            nodeStore,
            boxClock.suspensionDetector(),
            PREFIX,
            box,
            "dc1",
            run,
            () -> addressOf(box),
            () -> relayOf(box),
            () -> MAX_LIST_AGE);
    PrefixFollower.create(
            clock,
            new Random(9),
            nodeStore,
            Counters.in(new SimpleMeterRegistry()),
            PREFIX,
            () -> Duration.ofMillis(1500),
            () -> Duration.ofMillis(100),
            lease,
            boxClock.suspensionDetector())
        .start();
    lease.start();
    nodes.add(lease);
    return lease;
  }

  /** Derives the address from the number in the box's name; other boxes accept no peers. */
  private static Optional<HostPort> addressOf(String box) {
    String number = box.replaceAll("[^0-9]", "");
    return number.isEmpty()
        ? Optional.empty()
        : Optional.of(new HostPort("10.1.0." + number, 7340));
  }

  /** Such boxes accept forwarded requests on another port. */
  private static Optional<PeerRelay> relayOf(String box) {
    return addressOf(box)
        .map(address -> new PeerRelay(new HostPort(address.host(), 7341), "token-" + box));
  }

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private long controllers() {
    return nodes.stream().filter(node -> node.controllerFence().isPresent()).count();
  }

  @Test
  void exactlyOneNodeIsTheController() {
    for (int i = 0; i < 8; i++) {
      node(store, "box" + i, "1");
    }
    advance(1000);
    assertEquals(1, controllers());
    assertEquals(8, nodes.get(0).liveNodes());
  }

  // Guards against a controller that acts while it is cut off from the endpoints.
  @Test
  void nodeThatMayNotControlHandsOver() {
    for (int i = 0; i < 3; i++) {
      node(store, "box" + i, "1");
    }
    advance(1000);
    NodeLease first =
        nodes.stream().filter(node -> node.controllerFence().isPresent()).findFirst().get();
    first.setMayControl(false);
    assertTrue(first.controllerFence().isEmpty());
    advance(1000);
    assertTrue(first.controllerFence().isEmpty());
    assertEquals(1, controllers());
    nodes.forEach(node -> node.setMayControl(false));
    advance(1000);
    assertEquals(0, controllers());
    first.setMayControl(true);
    advance(1000);
    assertTrue(first.controllerFence().isPresent());
  }

  @Test
  void nodesLearnTheAddressesOfTheirPeers() {
    for (int i = 1; i <= 3; i++) {
      node(store, "box" + i, "1");
    }
    advance(1000);
    assertEquals(
        ImmutableList.of(
            new Peer("box2", "dc1", new HostPort("10.1.0.2", 7340), relayOf("box2")),
            new Peer("box3", "dc1", new HostPort("10.1.0.3", 7340), relayOf("box3"))),
        nodes.get(0).peers());
  }

  @Test
  void nodeWithoutAnAddressIsCountedButIsNotAPeer() {
    node(store, "box1", "1");
    node(store, "silent", "1");
    advance(1000);
    assertEquals(ImmutableList.of(), nodes.get(0).peers());
    assertEquals(2, nodes.get(0).liveNodes());
  }

  @Test
  void stoppedControllerIsReplacedImmediatelyWithAHigherFence() {
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
  void controllerThatCannotRenewGivesUpItsRoleInTime() {
    NodeLease first = node(store, "box1", "1");
    advance(500);
    store.down = true;
    advance(3100);
    assertFalse(first.controllerFence().isPresent());
  }

  @Test
  void oneControllerIsElectedAfterAnOutage() {
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
  void claimWithALostResponseIsDiscoveredByTheWatch() {
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
  void boxWithAnEarlierRunIsCountedOnce() {
    node(store, "box1", "1");
    advance(200);
    NodeLease second = node(store, "box1", "2");
    advance(500);
    assertEquals(1, second.liveNodes());
  }

  @Test
  void mostNodesOfALargeFleetSeeTheNewControllerBeforeTheyClaim() {
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
  void nodesThatAreNotTheControllerRarelyRenew() {
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
  void nodeIsCountedWhileItsEntryExists() {
    NodeLease first = node(store, "box1", "1");
    store.put(PREFIX + "nodes/box2/1", "");
    advance(500);
    assertEquals(2, first.liveNodes());
    store.remove(PREFIX + "nodes/box2/1");
    advance(2000);
    assertEquals(1, first.liveNodes());
  }

  @Test
  void entryWhoseWriteHadNoResponseIsEventuallyPresent() {
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
  void changeOfAnEarlierControllerIsIgnored() {
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
  void nodeWhoseEntryExpiredDuringAPartitionIsListedAgainSoon() {
    NodeLease other = node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    partitionUntilEntryExpires(node(link, "box2", "1"), link);
    assertEquals(1, other.liveNodes());
    link.cut(false);
    advance(3500);
    assertEquals(2, other.liveNodes());
  }

  @Test
  void nodeWhoseEntryExpiredDuringAPartitionIsListedAgainAfterHistoryLoss() {
    NodeLease other = node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    partitionUntilEntryExpires(node(link, "box2", "1"), link);
    store.forgetHistory();
    link.cut(false);
    advance(6000);
    assertEquals(2, other.liveNodes());
  }

  @Test
  void nodeCountsItselfWhileItsEntryIsMissing() {
    node(store, "box1", "1");
    StoreLink link = new StoreLink(clock, store);
    NodeLease partitioned = node(link, "box2", "1");
    partitionUntilEntryExpires(partitioned, link);
    link.cut(false);
    for (int i = 0; i < 30; i++) {
      advance(100);
      assertEquals(2, partitioned.liveNodes(), "after " + (i + 1) * 100 + " ms");
    }
  }

  private void partitionUntilEntryExpires(NodeLease node, StoreLink link) {
    advance(2000);
    assertEquals(2, node.liveNodes());
    link.cut(true);
    advance(15_000);
  }

  @Test
  void expiredEntriesOfAllNodesAreRewrittenAtALimitedRate() {
    int nodeCount = 200;
    for (int i = 0; i < nodeCount; i++) {
      node(store, "box" + i, "1");
    }
    advance(3000);
    store.down = true;
    advance(15_000);
    store.down = false;
    int maxEntriesPerStep = 0;
    for (int i = 0; i < 60; i++) {
      int before = entriesWritten();
      advance(100);
      maxEntriesPerStep = Math.max(maxEntriesPerStep, entriesWritten() - before);
    }
    assertTrue(maxEntriesPerStep <= 15, "in a tenth of a second: " + maxEntriesPerStep);
    assertEquals(nodeCount, nodes.get(0).liveNodes());
  }

  private int entriesWritten() {
    return Collections.frequency(store.calls, "create");
  }

  @Test
  void nodesWhoseEntriesExpiredTogetherStillShareTheLimits() {
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
  void shareOfAStoppedNodeIsFreedAfterTheGracePeriod() {
    node(store, "box1", "1");
    NodeLease second = node(store, "box2", "1");
    advance(1000);
    second.stop();
    advance(5000);
    assertEquals(2, nodes.get(0).sharingNodes());
    advance(8000);
    assertEquals(1, nodes.get(0).sharingNodes());
  }

  // Guards against repeats beyond the retry budget: after a kill of all nodes and two outages of
  // the
  // store, each counted only those whose entries it had read in between, and divided by fewer.
  @Test
  void boxesStayCountedWhileTheStoreIsAwayAndUntilItIsBackForTheGracePeriod() {
    List<StoreLink> links = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      links.add(new StoreLink(clock, store));
      node(links.get(i), "box" + i, "1");
    }
    advance(1000);
    links.subList(1, 8).forEach(link -> link.cut(true));
    advance(14_000);
    assertEquals(1, nodes.get(0).liveNodes());
    assertEquals(8, nodes.get(0).sharingNodes());
    store.down = true;
    advance(12_000);
    assertEquals(8, nodes.get(0).sharingNodes());
    store.down = false;
    advance(8000);
    assertEquals(8, nodes.get(0).sharingNodes());
    advance(6000);
    assertEquals(1, nodes.get(0).sharingNodes());
  }

  /** Lists a box that reports to nobody. */
  private void listOther() {
    store.put(PREFIX + "nodes/box9/1", "10.1.0.9:7340 dc1");
  }

  // Guards against a node that uses its part of the retry reserve before others have left it room.
  @Test
  void firstRunOnABoxIsCountedOnceAllListsShowIt() {
    listOther();
    NodeLease first = node(store, "box1", "1");
    advance((int) MAX_LIST_AGE.toMillis() - 100);
    assertTrue(first.countedSince().isEmpty());
    advance(1000);
    assertTrue(first.countedSince().isPresent());
  }

  @Test
  void runThatFollowsAListedOneIsCountedAtOnce() {
    StoreLink link = new StoreLink(clock, store);
    node(link, "box1", "1");
    advance(1000);
    link.cut(true);
    NodeLease second = node(store, "box1", "2");
    advance(100);
    assertTrue(second.countedSince().isPresent());
  }

  // Guards against repeats beyond the retry budget: runs that had read the entries of their former
  // runs were taken for counted, although those expired before the next ones were written.
  @Test
  void runWhoseFormerEntryExpiresBeforeItsOwnIsWrittenIsNotCountedAtOnce() {
    StoreLink link = new StoreLink(clock, store);
    node(link, "box1", "1");
    advance(1000);
    link.cut(true);
    StoreLink slow = new StoreLink(clock, store);
    slow.cutWrites(true);
    NodeLease second = node(slow, "box1", "2");
    advance(100);
    assertTrue(second.countedSince().isEmpty());
    advance(14_000);
    slow.cutWrites(false);
    advance(4000);
    assertTrue(second.countedSince().isEmpty());
    advance(6000);
    assertTrue(second.countedSince().isPresent());
  }

  // Guards against the same with runs that were listed shortly before an outage of the store: each
  // knew only those that were listed before it.
  @Test
  void runIsNotCountedWhileTheStoreIsAway() {
    listOther();
    NodeLease first = node(store, "box1", "1");
    advance(2000);
    store.down = true;
    advance(14_000);
    assertTrue(first.countedSince().isEmpty());
    store.down = false;
    advance(3000);
    assertTrue(first.countedSince().isEmpty());
    advance(5000);
    assertTrue(first.countedSince().isPresent());
  }

  @Test
  void entryThatTheStoreLostDoesNotCount() {
    listOther();
    NodeLease first = node(store, "box1", "1");
    advance(3000);
    store.takeEmptyBackup();
    store.restoreBackup();
    advance(3000);
    assertTrue(first.countedSince().isEmpty());
    advance(5000);
    assertTrue(first.countedSince().isPresent());
  }

  // Guards against streams that are cut at a node that has just started, though all others report
  // to it, so that they count it.
  @Test
  void runIsCountedOnceAllOthersReportToIt() {
    listOther();
    node(store, "box2", "1");
    advance(6000);
    NodeLease third = node(store, "box3", "1");
    third.recordReportOf("box2");
    third.recordReportOf("box9");
    advance(200);
    assertTrue(third.countedSince().isEmpty(), "reports from before its entry was listed");
    third.recordReportOf("box2");
    advance(1000);
    assertTrue(third.countedSince().isEmpty(), "one of two others");
    third.recordReportOf("box9");
    assertTrue(third.countedSince().isPresent());
  }

  // Guards against a node that takes a box for one that counts it, as that has left the list.
  @Test
  void runAwaitsAlsoTheReportsOfBoxesThatLeftTheList() {
    listOther();
    NodeLease second = node(store, "box2", "1");
    advance(1000);
    store.remove(PREFIX + "nodes/box9/1");
    advance(2000);
    assertTrue(second.countedSince().isEmpty());
    second.recordReportOf("box9");
    assertTrue(second.countedSince().isPresent());
  }

  // Guards against streams that are cut at the only node, as it awaits that others count it.
  @Test
  void runThatIsAloneInTheListIsCountedAtOnce() {
    NodeLease alone = node(store, "box1", "1");
    advance(200);
    assertTrue(alone.countedSince().isPresent());
  }

  // Guards against a node that takes itself for alone, as the entries of the others have expired.
  @Test
  void runThatSawEntriesExpireIsNotAlone() {
    store.put(PREFIX + "nodes/silent/1", "");
    StoreLink slow = new StoreLink(clock, store);
    slow.cutWrites(true);
    NodeLease second = node(slow, "box2", "1");
    advance(1000);
    store.remove(PREFIX + "nodes/silent/1");
    advance(1000);
    slow.cutWrites(false);
    advance(3000);
    assertTrue(second.countedSince().isEmpty());
  }

  @Test
  void laterRunOnABoxReplacesTheEarlierRun() {
    node(store, "box1", "1");
    NodeLease earlier = node(store, "box2", "1");
    advance(1000);
    earlier.stop();
    node(store, "box2", "2");
    advance(2000);
    assertEquals(2, nodes.get(0).sharingNodes());
    assertEquals(1, nodes.get(0).sharingPeers().size());
  }

  @Test
  void suspendedControllerHasNoFenceUntilItsLeaseIsRenewed() {
    BoxClock boxClock = new BoxClock(clock);
    NodeLease suspended = node(store, "a", "1", boxClock);
    advance(2000);
    assertTrue(suspended.controllerFence().isPresent());
    boxClock.step(2500);
    assertTrue(suspended.controllerFence().isEmpty());
    advance(20);
    assertTrue(suspended.controllerFence().isPresent());
  }

  @Test
  void controllerWhoseLeaseExpiredDuringASuspensionIsNoLongerTheController() {
    BoxClock boxClock = new BoxClock(clock);
    StoreLink link = new StoreLink(clock, store);
    NodeLease suspended = node(link, "a", "1", boxClock);
    advance(2000);
    NodeLease other = node(store, "b", "1");
    // During its suspension the box sees no responses of the store, and its monotonic clock stops.
    link.cut(true);
    advance(2900);
    boxClock.step(5000);
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
  void nodesMissingFromARestoredBackupAreListedAgainSoon() {
    store.takeBackup();
    start(8);
    advance(3000);
    store.restoreBackup();
    advance(2500);
    for (NodeLease node : nodes) {
      assertEquals(8, node.liveNodes());
    }
  }

  @Test
  void nodesInARestoredBackupStayListed() {
    start(8);
    advance(3000);
    store.takeBackup();
    advance(3000);
    store.restoreBackup();
    for (int i = 0; i < 40; i++) {
      advance(500);
      if (i > 4) {
        assertEquals(8, nodes.get(0).liveNodes(), "after " + (i + 1) * 500 + " ms");
      }
    }
  }

  @Test
  void controllerElectedAfterARestoreHasAHigherFence() {
    store.takeBackup();
    start(4);
    advance(3000);
    long before = highestFence();
    store.restoreBackup();
    advance(6000);
    assertEquals(1, controllers());
    assertTrue(highestFence() > before, highestFence() + " after " + before);
  }

  @Test
  void reassignedLeaseIdIsNotUsedByBothNodes() {
    store.takeBackup();
    start(1);
    advance(3000);
    NodeLease earlier = nodes.get(0);
    long before = highestFence();
    store.restoreBackup();
    // Its leases get the ids of the earlier node's leases.
    NodeLease other = node(store, "other", "1");
    advance(1500);
    assertTrue(controllers() <= 1, controllers() + " controllers");
    advance(6000);
    assertEquals(1, controllers());
    assertTrue(highestFence() > before);
    assertEquals(2, earlier.liveNodes());
    assertEquals(2, other.liveNodes());
  }

  @Test
  void stoppedControllerDoesNotReturnWithARestoredBackup() {
    start(2);
    advance(1000);
    store.takeBackup();
    NodeLease first = controller();
    long before = highestFence();
    first.stop();
    advance(2000);
    store.restoreBackup();
    advance(8000);
    assertTrue(first.controllerFence().isEmpty());
    assertEquals(1, controllers());
    assertTrue(highestFence() > before);
  }
}
