package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.entry.ModelProfile;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;
import org.vaneworks.tests.placement.Models;

/**
 * Tests path changes of many streams that lose the same engine at once, while the first engine has
 * not answered any of the orders yet.
 */
final class SimultaneousPathChangesTest {
  private static final int STREAMS = 20;

  /** A request of the fixture has 1000 tokens. */
  private static final double TOKEN_LAYERS = 1000 * 20;

  /** The share of an engine's memory that the planner fills. */
  private static final double MEMORY_SHARE = 1.0;

  private final ForwardingFixture node = new ForwardingFixture();
  private final FleetEndpoint lost = node.engine(2, 60, 80);

  SimultaneousPathChangesTest() {
    node.engine(1, 0, 20);
    node.engine(5, 20, 40);
    node.engine(6, 40, 60);
  }

  private TrackedEndpoint tracked(FleetEndpoint engine) {
    return node.fleet.find(ForwardingFixture.MODEL, engine.address()).orElseThrow();
  }

  /** Registers an engine for the lost layers whose memory has room for a number of requests. */
  private FleetEndpoint replacement(int number, int requests) {
    FleetEndpoint engine = node.engine(number, 60, 80);
    ModelProfile model = Models.eightyLayers();
    double capacity = model.tokenLayerCapacity(model.accelerator("large").orElseThrow(), 20);
    tracked(engine).setPeerLoad(0, MEMORY_SHARE * capacity - (requests + 0.5) * TOKEN_LAYERS, 1);
    return engine;
  }

  private List<String> startStreams(int count, String key) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      node.request("/stream/x", Optional.of(key));
      SentAttempt sent = node.lastAttempt();
      sent.head(200);
      sent.event(1);
      ids.add(sent.attempt.request().id());
    }
    return ids;
  }

  private void loseEngine() {
    node.control.withholdsRepathOutcomes = true;
    node.control.refusing.add(lost.address());
    for (int i = 0; i < 20 && node.control.repathedPaths.isEmpty(); i++) {
      node.advance(50);
    }
    assertTrue(!node.control.repathedPaths.isEmpty(), "no path change");
  }

  private long changesVia(FleetEndpoint engine) {
    return node.control.repathedPaths.stream()
        .filter(path -> path.contains(engine.address().toString()))
        .count();
  }

  private void answerAll(RepathOutcome outcome) {
    ImmutableList<CompletableFuture<RepathOutcome>> withheld =
        ImmutableList.copyOf(node.control.withheldOutcomes);
    node.control.withheldOutcomes.clear();
    withheld.forEach(future -> future.complete(outcome));
    node.advance(1);
  }

  private static RepathOutcome obstacle(FleetEndpoint engine) {
    return new RepathOutcome(RepathOutcome.Kind.OBSTACLE, Optional.of(engine.address()));
  }

  // Guards against streams that all choose the cheapest replacement, which has room for a part of
  // them and refuses the others.
  @Test
  void streamsAreSpreadOverReplacementsByTheirRoom() {
    startStreams(STREAMS, ForwardingFixture.KEY);
    FleetEndpoint one = replacement(3, 10);
    FleetEndpoint other = replacement(4, 10);
    loseEngine();
    assertEquals(10, changesVia(one));
    assertEquals(10, changesVia(other));
  }

  // Guards against less urgent streams that take the room of a replacement because they are older.
  @Test
  void mostUrgentStreamsChooseFirst() {
    startStreams(STREAMS / 2, ForwardingFixture.PATIENT_KEY);
    List<String> urgent = startStreams(STREAMS / 2, ForwardingFixture.KEY);
    replacement(3, STREAMS / 2);
    loseEngine();
    assertEquals(urgent, node.control.repathedRequests);
  }

  // Guards against reservations that remain at an engine after its path change was refused.
  @Test
  void reservationEndsWithTheOutcome() {
    startStreams(STREAMS, ForwardingFixture.KEY);
    FleetEndpoint refusing = replacement(3, STREAMS);
    loseEngine();
    assertEquals(STREAMS, tracked(refusing).inFlight());
    answerAll(obstacle(refusing));
    assertEquals(0, tracked(refusing).inFlight());
    assertEquals(0, tracked(refusing).reservedTokenLayers());
    node.advance(1000);
    FleetEndpoint accepting = replacement(4, STREAMS);
    node.advance(1000);
    answerAll(new RepathOutcome(RepathOutcome.Kind.ACCEPTED, Optional.empty()));
    assertEquals(changesVia(accepting), tracked(accepting).inFlight());
    assertTrue(tracked(accepting).inFlight() > 0);
  }

  // Guards against an engine that is full and asked again by all streams every 200 ms. It counts as
  // full for all requests, and for longer while it refuses on.
  @Test
  void obstacleIsAvoidedLongerWhileItRefusesOn() {
    startStreams(STREAMS, ForwardingFixture.KEY);
    // As far as this node knows, it has room even if more is used than the node knows of.
    FleetEndpoint full = replacement(3, 4 * STREAMS);
    loseEngine();
    node.control.withholdsRepathOutcomes = false;
    node.control.repathOutcome = obstacle(full);
    answerAll(obstacle(full));
    assertFalse(tracked(full).usable(node.now() + 190_000_000));
    int ordered = node.control.repathedPaths.size();
    for (int i = 0; i < 100 && node.control.repathedPaths.size() == ordered; i++) {
      node.advance(10);
    }
    assertEquals(ordered + 1, node.control.repathedPaths.size(), "path changes after 200 ms");
    assertFalse(tracked(full).usable(node.now() + 350_000_000));
  }

  // Guards against path changes that are ordered again at once after each refusal: 16 to 96 a
  // second were refused by OBSTACLE. Twenty streams lose an engine, and its replacement refuses.
  @Test
  void refusedPathChangesAreNotRepeatedAtOnce() {
    startStreams(STREAMS, ForwardingFixture.KEY);
    FleetEndpoint full = replacement(3, STREAMS);
    FleetEndpoint alsoFull = replacement(4, STREAMS);
    loseEngine();
    int ordered = node.control.repathedPaths.size();
    for (CompletableFuture<RepathOutcome> outcome :
        ImmutableList.copyOf(node.control.withheldOutcomes)) {
      int index = node.control.withheldOutcomes.indexOf(outcome);
      String path = node.control.repathedPaths.get(index);
      boolean viaFull = path.contains(full.address().toString());
      outcome.complete(obstacle(viaFull ? full : alsoFull));
    }
    node.advance(1);
    assertEquals(ordered, node.control.repathedPaths.size(), "path changes at once");
  }
}
