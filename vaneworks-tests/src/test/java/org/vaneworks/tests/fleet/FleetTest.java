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

/** Checks when an endpoint gets new work. */
final class FleetTest {
  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofMillis(2500));

  /** The store's counter up to which the list was known before the store was silent. */
  private static final long BEFORE = 50;

  private static FleetEndpoint endpoint(String id, boolean leaving) {
    return endpoint(id, leaving, BEFORE - 10);
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

  private void storeWasSilent() {
    fleet.noteStoreSilent(
        clock.currentTime(TimeUnit.NANOSECONDS), Optional.of(new StorePosition(0, BEFORE)));
  }

  private void unlist(String... ids) {
    List.of(ids).forEach(fleet::remove);
    fleet.judgeUnlisted();
  }

  private int usable() {
    return fleet.usable("s").size();
  }

  @Test
  void listedEndpointIsUsed() {
    fleet.put(endpoint("a", false));
    assertEquals(1, usable());
  }

  @Test
  void leavingEndpointGetsNothingNew() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("a", true));
    assertEquals(0, usable());
  }

  private static EndpointSignal saysThatItLeaves() {
    return EndpointSignal.NONE.asLeaving();
  }

  /** Guards against an announced end that only the list is believed to tell. */
  @Test
  void endpointThatSaysInAnAnswerThatItLeavesGetsNothingNew() {
    fleet.put(endpoint("a", false));
    fleet.statements().answered(fleet.all().get(0), saysThatItLeaves());
    assertEquals(0, usable());
  }

  @Test
  void engineThatSaysSoOfACallGetsNothingNew() {
    fleet.put(endpoint("a", false));
    fleet.statements().answeredCall(endpoint("a", false), saysThatItLeaves());
    assertEquals(0, usable());
  }

  @Test
  void leavingIsToldOnceHoweverOftenItIsSaid() {
    List<TrackedEndpoint> told = new ArrayList<>();
    fleet.onLeaving(told::add);
    fleet.put(endpoint("a", false));
    TrackedEndpoint known = fleet.all().get(0);
    fleet.statements().answered(known, saysThatItLeaves());
    fleet.statements().answered(known, saysThatItLeaves());
    fleet.put(endpoint("a", true));
    assertEquals(List.of(known), told);
  }

  @Test
  void endpointThatLeavesByAnswerIsNotUsedForItsEntry() {
    fleet.put(endpoint("a", false));
    fleet.statements().answered(fleet.all().get(0), saysThatItLeaves());
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  /** Guards against an announced end that is forgotten with the entry. */
  @Test
  void endpointThatLeavesIsNotUsedIfItsEntryLapsesAndComesBack() {
    fleet.put(endpoint("a", true));
    unlist("a");
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  @Test
  void answerThatComesAfterTheEntryWentCountsOnceItIsBack() {
    fleet.put(endpoint("a", false));
    TrackedEndpoint former = fleet.all().get(0);
    unlist("a");
    fleet.statements().answered(former, saysThatItLeaves());
    fleet.put(endpoint("a", false));
    assertEquals(0, usable());
  }

  private static FleetEndpoint run(long startedAt) {
    return new FleetEndpoint(
        "a",
        "s",
        new HostPort("10.0.0.1", 80),
        "dc1",
        6,
        false,
        Optional.empty(),
        "",
        new StorePosition(0, BEFORE),
        Incarnation.startedAt(startedAt));
  }

  /** Guards against what a former run said being held against the next. */
  @Test
  void lateAnswerOfAFormerRunChangesNothingForTheLaterOne() {
    fleet.put(run(1000));
    TrackedEndpoint former = fleet.all().get(0);
    fleet.put(run(2000));
    fleet.statements().answered(former, saysThatItLeaves());
    fleet.statements().answeredCall(run(1000), saysThatItLeaves());
    assertEquals(1, usable());
  }

  @Test
  void lateEntryOfAFormerRunTakesNothingThatTheLaterOneSaid() {
    fleet.put(run(2000));
    fleet.statements().answeredCall(run(2000), saysThatItLeaves());
    fleet.put(run(1000));
    unlist("a");
    fleet.put(run(2000));
    assertEquals(0, usable());
  }

  @Test
  void answerWithoutTheWordEndsNoAnnouncement() {
    fleet.put(endpoint("a", false));
    fleet.statements().answered(fleet.all().get(0), saysThatItLeaves());
    fleet.statements().answered(fleet.all().get(0), EndpointSignal.NONE);
    assertEquals(0, usable());
  }

  @Test
  void unlistedEndpointIsGoneAtOnce() {
    fleet.put(endpoint("a", false));
    fleet.remove("a");
    assertEquals(0, fleet.size());
  }

  @Test
  void endpointUnlistedInAnOutageIsKeptForAWhile() {
    fleet.put(endpoint("a", false));
    storeWasSilent();
    fleet.replaceAll(List.of());
    fleet.judgeUnlisted();
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(2600));
    assertEquals(0, fleet.size());
  }

  @Test
  void endpointThatIsListedAgainAfterAnOutageStays() {
    fleet.put(endpoint("a", false));
    storeWasSilent();
    unlist("a");
    clock.advance(Duration.ofMillis(1500));
    fleet.put(endpoint("a", false, BEFORE + 10));
    clock.advance(Duration.ofMillis(5000));
    assertEquals(1, usable());
  }

  @Test
  void unlistedEndpointIsGoneAtOnceIfAnotherEntryOutlivedTheSilence() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    storeWasSilent();
    unlist("a");
    assertEquals(1, fleet.size());
  }

  @Test
  void entriesThatLapsedAndCameBackDoNotProveThatTheOthersLeft() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    storeWasSilent();
    fleet.remove("a");
    fleet.remove("b");
    fleet.put(endpoint("b", false, BEFORE + 10));
    fleet.judgeUnlisted();
    assertEquals(2, usable());
  }

  @Test
  void graceCountsFromTheBeginningOfTheLastFailedCall() {
    fleet.put(endpoint("a", false));
    long begunAt = clock.currentTime(TimeUnit.NANOSECONDS);
    clock.advance(Duration.ofMillis(900));
    fleet.noteStoreSilent(begunAt, Optional.of(new StorePosition(0, BEFORE)));
    unlist("a");
    clock.advance(Duration.ofMillis(1500));
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(200));
    assertEquals(0, fleet.size());
  }

  @Test
  void endpointIsKeptWhileTheStoreIsSilentAgain() {
    fleet.put(endpoint("a", false));
    storeWasSilent();
    unlist("a");
    clock.advance(Duration.ofMillis(2000));
    storeWasSilent();
    clock.advance(Duration.ofMillis(2000));
    assertEquals(1, usable());
    clock.advance(Duration.ofMillis(600));
    assertEquals(0, fleet.size());
  }

  @Test
  void suspectedEndpointIsUsedAgainOnceCleared() {
    fleet.put(endpoint("a", false));
    fleet.suspect(fleet.of("s").get(0), "test");
    assertEquals(0, usable());
    fleet.clear(fleet.of("s").get(0));
    assertEquals(1, usable());
  }

  @Test
  void shortageFades() {
    fleet.put(endpoint("a", false));
    var tracked = fleet.of("s").get(0);
    tracked.noteShortage(0);
    double first = tracked.shortage(0);
    assertTrue(first > 1.2);
    assertTrue(tracked.shortage(Duration.ofSeconds(4).toNanos()) < 1.05);
  }

  private static FleetEndpoint run(String id, int port, long listedAt, Incarnation incarnation) {
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
  void laterRunUnderTheSameIdIsKnownForNothingOfTheFormer() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    TrackedEndpoint former = only();
    former.reserve(500);
    former.noteShortage(0);
    fleet.suspect(former, "test");
    fleet.put(run("a", 80, 1, Incarnation.startedAt(2000)));
    TrackedEndpoint later = only();
    assertTrue(former.hasEnded());
    assertFalse(later.suspected());
    assertEquals(0, later.inFlight());
    assertEquals(1.0, later.shortage(0));
  }

  @Test
  void endOfARunIsToldOnceTheLaterOneIsKnown() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    List<Optional<TrackedEndpoint>> atThatTime = new ArrayList<>();
    fleet.onEnd(ended -> atThatTime.add(fleet.at("s", ended.address())));
    fleet.put(run("a", 80, 1, Incarnation.startedAt(2000)));
    assertEquals(List.of(Optional.of(only())), atThatTime);
  }

  @Test
  void newsOfAFormerRunChangesNothing() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(2000)));
    TrackedEndpoint known = only();
    fleet.put(run("a", 81, 1, Incarnation.startedAt(1000)));
    assertSame(known, only());
    assertEquals(80, known.address().port());
  }

  @Test
  void reportOfALaterRunEndsTheKnownOneBeforeTheListDoes() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    TrackedEndpoint former = only();
    assertFalse(fleet.isSameRun(former, Incarnation.startedAt(2000)));
    assertTrue(former.hasEnded());
    assertEquals(Optional.empty(), only().endpoint().layers());
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    assertEquals(Optional.empty(), only().endpoint().layers());
  }

  @Test
  void reportOfAFormerRunIsOfNoUse() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(2000)));
    assertFalse(fleet.isSameRun(only(), Incarnation.startedAt(1000)));
    assertTrue(fleet.isSameRun(only(), Incarnation.startedAt(2000)));
    assertTrue(fleet.isSameRun(only(), Incarnation.UNTOLD));
  }

  @Test
  void entryThatCannotBeOfTheKnownRunNamesNoEndpoint() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    fleet.put(run("a", 81, 1, Incarnation.startedAt(1000)));
    assertEquals(0, fleet.size());
  }

  @Test
  void entryWithoutAStartNamesNoEndpointOfAnIdThatToldOne() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    fleet.put(run("a", 80, 1, Incarnation.UNTOLD));
    assertEquals(0, fleet.size());
    fleet.put(run("a", 80, 1, Incarnation.UNTOLD));
    assertEquals(0, fleet.size());
    fleet.put(run("a", 80, 1, Incarnation.startedAt(1000)));
    assertEquals(1, usable());
  }

  @Test
  void lateEntryOfAFormerRunIsNoEndpointAlsoAfterTheLaterOneLeft() {
    fleet.put(run("a", 80, 1, Incarnation.startedAt(2000)));
    fleet.remove("a");
    fleet.put(run("a", 80, 3, Incarnation.startedAt(1000)));
    assertEquals(0, fleet.size());
  }

  @Test
  void withdrawnEndpointIsGoneAlsoWhileTheStoreIsSilent() {
    fleet.put(run("a", 80, 1, Incarnation.UNTOLD));
    storeWasSilent();
    fleet.withdraw("a", "test");
    assertEquals(0, fleet.size());
    fleet.put(run("a", 80, 1, Incarnation.UNTOLD));
    assertEquals(1, usable());
  }

  @Test
  void engineThatNamesItsAcceleratorOnlyWithItsModelStaysTheSameRun() {
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
  void endpointsThatAStoreForgotAreKeptForAWhile() {
    fleet.put(endpoint("a", false));
    fleet.put(endpoint("b", false));
    fleet.noteNewEra();
    FleetEndpoint again = endpointOfEra(1, "b");
    fleet.replaceAll(List.of(again));
    fleet.judgeUnlisted();
    assertEquals(2, usable());
    clock.advance(Duration.ofMillis(2600));
    assertEquals(1, usable());
  }

  @Test
  void endpointThatWasSeenToGoIsNotThereAgainWithTheCopy() {
    fleet.put(endpoint("a", false));
    unlist("a");
    assertEquals(0, usable());
    fleet.noteNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.judgeUnlisted();
    assertEquals(0, usable());
    fleet.put(endpointOfEra(1, "a"));
    assertEquals(1, usable());
  }

  @Test
  void endpointThatTheCopyNamesAndNobodyUnlistsIsUsedInTheEnd() {
    fleet.put(endpoint("a", false));
    unlist("a");
    fleet.noteNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.judgeUnlisted();
    clock.advance(Duration.ofSeconds(9));
    fleet.judgeUnlisted();
    assertEquals(0, usable());
    clock.advance(Duration.ofSeconds(2));
    assertEquals(0, usable());
    fleet.judgeUnlisted();
    assertEquals(1, usable());
  }

  @Test
  void endpointThatTheCopyNamesAndThatIsUnlistedAgainStaysGone() {
    fleet.put(endpoint("a", false));
    unlist("a");
    fleet.noteNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.judgeUnlisted();
    unlist("a");
    clock.advance(Duration.ofSeconds(20));
    fleet.judgeUnlisted();
    assertEquals(0, usable());
  }

  @Test
  void announcementOfAnEndHoldsThoughTheCopyDoesNotKnowIt() {
    fleet.put(endpoint("a", true));
    fleet.noteNewEra();
    fleet.replaceAll(List.of(endpointOfEra(1, "a")));
    fleet.judgeUnlisted();
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
