package org.vaneworks.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.vaneworks.coordination.concurrent.Async;

/** Tests that exceptions of tasks and callbacks on the event loop are logged. */
final class ErrorReportingExecutorTest {
  /** Only bounds a failing test. */
  private static final int TIMEOUT_SECONDS = 30;

  private final IoExecutor io = NettyIoExecutors.createIoExecutor(1, "test");
  private final Executor executor = ErrorReportingExecutor.of(io);
  private final Logger logger = (Logger) LoggerFactory.getLogger("vaneworks");
  private final ListAppender<ILoggingEvent> logged = new ListAppender<>();

  @BeforeEach
  void recordLog() {
    logged.start();
    logger.addAppender(logged);
  }

  @AfterEach
  void close() throws Exception {
    logger.detachAppender(logged);
    io.closeAsync().toFuture().get();
  }

  private static void fail() {
    throw new IllegalStateException("thrown by the test");
  }

  private void assertLogged() throws Exception {
    CompletableFuture<Void> later = new CompletableFuture<>();
    executor.schedule(() -> later.complete(null), Duration.ofMillis(1));
    later.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(1, logged.list.size());
    ILoggingEvent line = logged.list.get(0);
    assertEquals("thrown by the test", line.getThrowableProxy().getMessage());
    assertTrue(line.getKeyValuePairs().stream().anyMatch(pair -> "VW1014".equals(pair.value)));
  }

  // Guards against a task whose exception leaves no trace.
  @Test
  void exceptionOfTaskIsLogged() throws Exception {
    executor.execute(ErrorReportingExecutorTest::fail);
    assertLogged();
  }

  // Guards against a timer whose exception leaves no trace.
  @Test
  void exceptionOfTimerIsLogged() throws Exception {
    executor.schedule(ErrorReportingExecutorTest::fail, Duration.ZERO);
    assertLogged();
  }

  // Guards against a callback of a future whose exception leaves no trace.
  @Test
  void exceptionOfCallbackIsLogged() throws Exception {
    Async.onDone(CompletableFuture.completedFuture(1), executor, (value, failure) -> fail());
    assertLogged();
  }
}
