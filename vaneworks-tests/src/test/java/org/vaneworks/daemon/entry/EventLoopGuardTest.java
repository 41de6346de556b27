package org.vaneworks.daemon.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.vaneworks.telemetry.Event;
import org.vaneworks.transport.ErrorReportingExecutor;
import org.vaneworks.transport.FatalErrors;

/** Tests that a process without a sound event loop exits. */
final class EventLoopGuardTest {
  /** Only bounds a failing test. */
  private static final int TIMEOUT_SECONDS = 30;

  private final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");
  private final CompletableFuture<Integer> exit = new CompletableFuture<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  @BeforeEach
  void start() throws Exception {
    EventLoopGuard.start(io, out, exit::complete);
  }

  @AfterEach
  void close() throws Exception {
    io.closeAsync().toFuture().get();
  }

  private void assertExits() throws Exception {
    assertEquals(EventLoopGuard.EXIT_CODE, exit.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    JsonNode line = new ObjectMapper().readTree(out.toString(UTF_8));
    assertEquals(Event.EVENT_LOOP_FAILED.code(), line.get("event").textValue());
    assertTrue(line.has("cause"), line.toString());
    assertEquals(1, out.toString(UTF_8).lines().count());
  }

  // Guards against a process that accepts connections and answers none, as its event loop has
  // ended.
  @Test
  void processExitsIfItsEventLoopEnds() throws Exception {
    io.closeAsync().toFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertExits();
  }

  // Guards against a process that goes on after an error of a task, which ServiceTalk drops.
  @Test
  void processExitsIfATaskThrowsAnError() throws Exception {
    ErrorReportingExecutor.of(io)
        .execute(
            () -> {
              throw new OutOfMemoryError("thrown by the test");
            });
    assertExits();
  }

  // Guards against a process that goes on after an error that Netty has caught and only logged.
  @Test
  void processExitsIfAnErrorIsLoggedOnItsEventLoop() throws Exception {
    Throwable wrapped = new IllegalStateException(new OutOfMemoryError("thrown by the test"));
    io.execute(() -> LoggerFactory.getLogger("io.netty.test").warn("caught", wrapped));
    assertExits();
  }

  // Guards against a process that goes on after an error by which a call has failed.
  @Test
  void processExitsIfACallFailsWithAnError() throws Exception {
    Throwable failure = new IOException(new OutOfMemoryError("thrown by the test"));
    io.execute(() -> FatalErrors.report(failure));
    assertExits();
  }

  // Guards against an exit because of an ordinary exception.
  @Test
  void exceptionOfATaskDoesNotEndTheProcess() throws Exception {
    ErrorReportingExecutor.of(io)
        .execute(
            () -> {
              throw new IllegalStateException("thrown by the test");
            });
    io.execute(() -> FatalErrors.report(new IOException("thrown by the test")));
    io.submit(() -> {}).toFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertFalse(exit.isDone());
  }
}
