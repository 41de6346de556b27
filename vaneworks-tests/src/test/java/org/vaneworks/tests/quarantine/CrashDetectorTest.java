package org.vaneworks.tests.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.CrashDetector;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.coordination.quarantine.RequestStart;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks which losses of an endpoint are put down to which requests. */
final class CrashDetectorTest {
  private static final RequestContent CONTENT =
      RequestContent.of(Optional.empty(), "POST", "host.example", "/letters/", new byte[] {1});
  private static final Duration JUST_NOW = Duration.ofMillis(80);

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofSeconds(3));
  private final List<EndpointCrash> ends = new ArrayList<>();
  private final CrashDetector ended = CrashDetector.watch(clock, fleet, ends::add);
  private final TrackedEndpoint endpoint = list(1000);

  private TrackedEndpoint list(long startedAt) {
    fleet.put(
        new FleetEndpoint(
            "e1",
            "writer",
            new HostPort("10.0.0.1", 80),
            "dc1",
            6,
            false,
            Optional.empty(),
            "",
            StorePosition.START,
            Incarnation.startedAt(startedAt)));
    return fleet.all().get(0);
  }

  private static FleetEndpoint leaving(FleetEndpoint endpoint) {
    return new FleetEndpoint(
        endpoint.id(),
        endpoint.service(),
        endpoint.address(),
        endpoint.dataCentre(),
        endpoint.slots(),
        true,
        endpoint.layers(),
        endpoint.accelerator(),
        endpoint.listedAt(),
        endpoint.incarnation());
  }

  private void assertPutDown() {
    assertEquals(List.of(new EndpointCrash(CONTENT, "e1@1000")), ends);
  }

  @Test
  void brokenConnectionAloneShowsNoEnd() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    clock.advance(Duration.ofSeconds(30));
    assertEquals(List.of(), ends);
  }

  @Test
  void refusedConnectionAfterABrokenOneShowsTheEnd() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    fleet.noteNobodyListens(endpoint);
    assertPutDown();
  }

  @Test
  void requestThatIsLostAfterTheEndIsKnownIsSuspectedToo() {
    fleet.noteNobodyListens(endpoint);
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    assertPutDown();
  }

  @Test
  void laterRunShowsTheEndOfTheFormer() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    list(2000);
    assertPutDown();
  }

  @Test
  void endpointThatStopsListingItselfHasEnded() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    clock.advance(Duration.ofSeconds(4));
    fleet.remove("e1");
    assertPutDown();
  }

  @Test
  void endpointThatAnnouncedItsLeavingIsNotPutDownToARequest() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    fleet.put(leaving(endpoint.endpoint()));
    fleet.remove("e1");
    assertEquals(List.of(), ends);
  }

  @Test
  void requestThatHadRunForLongerIsNotSuspected() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), CrashDetector.JUST_BEGUN.plusMillis(1));
    fleet.noteNobodyListens(endpoint);
    assertEquals(List.of(), ends);
  }

  @Test
  void refusalLongAfterABrokenConnectionSaysNothingOfIt() {
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    clock.advance(Duration.ofSeconds(8));
    fleet.noteNobodyListens(endpoint);
    assertEquals(List.of(), ends);
  }

  @Test
  void endpointThatAnswersAgainMayEndAgain() {
    fleet.suspect(endpoint, "test");
    fleet.noteNobodyListens(endpoint);
    fleet.clear(endpoint);
    ended.recordLoss(endpoint, RequestStart.of(CONTENT), JUST_NOW);
    assertEquals(List.of(), ends);
    fleet.noteNobodyListens(endpoint);
    assertPutDown();
  }
}
