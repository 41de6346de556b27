package org.vaneworks.tests.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.forwarding.CallerRequest;
import org.vaneworks.coordination.forwarding.ForwardingLimits;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.state.Reason;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Event;
import org.vaneworks.tests.forwarding.ForwardingFixture.SentAttempt;

/** Tests that an exception of a callback ends its request, and no other one. */
final class ThrowingCallbackTest {
  private static final String STREAM = "/stream/x";

  private final ForwardingFixture node = new ForwardingFixture();
  private final Logger logger = (Logger) LoggerFactory.getLogger("vaneworks");
  private final ListAppender<ILoggingEvent> logged = new ListAppender<>();

  @BeforeEach
  void recordLog() {
    logged.start();
    logger.addAppender(logged);
  }

  @AfterEach
  void stopRecording() {
    logger.detachAppender(logged);
  }

  private static IllegalStateException fault() {
    return new IllegalStateException("thrown by the test");
  }

  /** Returns an action that throws when it runs for the first time. */
  private static Runnable throwingOnce() {
    AtomicInteger runs = new AtomicInteger();
    return () -> {
      if (runs.getAndIncrement() == 0) {
        throw fault();
      }
    };
  }

  private void assertLoggedOnce(String requestId) {
    ImmutableList<ILoggingEvent> failures =
        logged.list.stream()
            .filter(
                line ->
                    line.getKeyValuePairs().stream()
                        .anyMatch(pair -> Event.REQUEST_FAILED_INSIDE.code().equals(pair.value)))
            .collect(ImmutableList.toImmutableList());
    assertEquals(1, failures.size());
    assertTrue(
        failures.get(0).getKeyValuePairs().stream()
            .anyMatch(pair -> pair.key.equals("request") && requestId.equals(pair.value)));
    assertEquals("thrown by the test", failures.get(0).getThrowableProxy().getMessage());
  }

  private static void assertRefused(Verdict verdict, RecordedResponse response) {
    assertEquals(Reason.INTERNAL, response.refusal.orElseThrow().reason());
    assertEquals(verdict, response.refusal.get().verdict());
    assertFalse(response.cut);
  }

  private void assertServes(String path) {
    RecordedResponse response = node.request(path);
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    attempt.event(1);
    attempt.end();
    assertTrue(response.whole);
    assertEquals(0, node.forwarder.inFlight());
  }

  // Guards against a request without an answer, as its admission throws.
  @Test
  void requestThatCannotBeAdmittedHasNotRun() {
    node.engine(1, 0, 80);
    RecordedResponse response = new RecordedResponse();
    response.listener = node.forwarder.forward(new UnreadableRequest(), response);
    assertRefused(Verdict.NOT_RUN, response);
    assertLoggedOnce("unreadable");
    assertServes(STREAM);
  }

  // Guards against a request that is in flight for good, as its endpoint can't be called.
  @Test
  void requestThatCannotBeSentIsAnsweredAtOnce() {
    node.engine(1, 0, 80);
    node.onSend = throwingOnce();
    RecordedResponse response = node.request(STREAM);
    assertRefused(Verdict.MAY_HAVE_RUN, response);
    assertLoggedOnce("q0");
    assertServes(STREAM);
  }

  // Guards against a request without an answer until its time limit, as the head of its endpoint's
  // response can't be handled.
  @Test
  void requestWhoseHeadThrowsIsAnsweredAtOnce() {
    node.engine(1, 0, 80);
    RecordedResponse response = node.request(STREAM);
    response.onHead =
        () -> {
          throw fault();
        };
    node.lastAttempt().head(200);
    assertTrue(response.cut);
    assertTrue(node.lastAttempt().cancelled);
    assertLoggedOnce("q0");
    assertServes(STREAM);
  }

  // Guards against a stream that hangs, as a part of it can't be handled.
  @Test
  void streamWhosePartThrowsIsCutAtOnce() {
    node.engine(1, 0, 80);
    RecordedResponse other = node.request(STREAM);
    RecordedResponse response = node.request(STREAM);
    SentAttempt attempt = node.lastAttempt();
    attempt.head(200);
    response.onData =
        () -> {
          throw fault();
        };
    attempt.event(1);
    assertTrue(response.cut);
    assertTrue(attempt.cancelled);
    assertLoggedOnce("q1");
    assertEquals(1, node.forwarder.inFlight());
    node.sent.get(0).head(200);
    node.sent.get(0).event(1);
    node.sent.get(0).end();
    assertTrue(other.whole);
    assertServes(STREAM);
  }

  // Guards against streams that no timer watches any more, as the timer of one has thrown.
  @Test
  void streamWhoseTimerThrowsIsCutAndOthersGoOn() {
    node.engine(1, 0, 40);
    FleetEndpoint second = node.engine(2, 40, 80);
    FleetEndpoint third = node.engine(3, 40, 80);
    RecordedResponse first = node.request(STREAM);
    String path = node.lastAttempt().attempt.path().orElseThrow();
    FleetEndpoint used = path.contains("10.0.0.2") ? second : third;
    RecordedResponse next = node.request(STREAM);
    while (!node.lastAttempt().attempt.path().orElseThrow().contains(used.address().toString())) {
      next = node.request(STREAM);
    }
    for (SentAttempt attempt : node.sent) {
      attempt.head(200);
      attempt.event(1);
    }
    node.control.onRepath = throwingOnce();
    node.control.dead.add(used.address());
    node.advance(600);
    assertTrue(first.cut ^ next.cut);
    assertEquals(1, node.control.repathedPaths.size());
    assertEquals(node.sent.size() - 1, node.forwarder.inFlight());
  }

  // Guards against a queue that starts nothing any more, as a start has thrown.
  @Test
  void queueGoesOnAfterAStartThatThrows() {
    for (int i = 0; i < 3; i++) {
      node.engine(i + 1, i * 27, Math.min(80, (i + 1) * 27));
    }
    node.fleet.all().forEach(engine -> engine.setPeerLoad(100, 1e9, 1));
    RecordedResponse first = node.request(STREAM);
    RecordedResponse second = node.request(STREAM);
    assertTrue(node.sent.isEmpty());
    assertEquals(2, node.forwarder.inFlight());
    node.onSend = throwingOnce();
    node.fleet.all().forEach(engine -> engine.setPeerLoad(0, 0, 1));
    node.advance(30);
    assertRefused(Verdict.MAY_HAVE_RUN, first);
    assertEquals(1, node.sent.size());
    node.lastAttempt().head(200);
    node.lastAttempt().event(1);
    node.lastAttempt().end();
    assertTrue(second.whole);
    assertEquals(0, node.forwarder.inFlight());
  }

  // Guards against interrupted streams that nobody sends again any more, and against one without an
  // answer until its time limit, as the send of the first one that gets a retry has thrown.
  @Test
  void streamsThatWaitForARetryGoOnAfterASendThatThrows() {
    for (int number = 1; number <= 3; number++) {
      node.engine(number, 0, 80);
    }
    node.forwarder.updateLimits(
        new ForwardingLimits(Duration.ofMillis(4750), 0.2, 100, Duration.ofSeconds(10)));
    RecordedResponse first = node.request(STREAM);
    RecordedResponse second = node.request(STREAM);
    for (SentAttempt attempt : ImmutableList.copyOf(node.sent)) {
      attempt.head(200);
      attempt.event(1);
      attempt.listener.failed(false, new IllegalStateException("reset"));
    }
    assertEquals(2, node.sent.size());
    node.onSend = throwingOnce();
    node.advance(1000);
    assertTrue(first.cut);
    assertLoggedOnce("q0");
    assertEquals(3, node.sent.size());
    node.lastAttempt().head(200);
    node.lastAttempt().event(2);
    node.lastAttempt().end();
    assertTrue(second.whole);
    assertEquals(0, node.forwarder.inFlight());
  }

  /** A request whose size can't be read. */
  private record UnreadableRequest() implements CallerRequest {
    @Override
    public String id() {
      return "unreadable";
    }

    @Override
    public String host() {
      return "host.example";
    }

    @Override
    public String path() {
      return STREAM;
    }

    @Override
    public Optional<String> key() {
      return Optional.of(ForwardingFixture.KEY);
    }

    @Override
    public Optional<Duration> callerTimeout() {
      return Optional.empty();
    }

    @Override
    public Optional<RequestSize> size() {
      throw fault();
    }

    @Override
    public ImmutableList<String> sharedPromptParts() {
      return ImmutableList.of();
    }

    @Override
    public RequestContent content(Optional<String> workspace) {
      return RequestContent.of(workspace, "POST", host(), path(), new byte[0]);
    }
  }
}
