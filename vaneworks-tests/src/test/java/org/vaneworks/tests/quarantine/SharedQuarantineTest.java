package org.vaneworks.tests.quarantine;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.quarantine.EndpointCrash;
import org.vaneworks.coordination.quarantine.Quarantine;
import org.vaneworks.coordination.quarantine.RequestStart;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.PrefixRouter;
import org.vaneworks.coordination.shared.SuspensionDetector;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;
import org.vaneworks.tests.shared.InMemorySharedStore;
import org.vaneworks.tests.shared.StoreLink;

/** Tests what nodes learn of crashes from the store, above all those that start after crashes. */
final class SharedQuarantineTest {
  private static final String PREFIX = "quarantine/";
  private static final PromptPart POPULAR = PromptPart.of("writer", "f0");
  private static final PromptPart BAD = PromptPart.of("writer", "0d");

  private final PausedExecutor clock = PausedExecutor.create();
  private final InMemorySharedStore store = new InMemorySharedStore(clock);
  private int contents;
  private int crashes;

  /** A node's quarantine, which follows the store. */
  private final class Node {
    private final Counters counters = Counters.in(new SimpleMeterRegistry());
    private final StoreLink link = new StoreLink(clock, store);
    private final Fleet fleet = Fleet.create(clock, counters, Duration.ofSeconds(3));
    private final SharedQuarantine shared;
    private final PrefixFollower follower;

    Node(String id) {
      shared = SharedQuarantine.create(clock, new Random(7), link, PREFIX, id, fleet, counters);
      follower =
          PrefixFollower.create(
              clock,
              new Random(8),
              link,
              counters,
              "",
              () -> Duration.ofMillis(1250),
              () -> Duration.ofMillis(500),
              PrefixRouter.of(ImmutableMap.of(PREFIX, shared)),
              SuspensionDetector.create(clock, () -> clock.currentTime(MILLISECONDS), counters));
      follower.start();
      clock.advance(Duration.ofMillis(100));
    }

    Quarantine quarantine() {
      return shared.quarantine();
    }

    /** Loses an endpoint that had just begun a request with the given parts. */
    void loseEndpoint(PromptPart... parts) {
      String id = "own" + crashes++;
      fleet.put(
          new FleetEndpoint(
              id,
              "writer",
              new HostPort("10.0.0.1", 80),
              "dc1",
              6,
              false,
              Optional.empty(),
              "",
              StorePosition.START,
              Incarnation.startedAt(1000)));
      var endpoint =
          fleet.all().stream()
              .filter(each -> each.endpoint().id().equals(id))
              .findFirst()
              .orElseThrow();
      shared
          .crashDetector()
          .recordLoss(
              endpoint,
              RequestStart.of(nextContent(), ImmutableList.copyOf(parts)),
              Duration.ofMillis(80));
      fleet.recordConnectionRefused(endpoint);
    }

    void stop() {
      follower.stop();
    }
  }

  private RequestContent nextContent() {
    return RequestContent.of(
        Optional.empty(), "POST", "host.example", "/letters/", new byte[] {(byte) contents++});
  }

  /** Writes the crash of an endpoint that had begun one request for each list of parts. */
  @SafeVarargs
  private void reportCrash(List<PromptPart>... requests) {
    String incarnation = "other" + crashes++;
    ImmutableList.Builder<EndpointCrash> reported = ImmutableList.builder();
    for (List<PromptPart> parts : requests) {
      reported.add(new EndpointCrash(nextContent(), ImmutableList.copyOf(parts), incarnation));
    }
    store.put(PREFIX + "ends/n0/" + crashes, EndpointCrash.write(reported.build()));
  }

  private void reportCrashes(int number) {
    for (int i = 0; i < number; i++) {
      reportCrash(List.of(POPULAR), List.of(POPULAR, BAD), List.of(POPULAR));
    }
  }

  private boolean isQuarantinedInStore(RequestTrait trait) {
    return store.has(PREFIX + "held/" + trait);
  }

  private boolean becomesTrue(BooleanSupplier condition) {
    for (int i = 0; i < 100 && !condition.getAsBoolean(); i++) {
      clock.advance(Duration.ofMillis(100));
    }
    return condition.getAsBoolean();
  }

  /** Guards against decisions on each step of reading the crashes of the time before a start. */
  @Test
  void crashesBeforeTheStartOfNodeQuarantineNothing() {
    reportCrashes(15);
    Node node = new Node("n1");
    clock.advance(Duration.ofSeconds(10));
    assertFalse(node.quarantine().isQuarantined(POPULAR));
    assertFalse(node.quarantine().isQuarantined(BAD));
    assertFalse(isQuarantinedInStore(POPULAR));
    assertFalse(isQuarantinedInStore(BAD));
  }

  /** Guards against a node that starts and takes what others quarantined for explained. */
  @Test
  void quarantineBeforeTheStartOfNodeIsAdoptedAndExplainsItsCrashes() {
    reportCrashes(4);
    store.put(PREFIX + "held/" + BAD, "");
    Node node = new Node("n1");
    assertTrue(node.quarantine().isQuarantined(BAD));
    reportCrashes(4);
    clock.advance(Duration.ofSeconds(10));
    assertTrue(node.quarantine().isQuarantined(BAD));
    assertFalse(node.quarantine().isQuarantined(POPULAR));
    assertFalse(isQuarantinedInStore(POPULAR));
  }

  /** Guards against a fleet that has started anew and takes more than one crash to decide. */
  @Test
  void oneMoreCrashAfterTheStartOfTheOnlyNodeQuarantinesThePart() {
    reportCrash(List.of(BAD));
    reportCrash(List.of(BAD));
    reportCrash(List.of(BAD));
    Node node = new Node("n1");
    assertTrue(node.quarantine().isOneCrashFromQuarantine(BAD));
    node.loseEndpoint(BAD);
    assertTrue(node.quarantine().isQuarantined(BAD));
    assertTrue(becomesTrue(() -> isQuarantinedInStore(BAD)));
  }

  /** Guards against knowledge of sound parts that only nodes have which have ended since. */
  @Test
  void nodeThatStartsKnowsWhichPartsRanAtNodesThatWroteCrashes() {
    Node writer = new Node("n1");
    writer.quarantine().recordSurvival(ImmutableList.of(POPULAR));
    clock.advance(Duration.ofMillis(10));
    writer.loseEndpoint(POPULAR, BAD);
    writer.loseEndpoint(POPULAR, BAD);
    clock.advance(Duration.ofSeconds(1));
    writer.stop();
    Node node = new Node("n2");
    node.loseEndpoint(POPULAR, BAD);
    assertTrue(node.quarantine().isQuarantined(BAD));
    assertFalse(node.quarantine().isQuarantined(POPULAR));
    clock.advance(Duration.ofSeconds(5));
    assertTrue(isQuarantinedInStore(BAD));
    assertFalse(isQuarantinedInStore(POPULAR));
  }

  /** Guards against a write of popular parts at each of many crashes. */
  @Test
  void survivalsAreToldOnceForManyCrashes() {
    Node node = new Node("n1");
    node.quarantine().recordSurvival(ImmutableList.of(POPULAR));
    for (int i = 0; i < 10; i++) {
      node.loseEndpoint(POPULAR, BAD);
      clock.advance(Duration.ofSeconds(3));
    }
    assertEquals(1, store.keys().stream().filter(key -> key.startsWith(PREFIX + "sound/")).count());
  }

  /** Guards against one crash that counts as three, as another node quarantined the part. */
  @Test
  void partThatAnotherNodeReleasedIsNotQuarantinedAtTheNextCrash() {
    Node node = new Node("n1");
    store.put(PREFIX + "held/" + POPULAR, "");
    assertTrue(becomesTrue(() -> node.quarantine().isQuarantined(POPULAR)));
    store.remove(PREFIX + "held/" + POPULAR);
    assertTrue(becomesTrue(() -> !node.quarantine().isQuarantined(POPULAR)));
    node.loseEndpoint(POPULAR);
    assertFalse(node.quarantine().isQuarantined(POPULAR));
  }

  /** Guards against decisions on a part of the changes that were read with one response. */
  @Test
  void crashesAndQuarantineThatAreReadTogetherAreJudgedTogether() {
    Node node = new Node("n1");
    // The changes are read with one response, after the pause of the node.
    reportCrashes(3);
    store.put(PREFIX + "held/" + BAD, "");
    assertTrue(becomesTrue(() -> node.quarantine().isQuarantined(BAD)));
    clock.advance(Duration.ofSeconds(10));
    assertTrue(node.quarantine().isQuarantined(BAD));
    assertFalse(node.quarantine().isQuarantined(POPULAR));
    assertFalse(isQuarantinedInStore(POPULAR));
  }
}
