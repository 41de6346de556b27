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
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Checks when a request is held back, and for how long. */
final class QuarantineTest {
  private static final RequestContent CONTENT = content("letter");

  private final PausedExecutor clock = PausedExecutor.create();
  private final Quarantine quarantine =
      Quarantine.create(clock, Counters.in(new SimpleMeterRegistry()));

  private static RequestContent content(String body) {
    return RequestContent.of(
        Optional.of("scheme"), "POST", "host.example", "/letters/", body.getBytes(UTF_8));
  }

  private boolean endUnder(RequestContent content, String run) {
    return quarantine.recordCrash(new EndpointCrash(content, run));
  }

  private void hold() {
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e2");
    endUnder(CONTENT, "e3");
  }

  @Test
  void twoEndsHoldNothingBack() {
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e2");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void thirdEndHoldsBack() {
    List<RequestContent> told = new ArrayList<>();
    quarantine.onQuarantined(told::add);
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e2");
    assertTrue(endUnder(CONTENT, "e3"));
    assertTrue(quarantine.isQuarantined(CONTENT));
    assertEquals(List.of(CONTENT), told);
  }

  @Test
  void oneEndThatIsToldThriceCountsOnce() {
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e1");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void otherContentsAreNotHeldBack() {
    hold();
    assertFalse(quarantine.isQuarantined(content("another letter")));
  }

  @Test
  void answerInBetweenClears() {
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e2");
    quarantine.recordAnswer(CONTENT);
    endUnder(CONTENT, "e3");
    assertFalse(quarantine.isQuarantined(CONTENT));
    assertFalse(quarantine.isEmpty());
  }

  @Test
  void contentMayRunAgainAfterTenMinutesAndIsHeldBackAtTheNextEnd() {
    hold();
    clock.advance(Quarantine.HELD_FOR);
    assertFalse(quarantine.isQuarantined(CONTENT));
    assertTrue(endUnder(CONTENT, "e4"));
    assertTrue(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void endsFarApartAreTakenForChance() {
    endUnder(CONTENT, "e1");
    endUnder(CONTENT, "e2");
    clock.advance(Duration.ofMinutes(11));
    endUnder(CONTENT, "e3");
    assertFalse(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void suspectsAreBoundedAndWhatIsHeldBackStays() {
    hold();
    for (int i = 0; i < 2 * Quarantine.MOST_SUSPECTS; i++) {
      endUnder(content("letter " + i), "e4");
    }
    assertTrue(quarantine.size() <= Quarantine.MOST_SUSPECTS);
    assertTrue(quarantine.isQuarantined(CONTENT));
  }

  @Test
  void remainingTimeIsThatUntilTheContentMayRunAgain() {
    assertEquals(Duration.ZERO, quarantine.remaining(CONTENT));
    hold();
    clock.advance(Duration.ofMinutes(4));
    assertEquals(Duration.ofMinutes(6), quarantine.remaining(CONTENT));
  }
}
