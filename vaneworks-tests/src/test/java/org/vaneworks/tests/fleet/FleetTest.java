package org.vaneworks.tests.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests when the endpoint table offers an endpoint for new work. */
final class FleetTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));

  /** The store position up to which the list was known before the outage. */
  private static final long POSITION_BEFORE_OUTAGE = 50;

  private static FleetEndpoint endpoint(String id, boolean leaving) {
    return endpoint(id, leaving, POSITION_BEFORE_OUTAGE - 10);
  }

  private static FleetEndpoint endpoint(String id, boolean leaving, long listedAt) {
    return new FleetEndpoint(
        id,
        "s",
        new HostPort("10.0.0.1", 80),
        "dc1",
        6,
        leaving,
        Optional.empty(),
        "",
        new StorePosition(0, listedAt));
  }

  private void recordOutage() {
    fleet.recordStoreFailure(
        clock.currentTime(TimeUnit.NANOSECONDS),
        Optional.of(new StorePosition(0, POSITION_BEFORE_OUTAGE)));
  }

  private void unlist(String... ids) {
    List.of(ids).forEach(fleet::remove);
    fleet.resolveMissing();
  }

  private int usable() {
    return fleet.usable("s").size();
  }

  @Test
  void listedEndpointIsUsable() {
    fleet.put(endpoint("a", false));
    assertEquals(1, usable());
  }

  @Test
  void leavingEndpointIsNotUsable() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("a", true));
    assertEquals(0, usable());
  }

  private static EndpointSignal leavingSignal() {
    return EndpointSignal.NONE.asLeaving();
  }

  /** Guards against a shutdown announcement that is accepted only from the endpoint list. */
  @Test
  void endpointThatAnnouncesShutdownInAnswerIsNotUsable() {
    fleet.put(endpoint("a", false));
    fleet.signals().recordAnswer(fleet.all().get(0), leavingSignal());
    assertEquals(0, usable());
  }

  @Test
  void engineThatAnnouncesShutdownInControlCallIsNotUsable() {
    fleet.put(endpoint("a", false));
    fleet.signals().recordCallAnswer(endpoint("a", false), leavingSignal());
    assertEquals(0, usable());
  }

  @Test
  void leavingListenersAreCalledOnceForRepeatedAnnouncements() {
    List<TrackedEndpoint> notified = new ArrayList<>();
    fleet.onLeaving(notified::add);
    fleet.put(endpoint("a", false));
    TrackedEndpoint known = fleet.all().get(0);
    fleet.signals().recordAnswer(known, leavingSignal());
    fleet.signals().recordAnswer(known, leavingSignal());
    fleet.put(endpoint("a", true));
    assertEquals(List.of(known), notified);
  }

  @Test
  void entryWithoutAnnouncementDoesNotMakeLeavingEndpointUsable() {
    fleet.put(endpoint("a", false));
    fleet.signals().recordAnswer(fleet.all().get(0), leavingSignal());
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  /** Guards against a shutdown announcement that is discarded together with the list entry. */
  @Test
  void leavingEndpointIsNotUsableAfterItsEntryLapsesAndReappears() {
    fleet.put(endpoint("a", true));
    unlist("a");
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  @Test
  void announcementReceivedWhileUnlistedAppliesAfterRelisting() {
    fleet.put(endpoint("a", false));
    TrackedEndpoint former = fleet.all().get(0);
    unlist("a");
    fleet.signals().recordAnswer(former, leavingSignal());
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  private static FleetEndpoint incarnation(long startedAt) {
    return new FleetEndpoint(
        "a",
        "s",
        new HostPort("10.0.0.1", 80),
        "dc1",
        6,
        false,
        Optional.empty(),
        "",
        new StorePosition(0, POSITION_BEFORE_OUTAGE),
        Incarnation.startedAt(startedAt));
  }

  // Guards against overloading an engine: its running requests were forgotten when its entry lapsed
  // and reappeared.
  @Test
  void reservationsAreKeptWhenEntryLapsesAndReappears() {
    fleet.put(incarnation(1000));
    TrackedEndpoint engine = fleet.all().get(0);
    engine.reserve(10);
    unlist("a");
    fleet.put(incarnation(1000));
    assertEquals(1, fleet.all().get(0).inFlight());
    engine.release(10);
    assertEquals(0, fleet.all().get(0).inFlight());
    assertEquals(0, fleet.all().get(0).reservedTokenLayers());
    assertEquals(1, usable());
  }

  // Guards against a stream that is not moved away from a suspected engine, because the engine's
  // entry lapsed and reappeared under the stream.
  @Test
  void suspicionReachesRequestsThatBeganBeforeTheEntryLapsed() {
    List<TrackedEndpoint> suspected = new ArrayList<>();
    fleet.onSuspicion(suspected::add);
    fleet.put(incarnation(1000));
    TrackedEndpoint engine = fleet.all().get(0);
    engine.reserve(10);
    unlist("a");
    fleet.put(incarnation(1000));
    fleet.suspect(fleet.all().get(0), "test");
    assertEquals(List.of(engine), suspected);
  }

  @Test
  void reservationsOfFormerIncarnationAreNotCountedForTheNext() {
    fleet.put(incarnation(1000));
    fleet.all().get(0).reserve(10);
    unlist("a");
    fleet.put(incarnation(2000));
    assertEquals(0, fleet.all().get(0).inFlight());
  }

  /** Guards against signals of a former incarnation that are applied to the next. */
  @Test
  void lateAnswerOfFormerIncarnationDoesNotAffectTheNext() {
    fleet.put(incarnation(1000));
    TrackedEndpoint former = fleet.all().get(0);
    fleet.put(incarnation(2000));
    fleet.signals().recordAnswer(former, leavingSignal());
    fleet.signals().recordCallAnswer(incarnation(1000), leavingSignal());
    assertEquals(1, usable());
  }

  @Test
  void lateEntryOfFormerIncarnationKeepsAnnouncementOfTheNext() {
    fleet.put(incarnation(2000));
    fleet.signals().recordCallAnswer(incarnation(2000), leavingSignal());
    fleet.put(incarnation(1000));
    unlist("a");
    fleet.put(incarnation(2000));
    assertEquals(0, usable());
  }

  @Test
  void answerWithoutAnnouncementDoesNotRevokeIt() {
    fleet.put(endpoint("a", false));
    fleet.signals().recordAnswer(fleet.all().get(0), leavingSignal());
    fleet.signals().recordAnswer(fleet.all().get(0), EndpointSignal.NONE);
    assertEquals(0, usable());
  }

  @Test
  void unlistedEndpointIsRemovedImmediately() {
    fleet.put(endpoint("a", false));
    fleet.remove("a");
    assertEquals(0, fleet.size());
  }

  @Test
  void endpointUnlistedInOutageIsRetainedForGracePeriod() {
    fleet.put(endpoint("a", false));
    recordOutage();
    fleet.replaceAll(List.of());
    fleet.resolveMissing();
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(2600));
    assertEquals(0, fleet.size());
  }

  @Test
  void endpointRelistedAfterOutageStays() {
    fleet.put(endpoint("a", false));
    recordOutage();
    unlist("a");
    clock.advance(Duration.ofMillis(1500));
    fleet.put(endpoint("a", false, POSITION_BEFORE_OUTAGE + 10));
    clock.advance(Duration.ofMillis(5000));
    assertEquals(1, usable());
  }

  @Test
  void unlistedEndpointIsRemovedImmediatelyIfAnotherEntrySurvivedOutage() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    recordOutage();
    unlist("a");
    assertEquals(1, fleet.size());
  }

  @Test
  void relistedEntriesDoNotProveThatMissingEndpointsLeft() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    recordOutage();
    fleet.remove("a");
    fleet.remove("b");
    fleet.put(endpoint("b", false, POSITION_BEFORE_OUTAGE + 10));
    fleet.resolveMissing();
    assertEquals(2, usable());
  }

  @Test
  void gracePeriodStartsAtBeginningOfLastFailedCall() {
    fleet.put(endpoint("a", false));
    long begunAt = clock.currentTime(TimeUnit.NANOSECONDS);
    clock.advance(Duration.ofMillis(900));
    fleet.recordStoreFailure(begunAt, Optional.of(new StorePosition(0, POSITION_BEFORE_OUTAGE)));
    unlist("a");
    clock.advance(Duration.ofMillis(1500));
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(200));
    assertEquals(0, fleet.size());
  }

  @Test
  void secondOutageExtendsGracePeriod() {
    fleet.put(endpoint("a", false));
    recordOutage();
    unlist("a");
    clock.advance(Duration.ofMillis(2000));
    recordOutage();
    clock.advance(Duration.ofMillis(2000));
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(600));
    assertEquals(0, fleet.size());
  }

  @Test
  void suspectedEndpointIsUsableAgainOnceCleared() {
    fleet.put(endpoint("a", false));
    fleet.suspect(fleet.listed("s").get(0), "test");
    assertEquals(0, usable());
    fleet.clearSuspicion(fleet.listed("s").get(0));
    assertEquals(1, usable());
  }

  @Test
  void shortageDecays() {
    fleet.put(endpoint("a", false));
    var tracked = fleet.listed("s").get(0);
    tracked.recordShortage(0);
    double initial = tracked.shortage(0);
    assertTrue(initial > 1.2);
    assertTrue(tracked.shortage(Duration.ofSeconds(4).toNanos()) < 1.05);
  }

  private static FleetEndpoint incarnation(
      String id, int port, long listedAt, Incarnation incarnation) {
    return new FleetEndpoint(
        id,
        "s",
        new HostPort("10.0.0.2", port),
        "dc1",
        6,
        false,
        Optional.of(LayerRange.of(0, 10)),
        "large",
        new StorePosition(0, listedAt),
        incarnation);
  }

  private TrackedEndpoint only() {
    assertEquals(1, fleet.size());
    return fleet.all().get(0);
  }

  @Test
  void laterIncarnationInheritsNoStateFromTheFormer() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    TrackedEndpoint former = only();
    former.reserve(500);
    former.recordShortage(0);
    fleet.suspect(former, "test");
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(2000)));
    TrackedEndpoint later = only();
    assertTrue(former.hasEnded());
    assertFalse(later.suspected());
    assertEquals(0, later.inFlight());
    assertEquals(1.0, later.shortage(0));
  }

  @Test
  void laterIncarnationIsKnownWhenEndOfFormerIsNotified() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    List<Optional<TrackedEndpoint>> foundDuringNotification = new ArrayList<>();
    fleet.onIncarnationEnd(ended -> foundDuringNotification.add(fleet.find("s", ended.address())));
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(2000)));
    assertEquals(List.of(Optional.of(only())), foundDuringNotification);
  }

  @Test
  void entryOfFormerIncarnationIsIgnored() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(2000)));
    TrackedEndpoint known = only();
    fleet.put(incarnation("a", 81, 1, Incarnation.startedAt(1000)));
    assertSame(known, only());
    assertEquals(80, known.address().port());
  }

  @Test
  void reportOfLaterIncarnationEndsTheKnownOneBeforeListChange() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    TrackedEndpoint former = only();
    assertFalse(fleet.reconcileIncarnation(former, Incarnation.startedAt(2000)));
    assertTrue(former.hasEnded());
    assertEquals(Optional.empty(), only().endpoint().layers());
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    assertEquals(Optional.empty(), only().endpoint().layers());
  }

  @Test
  void reportOfFormerIncarnationIsRejected() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(2000)));
    assertFalse(fleet.reconcileIncarnation(only(), Incarnation.startedAt(1000)));
    assertTrue(fleet.reconcileIncarnation(only(), Incarnation.startedAt(2000)));
    assertTrue(fleet.reconcileIncarnation(only(), Incarnation.UNKNOWN));
  }

  @Test
  void entryThatContradictsKnownIncarnationRemovesEndpoint() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    fleet.put(incarnation("a", 81, 1, Incarnation.startedAt(1000)));
    assertEquals(0, fleet.size());
  }

  @Test
  void entryWithoutStartTimeIsRejectedIfTheIdHadOne() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    fleet.put(incarnation("a", 80, 1, Incarnation.UNKNOWN));
    assertEquals(0, fleet.size());
    fleet.put(incarnation("a", 80, 1, Incarnation.UNKNOWN));
    assertEquals(0, fleet.size());
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(1000)));
    assertEquals(1, usable());
  }

  @Test
  void lateEntryOfFormerIncarnationIsIgnoredAfterTheNextLeft() {
    fleet.put(incarnation("a", 80, 1, Incarnation.startedAt(2000)));
    fleet.remove("a");
    fleet.put(incarnation("a", 80, 3, Incarnation.startedAt(1000)));
    assertEquals(0, fleet.size());
  }

  @Test
  void withdrawnEndpointIsRemovedEvenDuringOutage() {
    fleet.put(incarnation("a", 80, 1, Incarnation.UNKNOWN));
    recordOutage();
    fleet.withdraw("a", "test");
    assertEquals(0, fleet.size());
    fleet.put(incarnation("a", 80, 1, Incarnation.UNKNOWN));
    assertEquals(1, usable());
  }

  @Test
  void engineThatReportsAcceleratorOnlyWithModelStaysSameIncarnation() {
    HostPort address = new HostPort("10.0.0.3", 80);
    Optional<LayerRange> layers = Optional.of(LayerRange.of(0, 10));
    fleet.put(
        new FleetEndpoint(
            "a", "s", address, "dc1", 6, false, Optional.empty(), "", new StorePosition(0, 1)));
    TrackedEndpoint known = only();
    fleet.put(
        new FleetEndpoint(
            "a", "s", address, "dc1", 6, false, layers, "large", new StorePosition(0, 1)));
    assertSame(known, only());
  }

  @Test
  void endpointsMissingFromRestoredStoreAreRetainedForGracePeriod() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    fleet.recordNewEra();
    FleetEndpoint listedByCopy = endpointOfEra(1, "b");
    fleet.replaceAll(List.of(listedByCopy));
    fleet.resolveMissing();
    assertEquals(2, usable());
    clock.advance(Duration.ofMillis(2600));
    assertEquals(1, usable());
  }

  @Test
  void removedEndpointDoesNotReappearWithRestoredCopy() {
    fleet.put(endpoint("a", false));
    unlist("a");
    assertEquals(0, usable());
    fleet.recordNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.resolveMissing();
    assertEquals(0, usable());
    fleet.put(endpointOfEra(1, "a"));
    assertEquals(1, usable());
  }

  @Test
  void endpointListedByCopyIsUsableOnceCopyHasSettled() {
    fleet.put(endpoint("a", false));
    unlist("a");
    fleet.recordNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.resolveMissing();
    clock.advance(Duration.ofSeconds(9));
    fleet.resolveMissing();
    assertEquals(0, usable());
    clock.advance(Duration.ofSeconds(2));
    assertEquals(0, usable());
    fleet.resolveMissing();
    assertEquals(1, usable());
  }

  @Test
  void endpointListedByCopyAndUnlistedAgainStaysRemoved() {
    fleet.put(endpoint("a", false));
    unlist("a");
    fleet.recordNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.resolveMissing();
    unlist("a");
    clock.advance(Duration.ofSeconds(20));
    fleet.resolveMissing();
    assertEquals(0, usable());
  }

  @Test
  void shutdownAnnouncementSurvivesRestoreOfCopyWithoutIt() {
    fleet.put(endpoint("a", true));
    fleet.recordNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.resolveMissing();
    assertEquals(0, usable());
  }

  private static FleetEndpoint endpointOfEra(long era, String id) {
    return new FleetEndpoint(
        id,
        "s",
        new HostPort("10.0.0.1", 80),
        "dc1",
        6,
        false,
        Optional.empty(),
        "",
        new StorePosition(era, 3));
  }
}
