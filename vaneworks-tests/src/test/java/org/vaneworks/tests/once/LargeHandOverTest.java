package org.vaneworks.tests.once;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.Verdict;
import org.vaneworks.testlib.InMemoryFleet;
import org.vaneworks.testlib.ServiceCore;

/** Tests the hand-over of records whose answers together exceed one message between nodes. */
final class LargeHandOverTest {
  private static final int LAYERS = 12;
  private static final long SEED = 20261212;
  private static final int REQUESTS = 100;
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  private final InMemoryFleet fleet = InMemoryFleet.create(LAYERS, SEED);

  // Guards against losing all records of a stopping node because together they were too large for
  // one message.
  @Test
  void recordsThatExceedOneMessageAreHandedOver() {
    int answerBytes = 2 * PeerCodec.MAX_MESSAGE_BYTES / REQUESTS;
    ServiceCore service = startWithAnswersOf(answerBytes);
    List<String> tickets = fleet.node("n1").dispatcher().tickets(REQUESTS).join();
    tickets.forEach(ticket -> assertEquals(answerBytes, answered("n1", ticket).body().length()));
    stopHome();
    tickets.forEach(ticket -> assertEquals(answerBytes, answered("n2", ticket).body().length()));
    assertEquals(REQUESTS, service.runs().values().stream().mapToInt(Integer::intValue).sum());
  }

  // Guards against losing all records of a stopping node because one answer is too large for a
  // message; its request must not run again.
  @Test
  void answerThatExceedsOneMessageIsNotRunAgain() {
    ServiceCore service = startWithAnswersOf(PeerCodec.MAX_MESSAGE_BYTES + 1);
    List<String> tickets = fleet.node("n1").dispatcher().tickets(1).join();
    var unused = answered("n1", tickets.get(0));
    stopHome();
    CompletableFuture<ServiceReply> repeated = call("n2", tickets.get(0));
    Refusal refusal =
        RefusalException.refusalOf(repeated.handle((reply, failure) -> failure).join());
    assertEquals(Verdict.RAN, refusal.verdict());
    assertEquals(1, service.runs().values().stream().mapToInt(Integer::intValue).sum());
  }

  private ServiceCore startWithAnswersOf(int bytes) {
    ServiceCore service =
        fleet.addService("records-box", "records", ServiceCore.withBody("x".repeat(bytes)));
    var unusedFirst = fleet.addNode("n1");
    var unusedSecond = fleet.addNode("n2");
    fleet.settle();
    return service;
  }

  private void stopHome() {
    CompletableFuture<Integer> stopped = fleet.stopNode("n1");
    assertTrue(fleet.clock().advanceUntil(stopped::isDone, TIMEOUT));
    fleet.clock().advance(SETTLE_TIME);
  }

  private ServiceReply answered(String node, String ticket) {
    CompletableFuture<ServiceReply> reply = call(node, ticket);
    assertTrue(!reply.isCompletedExceptionally(), reply::toString);
    return reply.join();
  }

  private CompletableFuture<ServiceReply> call(String node, String ticket) {
    CallerOptions options =
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.of(ticket),
            Optional.empty(),
            Optional.empty());
    CompletableFuture<ServiceReply> reply =
        fleet
            .node(node)
            .dispatcher()
            .call(
                InMemoryFleet.WORKSPACE,
                "records",
                new ServiceCall("POST", "/confirm", ticket, "r"),
                options);
    assertTrue(fleet.clock().advanceUntil(reply::isDone, TIMEOUT));
    return reply;
  }
}
