package org.vaneworks.transport.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests over sockets that a request which has arrived is not lost because the event loop reads it
 * late. Timers that became due while sockets are read run before the remaining sockets are read.
 */
final class LateReadTest {
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(200);

  /** Longer than the idle timeout. */
  private static final Duration EVENT_LOOP_DELAY = Duration.ofMillis(600);

  private EntryFixture server;

  @BeforeEach
  void start() throws Exception {
    server = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  /** Opens a connection on which a request was answered. */
  private Socket connectAndExchange() throws Exception {
    Socket caller = server.connect();
    EntryFixture.sendRequest(caller);
    respond(server.next());
    readResponse(caller);
    return caller;
  }

  private void respond(EntryFixture.ReceivedRequest request) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.end();
        });
  }

  private static String readResponse(Socket caller) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("0\r\n\r\n") < 0) {
      int next = caller.getInputStream().read();
      if (next < 0) {
        return text + " then the end of the connection";
      }
      text.append((char) next);
    }
    return text.substring(0, text.indexOf("\r\n"));
  }

  private static void sendQuietly(Socket caller) {
    try {
      EntryFixture.sendRequest(caller);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delayEventLoop() {
    try {
      Thread.sleep(EVENT_LOOP_DELAY.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Guards against a request that is lost because the idle timeout of its connection passes before
  // the event loop reads it.
  @Test
  void requestThatArrivedBeforeIdleTimeoutIsAnswered() throws Exception {
    server.setIdleTimeout(IDLE_TIMEOUT);
    try (Socket caller = connectAndExchange();
        Socket other = server.connect()) {
      server.onRequest(
          () -> {
            server.onRequest(() -> {});
            sendQuietly(caller);
            delayEventLoop();
          });
      EntryFixture.sendRequest(other);
      respond(server.next());
      respond(server.next());
      assertEquals("HTTP/1.1 200 OK", readResponse(caller));
    }
  }

  // Guards against a request that is lost because its connection is closed by a stop before the
  // event loop reads it.
  @Test
  void requestThatArrivedBeforeCloseOfIdleConnectionsIsAnswered() throws Exception {
    try (Socket caller = connectAndExchange();
        Socket other = server.connect()) {
      server.onRequest(
          () -> {
            server.onRequest(() -> {});
            sendQuietly(caller);
            server.io.execute(server.connections::closeIdle);
          });
      EntryFixture.sendRequest(other);
      respond(server.next());
      respond(server.next());
      assertEquals("HTTP/1.1 200 OK", readResponse(caller));
    }
  }

  // Guards against idle connections that a stop leaves open.
  @Test
  void idleConnectionIsClosedByStop() throws Exception {
    try (Socket caller = connectAndExchange()) {
      server.runOnEventLoop(server.connections::closeIdle);
      assertEquals(-1, caller.getInputStream().read());
    }
  }
}
