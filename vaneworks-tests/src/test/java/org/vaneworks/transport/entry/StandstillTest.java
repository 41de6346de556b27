package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.telemetry.Metric;

/**
 * Tests over sockets that input which has arrived counts, although a timer has become due before
 * the event loop reads it, as after a standstill of the node.
 *
 * <p>The bytes of two callers are read in one batch of events. The timer starts as those of the
 * first one are read, and is due at once; more of that caller arrives as the request of the second
 * one is handled. The timer then runs before the next poll.
 */
final class StandstillTest {
  private static final Duration DUE_AT_ONCE = Duration.ofNanos(1);
  private static final Duration NEVER_DUE = Duration.ofHours(1);
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

  /** Less than the sockets hold, and more than the caller's side of them. */
  private static final String PART = "x".repeat(1 << 16);

  private static final int PARTS = 8;

  private EntryFixture server;

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  private static void send(Socket caller, String text) {
    try {
      caller.getOutputStream().write(text.getBytes(ISO_8859_1));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void respond(EntryFixture.ReceivedRequest request, int parts) {
    request.response.head(EntryFixture.responseHead());
    for (int i = 0; i < parts; i++) {
      request.response.data(PART.getBytes(ISO_8859_1));
    }
    request.response.end();
  }

  /** Opens a connection on which a request was answered. */
  private Socket connectAndExchange() throws Exception {
    Socket caller = server.connect();
    caller.setTcpNoDelay(true); // What is sent has arrived.
    send(caller, REQUEST);
    respondToNext();
    assertAnswered(caller);
    return caller;
  }

  private void respondToNext() throws Exception {
    EntryFixture.ReceivedRequest request = server.next();
    server.runOnEventLoop(() -> respond(request, 0));
  }

  private static void assertAnswered(Socket caller) throws IOException {
    String answer = "";
    while (!answer.endsWith("0\r\n\r\n")) {
      int next = caller.getInputStream().read();
      assertTrue(next >= 0, answer);
      answer += (char) next;
    }
    assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
  }

  private void awaitClosed() throws Exception {
    boolean[] closed = {false};
    while (!closed[0]) {
      server.runOnEventLoop(() -> closed[0] = server.connections.isEmpty());
    }
  }

  /** Reads to the end of the connection; a reset ends the text with its exception. */
  private static String readToEnd(Socket caller) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try {
      caller.getInputStream().transferTo(received);
    } catch (IOException e) {
      return received.toString(ISO_8859_1) + " then " + e;
    }
    return received.toString(ISO_8859_1);
  }

  // Guards against a body that is refused as too slow, although it has arrived, because the node
  // stood still.
  @Test
  void bodyThatHasArrivedIsNotTooSlow() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = connectAndExchange();
        Socket other = connectAndExchange()) {
      server.onRequest(
          () -> {
            server.onRequest(() -> {});
            server.setIdleTimeout(NEVER_DUE);
            send(caller, "hello");
          });
      server.runOnEventLoop(
          () -> {
            server.setIdleTimeout(DUE_AT_ONCE);
            send(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
            send(other, REQUEST);
          });
      respondToNext();
      respondToNext();
      assertAnswered(caller);
    }
  }

  // Guards against a head that is refused as too slow, although it has arrived, because the node
  // stood still.
  @Test
  void headThatHasArrivedIsNotTooSlow() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = connectAndExchange();
        Socket other = connectAndExchange()) {
      server.onRequest(
          () -> {
            server.onRequest(() -> {});
            server.setHeaderTimeout(NEVER_DUE);
            send(caller, REQUEST.substring(1));
          });
      server.runOnEventLoop(
          () -> {
            server.setHeaderTimeout(DUE_AT_ONCE);
            send(caller, REQUEST.substring(0, 1));
            send(other, REQUEST);
          });
      respondToNext();
      respondToNext();
      assertAnswered(caller);
    }
  }

  // Guards against the end of a last response that is lost, as the connection is closed before the
  // input is read that has arrived from its caller while the node stood still.
  @Test
  void endOfLastResponseIsNotLost() throws Exception {
    AtomicReference<Runnable> onLinger = new AtomicReference<>();
    server =
        EntryFixture.startLingering(
            () -> {
              // Due before the timer, and after the same poll.
              server.io.schedule(onLinger.get(), 0, TimeUnit.NANOSECONDS);
              return DUE_AT_ONCE;
            });
    try (Socket caller = connectAndExchange()) {
      onLinger.set(() -> send(caller, REQUEST));
      server.closeAfterResponses();
      send(caller, REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(() -> respond(request, PARTS));
      while (server.counters.value(Metric.CALLER_CLOSES, "last-answer") == 0) {
        Thread.onSpinWait();
      }
      awaitClosed();
      String received = readToEnd(caller);
      String end = received.substring(Math.max(0, received.length() - 100));
      assertTrue(end.endsWith("x\r\n0\r\n\r\n"), end);
    }
  }
}
