package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.telemetry.Metric;

/** Checks that a caller who reads late gets its whole answer, over sockets. */
final class SlowCallerTest {
  private static final int PIECE_BYTES = 64 << 10;

  /** Together more than the sockets between caller and node hold. */
  private static final int PIECES = 256;

  private static final String END_MARK = "\r\n0\r\n\r\n";

  private EntryFixture node;

  @BeforeEach
  void start() throws Exception {
    node = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
  }

  private void answerWhole(EntryFixture.Taken taken) throws Exception {
    node.onLoop(
        () -> {
          taken.answer.head(EntryFixture.head());
          for (int i = 0; i < PIECES; i++) {
            taken.answer.data(new byte[PIECE_BYTES]);
          }
          taken.answer.end();
        });
  }

  private static void assertReadsWhole(Socket socket) throws IOException {
    String got = new String(readAll(socket), ISO_8859_1);
    assertTrue(got.endsWith(END_MARK), "the answer ended after " + got.length() + " bytes");
    long zeros = got.chars().filter(c -> c == 0).count();
    assertEquals((long) PIECES * PIECE_BYTES, zeros);
  }

  /** Reads up to the end of an answer, or of the connection. */
  private static byte[] readAll(Socket socket) throws IOException {
    ByteArrayOutputStream got = new ByteArrayOutputStream();
    byte[] part = new byte[PIECE_BYTES];
    String tail = "";
    while (!tail.endsWith(END_MARK)) {
      int read = socket.getInputStream().read(part);
      if (read == -1) {
        break;
      }
      got.write(part, 0, read);
      String longer = tail + new String(part, 0, read, ISO_8859_1);
      tail = longer.substring(Math.max(0, longer.length() - END_MARK.length()));
    }
    return got.toByteArray();
  }

  // Guards against answers cut as their bytes still waited for a slow caller: the timer ran.
  @Test
  void answerHeldForASlowCallerOutlivesTheIdleLimit() throws Exception {
    node.idleLimit(Duration.ofMillis(100));
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      answerWhole(node.next());
      node.awaitIdleLimit();
      assertReadsWhole(caller);
    }
    assertEquals(0, node.counters.value(Metric.CALLER_CLOSES, "idle-while-held"));
  }

  // Guards against a request's connection taken for idle: the one before it ended as it began.
  @Test
  void secondAnswerOfACallerWhoAsksAheadOutlivesTheIdleLimit() throws Exception {
    node.idleLimit(Duration.ofMillis(100));
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      EntryFixture.ask(caller);
      EntryFixture.Taken first = node.next();
      node.onLoop(() -> first.answer.head(EntryFixture.head()));
      node.onLoop(first.answer::end);
      readAll(caller);
      EntryFixture.Taken second = node.next();
      node.awaitIdleLimit();
      node.onLoop(() -> second.answer.head(EntryFixture.head()));
      node.onLoop(() -> second.answer.data(new byte[PIECE_BYTES]));
      node.onLoop(second.answer::end);
      String got = new String(readAll(caller), ISO_8859_1);
      assertTrue(got.endsWith(END_MARK), got);
    }
  }

  // Guards against a caller who left in the midst of the second answer and is not noticed.
  @Test
  void callerWhoAskedAheadAndLeftIsNoticed() throws Exception {
    EntryFixture.Taken second;
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller);
      EntryFixture.ask(caller);
      EntryFixture.Taken first = node.next();
      node.onLoop(() -> first.answer.head(EntryFixture.head()));
      node.onLoop(first.answer::end);
      second = node.next();
      node.onLoop(() -> second.answer.head(EntryFixture.head()));
    }
    second.awaitGone();
    assertEquals(1, second.timesGone());
  }

  // Guards against a connection lost to the caller after an answer whose body nobody takes.
  @Test
  void connectionGoesOnAfterAnAnswerToHead() throws Exception {
    try (Socket caller = node.connect()) {
      EntryFixture.ask(caller, "HEAD");
      EntryFixture.Taken first = node.next();
      node.onLoop(() -> first.answer.head(EntryFixture.head()));
      node.onLoop(first.answer::end);
      EntryFixture.ask(caller);
      answerWhole(node.next());
      assertReadsWhole(caller);
    }
  }
}
