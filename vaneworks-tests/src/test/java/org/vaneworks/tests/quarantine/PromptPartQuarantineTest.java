package org.vaneworks.tests.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.coordination.quarantine.Quarantine;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/** Tests when the parts of prompts are quarantined that crashing requests share. */
final class PromptPartQuarantineTest {
  private static final PromptPart FIRST = part("a1");
  private static final PromptPart MIDDLE = part("b1");
  private static final PromptPart BAD = part("dead");

  private final PausedExecutor clock = PausedExecutor.create();
  private final Quarantine quarantine =
      Quarantine.create(clock, Counters.in(new SimpleMeterRegistry()));
  private int crashes;
  private int contents;

  private static PromptPart part(String id) {
    return PromptPart.of("writer", id);
  }

  private static RequestContent content(String body) {
    return RequestContent.of(
        Optional.of("scheme"), "POST", "host.example", "/letters/", body.getBytes(UTF_8));
  }

  private RequestContent nextContent() {
    return content("letter " + contents++);
  }

  /** Crashes an endpoint that has just begun new contents with the given parts each. */
  @SafeVarargs
  private ImmutableList<RequestTrait> crash(List<PromptPart>... parts) {
    List<EndpointCrash> lost = new ArrayList<>();
    for (List<PromptPart> each : parts) {
      lost.add(new EndpointCrash(nextContent(), ImmutableList.copyOf(each), "e" + crashes));
    }
    crashes++;
    return quarantine.recordCrashes(lost);
  }

  private void crashRepeatedly(int times, PromptPart... parts) {
    for (int i = 0; i < times; i++) {
      crash(List.of(parts));
    }
  }

  @Test
  void thirdCrashUnderDifferentRequestsQuarantinesTheirCommonPart() {
    crash(List.of(FIRST, BAD));
    crash(List.of(MIDDLE, BAD));
    assertTrue(quarantine.isOneCrashFromQuarantine(BAD));
    assertEquals(List.of(BAD), crash(List.of(FIRST, BAD)));
    assertTrue(quarantine.isQuarantined(BAD));
    assertFalse(quarantine.isQuarantined(FIRST));
    assertFalse(quarantine.isQuarantined(MIDDLE));
  }

  /** Guards against the quarantine of what a single crashing request shares with others. */
  @Test
  void crashesUnderOneContentDoNotQuarantineItsParts() {
    RequestContent content = nextContent();
    for (int i = 0; i < 10; i++) {
      quarantine.recordCrashes(
          List.of(new EndpointCrash(content, ImmutableList.of(FIRST), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(content));
    assertFalse(quarantine.isQuarantined(FIRST));
  }

  /** Guards against the quarantine of sound requests that were lost with crashing ones. */
  @Test
  void partWithWhichRequestsRanIsNotQuarantinedWithTheCrashingOne() {
    quarantine.recordSurvival(ImmutableList.of(FIRST, MIDDLE));
    for (int i = 0; i < 20; i++) {
      crash(List.of(FIRST, MIDDLE, BAD), List.of(FIRST, MIDDLE), List.of(FIRST, MIDDLE));
    }
    assertTrue(quarantine.isQuarantined(BAD));
    assertFalse(quarantine.isQuarantined(FIRST));
    assertFalse(quarantine.isQuarantined(MIDDLE));
  }

  @Test
  void contentsThatWereLostUnderQuarantinedPartAreReleased() {
    RequestContent sound = nextContent();
    for (int i = 0; i < 3; i++) {
      quarantine.recordCrashes(List.of(new EndpointCrash(sound, ImmutableList.of(), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(sound));
    // At the last three crashes only the part was present.
    for (int i = 0; i < 6; i++) {
      quarantine.recordCrashes(
          List.of(new EndpointCrash(nextContent(), ImmutableList.of(BAD), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(BAD));
    assertFalse(quarantine.isQuarantined(sound));
  }

  @Test
  void partThatWasLostByChanceIsReleasedOnceAnotherExplainsItsCrashes() {
    for (int i = 0; i < 3; i++) {
      quarantine.recordCrashes(
          List.of(new EndpointCrash(nextContent(), ImmutableList.of(MIDDLE), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(MIDDLE));
    for (int i = 0; i < 4; i++) {
      quarantine.recordCrashes(
          List.of(new EndpointCrash(nextContent(), ImmutableList.of(BAD), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(BAD));
    assertFalse(quarantine.isQuarantined(MIDDLE));
  }

  @Test
  void partThatIsNoLongerSoundIsQuarantinedAfterMoreCrashes() {
    quarantine.recordSurvival(ImmutableList.of(BAD));
    clock.advance(Duration.ofSeconds(1));
    crashRepeatedly(11, BAD);
    assertFalse(quarantine.isQuarantined(BAD));
    crashRepeatedly(1, BAD);
    assertTrue(quarantine.isQuarantined(BAD));
  }

  @Test
  void crashesBeforeRequestRanDoNotCount() {
    crashRepeatedly(2, FIRST);
    clock.advance(Duration.ofSeconds(1));
    quarantine.recordSurvival(ImmutableList.of(FIRST));
    clock.advance(Duration.ofSeconds(1));
    crashRepeatedly(11, FIRST);
    assertFalse(quarantine.isQuarantined(FIRST));
  }

  @Test
  void bothOfTwoCrashingPartsAreQuarantined() {
    PromptPart other = part("beef");
    for (int i = 0; i < 3; i++) {
      crash(List.of(FIRST, BAD));
      crash(List.of(MIDDLE, other));
    }
    assertTrue(quarantine.isQuarantined(BAD));
    assertTrue(quarantine.isQuarantined(other));
  }

  /**
   * Guards against a content that crashes endpoints again and again, as a part of sound requests
   * that were lost with it is taken for the cause.
   */
  @Test
  void contentAtAllCrashesIsQuarantinedInsteadOfPartsThatWereLostWithIt() {
    RequestContent crashing = nextContent();
    RequestContent other = nextContent();
    RequestContent third = nextContent();
    for (int i = 0; i < 4; i++) {
      quarantine.recordCrashes(
          List.of(
              new EndpointCrash(other, ImmutableList.of(MIDDLE), "e" + i),
              new EndpointCrash(i % 2 == 0 ? third : other, ImmutableList.of(MIDDLE), "e" + i),
              new EndpointCrash(crashing, ImmutableList.of(FIRST), "e" + i)));
    }
    assertTrue(quarantine.isQuarantined(crashing));
    assertFalse(quarantine.isQuarantined(MIDDLE));
  }

  private void crashUnder(RequestContent content, PromptPart part) {
    quarantine.recordCrashes(
        List.of(new EndpointCrash(content, ImmutableList.of(part), "e" + crashes++)));
  }

  /** Guards against a part whose crashes are put down to the first content with it. */
  @Test
  void crashUnderAnotherContentQuarantinesPartOfContentThatCrashedEndpoints() {
    RequestContent crashing = nextContent();
    for (int i = 0; i < 3; i++) {
      crashUnder(crashing, BAD);
    }
    assertTrue(quarantine.isQuarantined(crashing));
    assertFalse(quarantine.isQuarantined(BAD));
    crashUnder(nextContent(), BAD);
    assertTrue(quarantine.isQuarantined(BAD));
  }

  /** Guards against the quarantine of a part that was lost with a content which lacks it. */
  @Test
  void crashUnderAnotherContentDoesNotQuarantinePartThatWasLostWithCrashingOne() {
    RequestContent crashing = nextContent();
    for (int i = 0; i < 3; i++) {
      quarantine.recordCrashes(
          List.of(
              new EndpointCrash(crashing, ImmutableList.of(BAD), "c" + i),
              new EndpointCrash(nextContent(), ImmutableList.of(MIDDLE), "c" + i)));
    }
    crashUnder(nextContent(), MIDDLE);
    assertFalse(quarantine.isQuarantined(MIDDLE));
  }

  /** The same for a second content, after a part was lost with the first one. */
  @Test
  void anotherContentAtAllLaterCrashesIsQuarantinedToo() {
    for (int series = 0; series < 2; series++) {
      RequestContent crashing = nextContent();
      for (int i = 0; i < 4; i++) {
        String incarnationId = "e" + series + "-" + i;
        quarantine.recordCrashes(
            List.of(
                new EndpointCrash(crashing, ImmutableList.of(FIRST), incarnationId),
                new EndpointCrash(nextContent(), ImmutableList.of(MIDDLE), incarnationId)));
        clock.advance(Duration.ofMillis(200));
      }
      assertTrue(quarantine.isQuarantined(crashing));
      assertFalse(quarantine.isQuarantined(MIDDLE));
      clock.advance(Duration.ofSeconds(10));
    }
  }

  @Test
  void partOfTheSameIdAtAnotherServiceIsNotQuarantined() {
    crashRepeatedly(3, BAD);
    assertFalse(quarantine.isQuarantined(PromptPart.of("drafter", BAD.id())));
  }

  @Test
  void quarantineExpiresAfterTenMinutesAndResumesAtTheNextCrash() {
    crashRepeatedly(3, BAD);
    assertEquals(Quarantine.QUARANTINE_DURATION, quarantine.remaining(BAD));
    clock.advance(Quarantine.QUARANTINE_DURATION);
    assertFalse(quarantine.isQuarantined(BAD));
    crashRepeatedly(1, BAD);
    assertTrue(quarantine.isQuarantined(BAD));
  }

  @Test
  void partsOfManyLostRequestsAreBounded() {
    crashRepeatedly(2, BAD);
    for (int i = 0; i < 500; i++) {
      List<EndpointCrash> lost = new ArrayList<>();
      for (int j = 0; j < 50; j++) {
        lost.add(
            new EndpointCrash(
                nextContent(), ImmutableList.of(part(Integer.toHexString(50 * i + j))), "f" + i));
      }
      quarantine.recordCrashes(lost);
    }
    crashRepeatedly(1, BAD);
    assertFalse(quarantine.isQuarantined(BAD));
    crashRepeatedly(2, BAD);
    assertTrue(quarantine.isQuarantined(BAD));
  }

  @Test
  void crashesFarApartDoNotQuarantine() {
    crashRepeatedly(2, BAD);
    clock.advance(Duration.ofMinutes(11));
    crashRepeatedly(2, BAD);
    assertFalse(quarantine.isQuarantined(BAD));
  }
}
