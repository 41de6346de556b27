package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests over sockets that connections which have arrived are served when a node stops listening.
 */
final class StopListeningTest {
  /** More than the event loop accepts in one batch of events. */
  private static final int CALLERS = 40;

  private final List<Socket> callers = new ArrayList<>();
  private EntryFixture server;

  @BeforeEach
  void start() throws Exception {
    server = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket caller : callers) {
      caller.close();
    }
    server.close();
  }

  private void connectAndSend() {
    try {
      Socket caller = server.connect();
      callers.add(caller);
      EntryFixture.sendRequest(caller);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void respondToNext() throws Exception {
    EntryFixture.ReceivedRequest request = server.next();
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.data("done".getBytes(US_ASCII));
          request.response.end();
        });
  }

  private static String readResponse(Socket caller) throws IOException {
    String response = "";
    while (!response.endsWith("0\r\n\r\n")) {
      int next = caller.getInputStream().read();
      assertTrue(next >= 0, response);
      response += new String(new byte[] {(byte) next}, ISO_8859_1);
    }
    return response;
  }

  // Guards against requests that are reset because their connections were not accepted yet as the
  // node stopped listening.
  @Test
  void connectionsThatHaveArrivedAreAcceptedBeforeListeningStops() throws Exception {
    server.closeAfterResponses();
    server.runOnEventLoop(
        () -> {
          // The kernel completes the connections; the event loop accepts none before this ends.
          for (int i = 0; i < CALLERS; i++) {
            connectAndSend();
          }
          var unused = EntryServer.stopListening(server.server, server.io);
        });

    for (int i = 0; i < CALLERS; i++) {
      respondToNext();
    }
    for (Socket caller : ImmutableList.copyOf(callers)) {
      String response = readResponse(caller);
      assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    }
    assertThrows(ConnectException.class, server::connect);
  }
}
