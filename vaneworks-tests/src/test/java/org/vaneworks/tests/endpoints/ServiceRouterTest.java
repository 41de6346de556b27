package org.vaneworks.tests.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.ServiceRouter;
import org.vaneworks.coordination.endpoints.EndpointClient;
import org.vaneworks.coordination.endpoints.EndpointLimits;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.EndpointStatus;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.coordination.pipeline.RetryBudget;
import org.vaneworks.state.Endpoint;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Tests which endpoint of a plain service {@link ServiceRouter} calls after failed calls and status
 * calls.
 */
final class ServiceRouterTest {
  private static final ServiceCall CALL = new ServiceCall("POST", "/confirm", "{}", "r1");
  private static final Duration LONGEST_EJECTION = Duration.ofSeconds(20);

  private final PausedExecutor executor = PausedExecutor.create();
  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final EndpointTable table =
      EndpointTable.create(executor, EndpointLimits.defaults(), counters, () -> 1);
  private final PendingCallsClient client = new PendingCallsClient();
  private final ServiceRouter router =
      ServiceRouter.create(
          executor, table, client, RetryBudget.of(0.2, 10), counters, new Random(1));
  private final EndpointState only = table.add(endpoint("records"));

  @Test
  void endpointThatAnsweredAfterAnEjectionGetsConcurrentCalls() {
    table.eject(only, "lost");
    executor.advance(LONGEST_EJECTION);
    statusOf(only);
    CompletableFuture<ServiceReply> probe = call();
    client.answerNext();
    assertEquals(200, probe.join().status());

    CompletableFuture<ServiceReply> first = call();
    CompletableFuture<ServiceReply> second = call();

    assertEquals(2, client.pending.size());
    client.answerNext();
    client.answerNext();
    assertEquals(200, first.join().status());
    assertEquals(200, second.join().status());
  }

  @Test
  void onlyEndpointIsUsedAfterOneFailedStatusCall() {
    table.recordStatusFailure(only);

    CompletableFuture<ServiceReply> reply = call();

    assertEquals(1, client.pending.size());
    client.answerNext();
    assertEquals(200, reply.join().status());
  }

  @Test
  void anotherEndpointIsPreferredAfterOneFailedStatusCall() {
    EndpointState other = table.add(endpoint("other"));
    table.recordStatusFailure(only);

    List<CompletableFuture<ServiceReply>> replies = List.of(call(), call(), call(), call());

    assertEquals(0, only.inFlight());
    assertEquals(replies.size(), other.inFlight());
  }

  @Test
  void callIsRefusedAfterTwoFailedStatusCallsInARow() {
    table.recordStatusFailure(only);
    table.recordStatusFailure(only);

    assertRefusedAsNotRun(call());
  }

  @Test
  void callIsRefusedAfterALostCallToTheOnlyEndpoint() {
    table.eject(only, "lost");

    assertRefusedAsNotRun(call());
  }

  @Test
  void callIsRefusedIfTheOnlyEndpointIsLeaving() {
    table.recordStatusFailure(only);
    table.markLeaving(only, "status");

    assertRefusedAsNotRun(call());
  }

  @Test
  void callIsRefusedAfterAFailedStatusCallAndALostCall() {
    table.recordStatusFailure(only);
    CompletableFuture<ServiceReply> lost = call();
    client.pending.remove().completeExceptionally(mayHaveRun());
    executor.runDue();
    assertTrue(lost.isCompletedExceptionally());

    assertRefusedAsNotRun(call());
  }

  // Guards against calls that are repeated after their caller was told that its time is up.
  @Test
  void callIsNotRepeatedAfterItsLimit() {
    var unused = table.add(endpoint("other"));
    CompletableFuture<ServiceReply> reply =
        router.call("records", CALL, true, Optional.of(Duration.ofSeconds(1)));
    executor.advance(Duration.ofSeconds(2));
    assertRefusedAsTimedOut(reply);

    client.pending.remove().completeExceptionally(mayHaveRun());
    executor.runDue();

    assertTrue(client.pending.isEmpty());
  }

  // Guards against taking an endpoint out of use because a caller allowed it little time.
  @Test
  void endpointIsNotEjectedForACallWhoseLimitPassed() {
    CompletableFuture<ServiceReply> reply =
        router.call("records", CALL, false, Optional.of(Duration.ofMillis(50)));
    executor.advance(Duration.ofSeconds(1));
    assertRefusedAsTimedOut(reply);

    client.pending.remove().completeExceptionally(mayHaveRun());
    executor.runDue();

    assertTrue(only.isUsable());
  }

  // Guards against a repeatable call that waits for a dead endpoint until its limit.
  @Test
  void repeatableCallIsAlsoSentToAnotherEndpointAfterLongSilence() {
    var unused = table.add(endpoint("other"));
    CompletableFuture<ServiceReply> reply = callWithBackup();

    client.pending.remove();
    client.answerNext();

    assertEquals(200, reply.join().status());
  }

  // Guards against dropping the answer of an endpoint that was silent for long.
  @Test
  void answerOfSilentEndpointCountsAlsoAfterTheCallWasSentToAnother() {
    var unused = table.add(endpoint("other"));
    CompletableFuture<ServiceReply> reply = callWithBackup();

    client.answerNext();

    assertEquals(200, reply.join().status());
  }

  // Guards against ending a call whose second endpoint failed while the first may still answer.
  @Test
  void failureOfBackupDoesNotEndTheCall() {
    var unused = table.add(endpoint("other"));
    CompletableFuture<ServiceReply> reply = callWithBackup();

    CompletableFuture<ServiceReply> first = client.pending.remove();
    client.pending.remove().completeExceptionally(mayHaveRun());
    executor.runDue();
    assertFalse(reply.isDone());
    first.complete(new ServiceReply(200, "application/json", "{}"));
    executor.runDue();

    assertEquals(200, reply.join().status());
  }

  /** Returns a repeatable call that its first endpoint does not answer. */
  private CompletableFuture<ServiceReply> callWithBackup() {
    CompletableFuture<ServiceReply> reply =
        router.call("records", CALL, true, Optional.of(Duration.ofSeconds(10)));
    executor.advance(Duration.ofSeconds(6));
    assertEquals(2, client.pending.size());
    return reply;
  }

  private void assertRefusedAsTimedOut(CompletableFuture<ServiceReply> reply) {
    assertTrue(reply.isCompletedExceptionally());
    Refusal refusal = RefusalException.refusalOf(reply.handle((answer, failure) -> failure).join());
    assertEquals(Reason.DEADLINE, refusal.reason());
    assertEquals(Verdict.MAY_HAVE_RUN, refusal.verdict());
  }

  private CompletableFuture<ServiceReply> call() {
    CompletableFuture<ServiceReply> reply =
        router.call("records", CALL, false, Optional.of(Duration.ofSeconds(5)));
    executor.runDue();
    return reply;
  }

  private void statusOf(EndpointState state) {
    state.recordStatus(new EndpointStatus(state.endpoint(), false, 0, 0, 1), Duration.ofMillis(1));
  }

  private void assertRefusedAsNotRun(CompletableFuture<ServiceReply> reply) {
    assertTrue(reply.isCompletedExceptionally());
    assertTrue(client.pending.isEmpty());
    Refusal refusal = RefusalException.refusalOf(reply.handle((answer, failure) -> failure).join());
    assertEquals(Reason.NO_ENDPOINT, refusal.reason());
    assertEquals(Verdict.NOT_RUN, refusal.verdict());
    assertFalse(refusal.retryAfter().isEmpty());
  }

  private static RefusalException mayHaveRun() {
    return Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "the connection closed").toException();
  }

  private static Endpoint endpoint(String box) {
    return new Endpoint(
        new EndpointId(box, "1"),
        HostPort.parse("127.0.0.1:1"),
        "dc1",
        "records",
        Optional.empty(),
        "",
        false);
  }

  /** Keeps each call pending until the test answers it. */
  private final class PendingCallsClient implements EndpointClient {
    private final Queue<CompletableFuture<ServiceReply>> pending = new ArrayDeque<>();

    void answerNext() {
      pending.remove().complete(new ServiceReply(200, "application/json", "{}"));
      executor.runDue();
    }

    @Override
    public CompletableFuture<ServiceReply> invoke(
        Endpoint endpoint, ServiceCall call, Duration timeout) {
      CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
      pending.add(reply);
      return reply;
    }

    @Override
    public CompletableFuture<EndpointStatus> status(HostPort address) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<StepReply> step(Endpoint endpoint, StepCall call, Duration timeout) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> end(Endpoint endpoint, SessionId session) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<SessionExport> exportSession(Endpoint endpoint, SessionId session) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> importSession(
        Endpoint endpoint, SessionId target, SessionExport export) {
      throw new UnsupportedOperationException();
    }
  }
}
