package org.vaneworks.tests.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.coordination.quarantine.Quarantine;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests when a request is quarantined, and for how long. */
final class QuarantineTest {
  private static final RequestContent CONTENT = content("letter");

  private final PausedExecutor clock = PausedExecutor.create();
  private final Quarantine quarantine =
      Quarantine.create(clock, Counters.in(new SimpleMeterRegistry()));

  private static RequestContent content(String body) {
    return RequestContent.of(
        Optional.of("scheme"), "POST", "host.example", "/letters/", body.getBytes(UTF_8));
  }

  private boolean recordCrash(RequestContent content, String incarnationId) {
    return quarantine
        .recordCrashes(List.of(new EndpointCrash(content, incarnationId)))
        .contains(content);
  }

  private void quarantineContent() {
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e2");
    recordCrash(CONTENT, "e3");
  }

  @Test
  void twoCrashesDoNotQuarantine() {
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e2");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void thirdCrashQuarantines() {
    List<RequestTrait> notified = new ArrayList<>();
    quarantine.onQuarantined(notified::add);
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e2");
    assertTrue(recordCrash(CONTENT, "e3"));
    assertTrue(quarantine.isQuarantined(CONTENT));
    assertEquals(List.of(CONTENT), notified);
  }

  @Test
  void crashReportedThreeTimesCountsOnce() {
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e1");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void otherContentsAreNotQuarantined() {
    quarantineContent();
    assertFalse(quarantine.isQuarantined(content("another letter")));
  }

  @Test
  void answerBetweenCrashesClears() {
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e2");
    quarantine.recordAnswer(CONTENT);
    recordCrash(CONTENT, "e3");
    assertFalse(quarantine.isQuarantined(CONTENT));
    assertFalse(quarantine.isEmpty());
  }

  @Test
  void quarantineExpiresAfterTenMinutesAndResumesAtTheNextCrash() {
    quarantineContent();
    clock.advance(Quarantine.QUARANTINE_DURATION);
    assertFalse(quarantine.isQuarantined(CONTENT));
    assertTrue(recordCrash(CONTENT, "e4"));
    assertTrue(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void crashesFarApartDoNotQuarantine() {
    recordCrash(CONTENT, "e1");
    recordCrash(CONTENT, "e2");
    clock.advance(Duration.ofMinutes(11));
    recordCrash(CONTENT, "e3");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void suspectsAreBoundedAndQuarantinedContentsStay() {
    quarantineContent();
    for (int i = 0; i < 2 * Quarantine.MAX_SUSPECTS; i++) {
      recordCrash(content("letter " + i), "e4");
    }
    assertTrue(quarantine.size() <= Quarantine.MAX_SUSPECTS);
    assertTrue(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void remainingIsTheTimeUntilTheContentMayRunAgain() {
    assertEquals(Duration.ZERO, quarantine.remaining(CONTENT));
    quarantineContent();
    clock.advance(Duration.ofMinutes(4));
    assertEquals(Duration.ofMinutes(6), quarantine.remaining(CONTENT));
  }
}
