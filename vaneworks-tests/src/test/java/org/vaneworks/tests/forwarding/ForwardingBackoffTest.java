package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.Reason;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.state.Verdict;

/** Checks where requests go while endpoints want no calls from this node. */
final class ForwardingBackoffTest {
  private static final Duration BACKOFF = Duration.ofSeconds(3);

  private final ForwardingFixture node = new ForwardingFixture();

  /** Says so on an answer to a question, which is no request. */
  private void wantsNoCalls(FleetEndpoint endpoint, Duration length) {
    node.fleet
        .statements()
        .answeredCall(endpoint, EndpointSignal.NONE.withBackoff(RequestedBackoff.of(length)));
  }

  private void turnAway(Duration length) {
    node.last().listener.head(Head.turnedAway(RequestedBackoff.of(length)));
  }

  private void askForSeconds(int seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      node.ask("/safe/x");
      node.last().head(200);
      node.last().listener.end();
      node.advance(100);
    }
  }

  private long sentTo(FleetEndpoint endpoint) {
    return node.sent.stream()
        .filter(sent -> sent.attempt.endpoint().id().equals(endpoint.id()))
        .count();
  }

  @Test
  void plainEndpointGetsNoRequestsUntilItsTimeIsOver() {
    FleetEndpoint full = node.replica(1);
    node.ask("/safe/x");
    turnAway(BACKOFF);
    node.replica(2);
    askForSeconds(2);
    assertEquals(1, sentTo(full));
    askForSeconds(3);
    assertTrue(sentTo(full) > 1);
  }

  @Test
  void requestWaitsForTheEndOfATimeThatItsCallerHas() {
    FleetEndpoint only = node.replica(1);
    wantsNoCalls(only, Duration.ofMillis(300));
    Got got = node.ask("/safe/x");
    node.advance(350);
    assertEquals(1, sentTo(only));
    assertFalse(got.refusal.isPresent());
  }

  @Test
  void requestIsRefusedAtOnceIfTheTimeIsLongerThanItsCallerHas() {
    wantsNoCalls(node.replica(1), BACKOFF);
    Got got = node.ask("/safe/x");
    assertEquals(Reason.NO_ENDPOINT, got.refusal.orElseThrow().reason());
    assertEquals(Verdict.NOT_RUN, got.refusal.get().verdict());
    assertEquals(0, node.sent.size());
  }

  /** Guards against callers that are asked back only to be refused again. */
  @Test
  void callerIsAskedBackOnceTheFirstEndpointTakesRequestsAgain() {
    wantsNoCalls(node.replica(1), Duration.ofSeconds(9));
    wantsNoCalls(node.replica(2), BACKOFF);
    Duration comeBack = node.ask("/safe/x").refusal.orElseThrow().retryAfter().orElseThrow();
    assertTrue(comeBack.compareTo(BACKOFF) >= 0, comeBack.toString());
    assertTrue(comeBack.compareTo(BACKOFF.multipliedBy(2)) < 0, comeBack.toString());
  }

  @Test
  void callersAreNotAskedBackAllAtOnce() {
    wantsNoCalls(node.replica(1), BACKOFF);
    long different =
        IntStream.range(0, 10)
            .mapToObj(i -> node.ask("/safe/x").refusal.orElseThrow().retryAfter())
            .collect(Collectors.toSet())
            .size();
    assertTrue(different >= 9, different + " times");
  }

  @Test
  void requestDoesNotPassAnEngineThatWantsNoCallsAsALaterPart() {
    node.engine(1, 0, 40);
    FleetEndpoint full = node.engine(2, 40, 80);
    node.engine(3, 40, 80);
    wantsNoCalls(full, BACKOFF);
    for (int i = 0; i < 20; i++) {
      node.ask("/stream/x");
      String path = node.last().attempt.path().orElseThrow();
      assertFalse(path.contains(full.address().toString()), path);
    }
  }

  @Test
  void shorterTimeThatIsAskedLaterDoesNotEndALongerOne() {
    FleetEndpoint only = node.replica(1);
    wantsNoCalls(only, BACKOFF);
    wantsNoCalls(only, Duration.ofMillis(10));
    node.advance(1000);
    node.ask("/safe/x");
    assertEquals(0, node.sent.size());
  }

  @Test
  void timeThatCannotBeReadHoldsNothingBackForLong() {
    FleetEndpoint only = node.replica(1);
    node.ask("/safe/x");
    node.last().listener.head(Head.turnedAway(RequestedBackoff.unreadable()));
    node.advance(250);
    node.ask("/safe/x");
    assertTrue(sentTo(only) >= 2);
  }

  @Test
  void answerOfAnotherEndpointInItsPlaceAsksForNothing() {
    FleetEndpoint only = node.replica(1);
    node.ask("/safe/x");
    EndpointSignal said = EndpointSignal.NONE.withBackoff(RequestedBackoff.of(BACKOFF));
    node.last().listener.head(new Head(421, true, true, Optional.empty(), said));
    node.advance(900);
    node.ask("/safe/x");
    assertTrue(sentTo(only) >= 2);
  }

  @Test
  void laterRunOfAnEndpointThatLeftTakesRequests() {
    FleetEndpoint only = node.replica(1);
    node.fleet.statements().answeredCall(only, EndpointSignal.NONE.asLeaving());
    node.startsAgain(only);
    node.ask("/safe/x");
    assertEquals(1, node.sent.size());
  }

  @Test
  void laterRunOfAnEndpointAsksForNothingOfWhatTheFormerDid() {
    FleetEndpoint only = node.replica(1);
    wantsNoCalls(only, BACKOFF);
    node.startsAgain(only);
    node.ask("/safe/x");
    assertEquals(1, node.sent.size());
  }

  /** Begins streams over the first and the second engine, and loses the second. */
  private void loseTheSecondEngineUnder(int streams) {
    FleetEndpoint first = node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    for (int i = 0; i < streams; i++) {
      node.ask("/stream/x");
      node.last().head(200);
      node.last().event(1);
    }
    node.engine(3, 0, 40);
    node.engine(4, 40, 80);
    wantsNoCalls(first, Duration.ofSeconds(10));
    node.fleet.suspect(node.fleet.at(ForwardingFixture.MODEL, second.address()).get(), "silent");
    node.advance(1000);
  }

  @Test
  void engineThatWantsNoCallsGetsOneOrderForAnotherPathAtMost() {
    loseTheSecondEngineUnder(3);
    assertTrue(node.control.repaths.size() <= 1, node.control.repaths.toString());
  }

  @Test
  void streamThatGetsNoOtherPathThereGoesOnAtAnotherEngine() {
    loseTheSecondEngineUnder(3);
    long elsewhere =
        node.sent.stream()
            .filter(sent -> sent.attempt.endpoint().id().equals("e3"))
            .filter(sent -> sent.attempt.resumeAfter().isPresent())
            .count();
    assertEquals(2, elsewhere);
  }
}
