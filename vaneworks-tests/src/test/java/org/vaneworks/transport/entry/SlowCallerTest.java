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

/** Tests over sockets that a slow caller gets its complete response. */
final class SlowCallerTest {
  private static final int CHUNK_BYTES = 64 << 10;

  /** Together more than the socket buffers between caller and node can take. */
  private static final int CHUNKS = 256;

  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private EntryFixture server;

  @BeforeEach
  void start() throws Exception {
    server = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  private void sendResponse(EntryFixture.ReceivedRequest request) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          for (int i = 0; i < CHUNKS; i++) {
            request.response.data(new byte[CHUNK_BYTES]);
          }
          request.response.end();
        });
  }

  private static void assertReadsCompleteResponse(Socket socket) throws IOException {
    String received = new String(readResponse(socket), ISO_8859_1);
    assertTrue(
        received.endsWith(LAST_CHUNK), "the response ended after " + received.length() + " bytes");
    long zeros = received.chars().filter(c -> c == 0).count();
    assertEquals((long) CHUNKS * CHUNK_BYTES, zeros);
  }

  /** Reads up to the end of a response or of the connection. */
  private static byte[] readResponse(Socket socket) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    byte[] buffer = new byte[CHUNK_BYTES];
    String tail = "";
    while (!tail.endsWith(LAST_CHUNK)) {
      int read = socket.getInputStream().read(buffer);
      if (read == -1) {
        break;
      }
      received.write(buffer, 0, read);
      String extended = tail + new String(buffer, 0, read, ISO_8859_1);
      tail = extended.substring(Math.max(0, extended.length() - LAST_CHUNK.length()));
    }
    return received.toByteArray();
  }

  // Guards against an idle timer that runs, and aborts the response, while bytes are buffered for a
  // slow caller.
  @Test
  void responseBufferedForSlowCallerOutlivesIdleTimeout() throws Exception {
    server.setIdleTimeout(Duration.ofMillis(100));
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      sendResponse(server.next());
      server.awaitIdleTimeout();
      assertReadsCompleteResponse(caller);
    }
    assertEquals(0, server.counters.value(Metric.CALLER_CLOSES, "idle-while-held"));
  }

  // Guards against a connection treated as idle because the previous request ended after the next
  // one had started.
  @Test
  void secondPipelinedResponseOutlivesIdleTimeout() throws Exception {
    server.setIdleTimeout(Duration.ofMillis(100));
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      EntryFixture.sendRequest(caller);
      EntryFixture.ReceivedRequest first = server.next();
      server.runOnEventLoop(() -> first.response.head(EntryFixture.responseHead()));
      server.runOnEventLoop(first.response::end);
      readResponse(caller);
      EntryFixture.ReceivedRequest second = server.next();
      server.awaitIdleTimeout();
      server.runOnEventLoop(() -> second.response.head(EntryFixture.responseHead()));
      server.runOnEventLoop(() -> second.response.data(new byte[CHUNK_BYTES]));
      server.runOnEventLoop(second.response::end);
      String received = new String(readResponse(caller), ISO_8859_1);
      assertTrue(received.endsWith(LAST_CHUNK), received);
    }
  }

  // Guards against an undetected disconnect of the caller during the second pipelined response.
  @Test
  void disconnectDuringSecondPipelinedResponseIsDetected() throws Exception {
    EntryFixture.ReceivedRequest second;
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      EntryFixture.sendRequest(caller);
      EntryFixture.ReceivedRequest first = server.next();
      server.runOnEventLoop(() -> first.response.head(EntryFixture.responseHead()));
      server.runOnEventLoop(first.response::end);
      second = server.next();
      server.runOnEventLoop(() -> second.response.head(EntryFixture.responseHead()));
    }
    second.awaitDisconnect();
    assertEquals(1, second.disconnects());
  }

  // Guards against a connection that is unusable after a response whose body is not subscribed to.
  @Test
  void connectionStaysUsableAfterHeadRequest() throws Exception {
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller, "HEAD");
      EntryFixture.ReceivedRequest first = server.next();
      server.runOnEventLoop(() -> first.response.head(EntryFixture.responseHead()));
      server.runOnEventLoop(first.response::end);
      EntryFixture.sendRequest(caller);
      sendResponse(server.next());
      assertReadsCompleteResponse(caller);
    }
  }
}
