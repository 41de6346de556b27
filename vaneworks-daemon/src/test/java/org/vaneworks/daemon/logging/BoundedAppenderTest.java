package org.vaneworks.daemon.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;
import org.vaneworks.protocol.Json;

/** Tests the limits and the output format of {@link BoundedAppender}. */
final class BoundedAppenderTest {
  private static final long NOON = 1_700_000_000_000L;

  /** Only bounds a hang; no result depends on it. */
  private static final long HANG_MILLIS = 60_000;

  private final LoggerContext context = new LoggerContext();

  @Test
  void eventIsWrittenAsOneJsonLine() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BoundedAppender appender = startAppender(out);

    appender.doAppend(event(NOON, "VW4008", new KeyValuePair("request", "q\"1\n")));
    assertTrue(appender.finish(HANG_MILLIS));

    List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
    assertEquals(1, lines.size());
    JsonNode line = Json.parse(lines.get(0));
    assertEquals("VW4008", line.path("event").asText());
    assertEquals("q\"1\n", line.path("request").asText());
    assertEquals("2023-11-14T22:13:20Z", line.path("time").asText());
    assertEquals("something happened", line.path("text").asText());
  }

  @Test
  void blockedOutputDoesNotBlockLogging() {
    CountDownLatch unblocked = new CountDownLatch(1);
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    BoundedAppender appender = startAppender(blockingStream(unblocked, written));

    int logged = 4 * BoundedAppender.MAX_QUEUED_LINES;
    for (int i = 0; i < logged; i++) {
      appender.doAppend(event(NOON + 1000L * i, "VW4008"));
    }
    // All calls have returned although nothing has been written.
    assertEquals(0, written.size());
    unblocked.countDown();
    assertTrue(appender.finish(HANG_MILLIS));

    long writtenLines = written.toString(StandardCharsets.UTF_8).lines().count();
    assertTrue(writtenLines >= BoundedAppender.MAX_QUEUED_LINES, "written: " + writtenLines);
    assertEquals(logged, writtenLines + appender.unreportedDrops().get("VW4008"));
  }

  @Test
  void burstOfOneEventDoesNotDisplaceAnother() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BoundedAppender appender = startAppender(out);

    for (int i = 0; i < 3 * BoundedAppender.MAX_LINES_PER_EVENT_AND_SECOND; i++) {
      appender.doAppend(event(NOON, "VW4008"));
    }
    appender.doAppend(event(NOON, "VW3004"));
    assertTrue(appender.finish(HANG_MILLIS));

    String lines = out.toString(StandardCharsets.UTF_8);
    assertTrue(lines.contains("VW3004"));
    assertEquals(
        BoundedAppender.MAX_LINES_PER_EVENT_AND_SECOND,
        lines.lines().filter(line -> line.contains("VW4008")).count());
    assertEquals(
        2 * BoundedAppender.MAX_LINES_PER_EVENT_AND_SECOND,
        appender.unreportedDrops().get("VW4008"));
    assertFalse(appender.unreportedDrops().containsKey("VW3004"));
  }

  @Test
  void limitPerEventAppliesToEachSecond() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BoundedAppender appender = startAppender(out);

    for (int i = 0; i <= BoundedAppender.MAX_LINES_PER_EVENT_AND_SECOND; i++) {
      appender.doAppend(event(NOON, "VW4008"));
    }
    appender.doAppend(event(NOON + 1000, "VW4008"));
    assertTrue(appender.finish(HANG_MILLIS));

    assertEquals(
        BoundedAppender.MAX_LINES_PER_EVENT_AND_SECOND + 1,
        out.toString(StandardCharsets.UTF_8).lines().count());
  }

  private BoundedAppender startAppender(OutputStream out) {
    BoundedAppender appender = BoundedAppender.to(out);
    appender.setContext(context);
    appender.start();
    return appender;
  }

  private LoggingEvent event(long time, String eventCode, KeyValuePair... pairs) {
    LoggingEvent event = new LoggingEvent();
    event.setLoggerContext(context);
    event.setLoggerName("vaneworks");
    event.setLevel(Level.INFO);
    event.setMessage("something happened");
    event.setTimeStamp(time);
    event.addKeyValuePair(new KeyValuePair("event", eventCode));
    for (KeyValuePair pair : pairs) {
      event.addKeyValuePair(pair);
    }
    return event;
  }

  private static OutputStream blockingStream(
      CountDownLatch unblocked, ByteArrayOutputStream target) {
    return new OutputStream() {
      @Override
      public void write(int value) {
        write(new byte[] {(byte) value}, 0, 1);
      }

      @Override
      public void write(byte[] bytes, int offset, int length) {
        boolean interrupted = false;
        while (true) {
          try {
            unblocked.await();
            break;
          } catch (InterruptedException e) {
            interrupted = true;
          }
        }
        if (interrupted) {
          Thread.currentThread().interrupt();
        }
        target.write(bytes, offset, length);
      }
    };
  }
}
