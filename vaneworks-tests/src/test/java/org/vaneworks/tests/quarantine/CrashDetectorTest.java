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

/** Tests which crashes {@link CrashDetector} attributes to which requests. */
final class CrashDetectorTest {
  private static final RequestContent CONTENT =
      RequestContent.of(Optional.empty(), "POST", "host.example", "/letters/", new byte[] {1});
  private static final Duration SHORT_RUN_TIME = Duration.ofMillis(80);

  private final PausedExecutor clock = PausedExecutor.create();
  private final Fleet fleet =
      Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofSeconds(3));
  private final List<EndpointCrash> crashes = new ArrayList<>();
  private final CrashDetector detector = CrashDetector.watch(clock, fleet, crashes::addAll);
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

  private void assertCrashAttributed() {
    assertEquals(List.of(new EndpointCrash(CONTENT, "e1@1000")), crashes);
  }

  @Test
  void brokenConnectionAloneIsNoCrash() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    clock.advance(Duration.ofSeconds(30));
    assertEquals(List.of(), crashes);
  }

  @Test
  void refusedConnectionAfterABrokenOneProvesACrash() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    fleet.recordConnectionRefused(endpoint);
    assertCrashAttributed();
  }

  @Test
  void requestLostAfterTheCrashIsKnownIsSuspectedToo() {
    fleet.recordConnectionRefused(endpoint);
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    assertCrashAttributed();
  }

  @Test
  void laterIncarnationProvesACrashOfTheFormer() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    list(2000);
    assertCrashAttributed();
  }

  @Test
  void endpointThatStopsListingItselfHasCrashed() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    clock.advance(Duration.ofSeconds(4));
    fleet.remove("e1");
    assertCrashAttributed();
  }

  @Test
  void endpointThatAnnouncedItsLeavingHasNotCrashed() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    fleet.put(leaving(endpoint.endpoint()));
    fleet.remove("e1");
    assertEquals(List.of(), crashes);
  }

  @Test
  void requestThatRanForLongerIsNotSuspected() {
    detector.recordLoss(
        endpoint, RequestStart.of(CONTENT), CrashDetector.MAX_REQUEST_AGE.plusMillis(1));
    fleet.recordConnectionRefused(endpoint);
    assertEquals(List.of(), crashes);
  }

  @Test
  void refusedConnectionLongAfterABrokenOneProvesNoCrash() {
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    clock.advance(Duration.ofSeconds(8));
    fleet.recordConnectionRefused(endpoint);
    assertEquals(List.of(), crashes);
  }

  @Test
  void endpointThatAnswersAgainMayCrashAgain() {
    fleet.suspect(endpoint, "test");
    fleet.recordConnectionRefused(endpoint);
    fleet.clearSuspicion(endpoint);
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    assertEquals(List.of(), crashes);
    fleet.recordConnectionRefused(endpoint);
    assertCrashAttributed();
  }

  @Test
  void answerDiscardsLossesOfItsContentOnly() {
    RequestContent other =
        RequestContent.of(Optional.empty(), "POST", "host.example", "/letters/", new byte[] {2});
    detector.recordLoss(endpoint, RequestStart.of(other), SHORT_RUN_TIME);
    detector.recordLoss(endpoint, RequestStart.of(CONTENT), SHORT_RUN_TIME);
    detector.recordAnswer(other);
    fleet.recordConnectionRefused(endpoint);
    assertCrashAttributed();
  }
}
