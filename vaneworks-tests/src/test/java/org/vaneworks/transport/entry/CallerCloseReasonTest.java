package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.Metric;

/** Tests over sockets that each close of a caller connection is counted under its reason. */
final class CallerCloseReasonTest {
  private static final long CHECK_MILLIS = 10;

  /** Only bounds a failing test. */
  private static final int MAX_CHECKS = 3000;

  private static final int MAX_HEAD_BYTES = 100;

  private final RecordedEvents events = RecordedEvents.create();
  private EntryFixture server;

  @BeforeEach
  void start() throws Exception {
    server = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    events.close();
    server.close();
  }

  private double closes(CloseReason reason) {
    return server.counters.value(Metric.CALLER_CLOSES, reason.code());
  }

  private double totalCloses() {
    double sum = 0;
    for (CloseReason reason : CloseReason.values()) {
      sum += closes(reason);
    }
    return sum;
  }

  private void assertCountedAs(CloseReason reason) throws Exception {
    for (int i = 0; i < MAX_CHECKS && totalCloses() == 0; i++) {
      Thread.sleep(CHECK_MILLIS);
    }
    for (CloseReason other : CloseReason.values()) {
      assertEquals(other == reason ? 1 : 0, closes(other), other.code());
    }
  }

  /** Asserts that one line tells who closed the connection, and how far the response had come. */
  private void assertLogged(
      String closedBy, CloseReason reason, String cause, int passedBytes, boolean endpointEnded)
      throws Exception {
    Map<String, String> line = events.await(Event.CALLER_CONNECTION_CLOSED);
    assertEquals("q1", line.get("request"));
    assertEquals(closedBy, line.get("closedBy"));
    assertEquals(reason.code(), line.get("reason"));
    String text = line.get("cause");
    assertTrue(text.startsWith(cause), text);
    assertEquals(Integer.toString(passedBytes), line.get("passedBytes"));
    assertEquals(Boolean.toString(endpointEnded), line.get("endpointEnded"));
    assertEquals(1, events.count(Event.CALLER_CONNECTION_CLOSED));
  }

  private EntryFixture.ReceivedRequest startResponse(Socket caller) throws Exception {
    EntryFixture.sendRequest(caller);
    EntryFixture.ReceivedRequest request = server.next();
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.data(new byte[1]);
        });
    return request;
  }

  private void sendResponse(EntryFixture.ReceivedRequest request) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.end();
        });
  }

  private static void readToEnd(Socket caller) throws Exception {
    var unused = caller.getInputStream().readAllBytes();
  }

  // Guards against counting a caller's close as an abort by the node.
  @Test
  void closeByCallerDuringResponseIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      var unused = startResponse(caller);
      caller.shutdownOutput();
      assertLogged("caller", CloseReason.DISCONNECTED_DURING_RESPONSE, "fin", 1, false);
    }
    assertCountedAs(CloseReason.DISCONNECTED_DURING_RESPONSE);
  }

  // Guards against counting a caller's reset as an abort by the node.
  @Test
  void resetByCallerDuringResponseIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      startResponse(caller);
      caller.setSoLinger(true, 0);
    }
    assertCountedAs(CloseReason.DISCONNECTED_DURING_RESPONSE);
    assertLogged("caller", CloseReason.DISCONNECTED_DURING_RESPONSE, "reset", 1, false);
  }

  // Guards against counting a caller's close before the response head as an abort by the node.
  @Test
  void closeByCallerBeforeResponseHeadIsCounted() throws Exception {
    EntryFixture.ReceivedRequest request;
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      request = server.next();
    }
    assertCountedAs(CloseReason.DISCONNECTED_DURING_RESPONSE);
    request.awaitDisconnect();
    assertEquals(1, request.disconnects());
  }

  // Guards against a shutdown that waits for disconnected callers, whose responses never end.
  @Test
  void connectionOfDisconnectedCallerIsNotActive() throws Exception {
    EntryFixture.ReceivedRequest request;
    try (Socket caller = server.connect()) {
      request = startResponse(caller);
    }
    request.awaitDisconnect();
    server.runOnEventLoop(() -> assertEquals(0, server.connections.activeCount()));
  }

  // Guards against counting an abort by the node as a caller's close.
  @Test
  void abortOfResponseIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      EntryFixture.ReceivedRequest request = startResponse(caller);
      server.runOnEventLoop(request.response::abort);
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.ABORTED);
    assertLogged("node", CloseReason.ABORTED, "abort", 1, false);
  }

  // Guards against counting a close that was announced to the caller as an abort.
  @Test
  void closeAfterLastResponseIsCounted() throws Exception {
    server.closeAfterResponses();
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      sendResponse(server.next());
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.LAST_RESPONSE);
    assertEquals(0, events.count(Event.CALLER_CONNECTION_CLOSED));
  }

  // Guards against counting a close that the caller requested as an abort.
  @Test
  void closeRequestedByCallerIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller, "GET", "Connection: close\r\n");
      sendResponse(server.next());
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.BETWEEN_RESPONSES);
  }

  // Guards against counting a caller's close between responses as an abort.
  @Test
  void closeByCallerBetweenResponsesIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      EntryFixture.sendRequest(caller);
      sendResponse(server.next());
      var unused = caller.getInputStream().read();
    }
    assertCountedAs(CloseReason.DISCONNECTED);
    assertEquals(0, events.count(Event.CALLER_CONNECTION_CLOSED));
  }

  // Guards against a close by a caller, noticed by a failed write, that is attributed to the node.
  @Test
  void resetByCallerNoticedByWriteIsCounted() throws Exception {
    Socket caller = server.connect();
    EntryFixture.ReceivedRequest request = startResponse(caller);
    server.runOnEventLoop(
        () -> {
          reset(caller);
          request.response.data(new byte[1]);
        });
    assertCountedAs(CloseReason.DISCONNECTED_DURING_RESPONSE);
    assertLogged("caller", CloseReason.DISCONNECTED_DURING_RESPONSE, "write", 2, false);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // Guards against a close for what came after a request that can't be told from an abort.
  @Test
  void closeForNextRequestIsCounted() throws Exception {
    server.setMaxHeaderBytes(MAX_HEAD_BYTES);
    try (Socket caller = server.connect()) {
      String next = "GET / HTTP/1.1\r\nX: " + "x".repeat(15 * MAX_HEAD_BYTES);
      String request = "GET / HTTP/1.1\r\n\r\n";
      caller.getOutputStream().write((request + next).getBytes(US_ASCII));
      sendResponse(server.next());
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.INPUT_REFUSED);
  }

  // Guards against a response that a stop cuts and that can't be told from an abort.
  @Test
  void closeAtEndOfStopIsCounted() throws Exception {
    try (Socket caller = server.connect()) {
      var unused = startResponse(caller);
      server.runOnEventLoop(server.connections::closeNow);
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.STOP_EXPIRED);
    assertLogged("node", CloseReason.STOP_EXPIRED, "exit", 1, false);
  }

  // Guards against a close by the server itself that can't be told from an aborted response.
  @Test
  void closeOfServerDuringResponseIsLogged() throws Exception {
    try (Socket caller = server.connect()) {
      var unused = startResponse(caller);
      server.closeConnections();
      readToEnd(caller);
    }
    assertCountedAs(CloseReason.ABORTED);
    assertLogged("node", CloseReason.ABORTED, "close", 1, false);
  }
}
