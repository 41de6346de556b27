package org.vaneworks.tests.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.state.HostPort;
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
        id, "s", new HostPort("10.0.0.1", 80), "dc1", 6, leaving, Optional.empty(), "", listedAt);
  }

  private void storeWasSilent() {
    fleet.noteStoreSilent(clock.currentTime(TimeUnit.NANOSECONDS), BEFORE);
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
    fleet.noteStoreSilent(begunAt, BEFORE);
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
}
