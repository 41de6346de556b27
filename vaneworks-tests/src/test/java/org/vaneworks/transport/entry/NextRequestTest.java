package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.telemetry.Metric;

/**
 * Tests over sockets that a response in progress is delivered whatever its caller has sent after
 * the request on the same connection.
 */
final class NextRequestTest {
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String MALFORMED = "\u0001 no request\r\n\r\n";
  private static final String CLOSE = "Content-Length: 0\r\nConnection: close\r\n\r\n";

  private static final int MAX_HEAD_BYTES = 100;

  private static final int LARGE_MEMORY_BYTES = 32 << 20;
  private static final int BODY_BYTES = 600_000;
  private static final int PART_BYTES = 1 << 16;
  private static final int PARTS = 128;

  /** As many as the sockets hold. */
  private static final int LAST_PARTS = 8;

  private static final int READ_BYTES = 1 << 14;

  /** Only bounds a failing test. */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final int LAST_CHARACTERS = 100;

  private static final int POLLS = 5;

  /** Less than is read at a time, so that it is read with the request before it. */
  private static final String LONG_TEXT = "x".repeat(1500);

  /** Suffices for a connection and a request, but not for more than a part of another head. */
  private static final long MEMORY_BYTES = InputMemory.CONNECTION_BYTES + InputMemory.REQUEST_BYTES;

  private EntryFixture server;

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  private static void send(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  private void respond(EntryFixture.ReceivedRequest request, String body) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.data(body.getBytes(US_ASCII));
          request.response.end();
        });
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

  /** Removes the response with a body from the start of a text, and returns the rest. */
  private static String afterResponse(String body, String received) {
    String end = body.length() + "\r\n" + body + "\r\n0\r\n\r\n";
    assertTrue(received.startsWith("HTTP/1.1 200 "), () -> "received: " + received);
    assertTrue(received.contains(end), () -> "received: " + received);
    return received.substring(received.indexOf(end) + end.length());
  }

  private void respondInParts(EntryFixture.ReceivedRequest request, int parts) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          for (int i = 0; i < parts; i++) {
            request.response.data("x".repeat(PART_BYTES).getBytes(US_ASCII));
          }
          request.response.end();
        });
  }

  private static String headOfBody(int bytes) {
    return "POST / HTTP/1.1\r\nContent-Length: " + bytes + "\r\n\r\n";
  }

  private static String lastOf(String text) {
    return text.substring(Math.max(0, text.length() - LAST_CHARACTERS));
  }

  /** Sends a request with what follows it, and returns what comes after its response. */
  private String exchangeFollowedBy(String next) throws Exception {
    try (Socket caller = server.connect()) {
      send(caller, REQUEST + next);
      EntryFixture.ReceivedRequest request = server.next();
      // What follows the request has been read by the time that the event loop runs this.
      server.runOnEventLoop(() -> {});
      respond(request, "first");
      return afterResponse("first", readToEnd(caller));
    }
  }

  // Guards against a response in progress that is cut because the next request is malformed.
  @Test
  void malformedNextRequestDoesNotCutResponse() throws Exception {
    server = EntryFixture.start();
    assertEquals("HTTP/1.1 400 \r\n" + CLOSE, exchangeFollowedBy(MALFORMED));
  }

  // Guards against a response in progress that is cut because the next head is too large.
  @Test
  void oversizedNextHeadDoesNotCutResponse() throws Exception {
    server = EntryFixture.start();
    server.setMaxHeaderBytes(MAX_HEAD_BYTES);
    String next = "GET / HTTP/1.1\r\nX: " + LONG_TEXT;
    assertEquals("HTTP/1.1 431 \r\n" + CLOSE, exchangeFollowedBy(next));
  }

  // Guards against a response in progress that is cut as there is no memory for the next request.
  @Test
  void nextRequestWithoutMemoryDoesNotCutResponse() throws Exception {
    server = EntryFixture.start(MEMORY_BYTES);
    String next = "GET / HTTP/1.1\r\nX: " + LONG_TEXT + "\r\n\r\n";
    assertEquals("HTTP/1.1 503 \r\nRetry-After: 1\r\n" + CLOSE, exchangeFollowedBy(next));
  }

  // Guards against a response that is cut, though its caller still reads it, because that caller
  // has stopped within the body of the next request and memory is short.
  @Test
  void nextBodyThatIsGivenUpDoesNotCutResponse() throws Exception {
    server = EntryFixture.start(LARGE_MEMORY_BYTES);
    server.setMaxBodyBytes(LARGE_MEMORY_BYTES);
    try (Socket caller = server.connect();
        Socket other = server.connect()) {
      send(caller, REQUEST + headOfBody(BODY_BYTES));
      respondInParts(server.next(), PARTS);
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      // The second request starts once the response was passed to the channel.
      InputStream in = caller.getInputStream();
      long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
      while (server.memory.heldBytes() != BODY_BYTES + BodyCollector.WRITE_COPY_BYTES) {
        assertTrue(System.nanoTime() < giveUpAt, () -> "held: " + server.memory.heldBytes());
        // The socket may hold the rest of the response before the second request starts.
        received.write(in.readNBytes(Math.min(in.available(), READ_BYTES)));
      }
      // The pause of the body is measured from the end of the event in which its memory is taken.
      server.runOnEventLoop(() -> {});
      server.advanceTime(PendingInput.MAX_PAUSE);
      // Fits once the body of the other caller is given up.
      send(other, headOfBody(LARGE_MEMORY_BYTES * 7 / 8 - BODY_BYTES * 2 / 3));

      received.write(readToEnd(caller).getBytes(ISO_8859_1));
      String text = received.toString(ISO_8859_1);
      assertTrue(text.endsWith("x\r\n0\r\n\r\n"), () -> "the end: " + lastOf(text));
    }
  }

  /** Returns the length of a body that has room only if another connection is given up. */
  private int bodyThatFitsWithoutOneConnection() throws Exception {
    AtomicLong counted = new AtomicLong();
    server.runOnEventLoop(() -> counted.set(server.memory.countedBytes()));
    long room = LARGE_MEMORY_BYTES * 7L / 8 - counted.get();
    // The head takes less than the other half of a connection's memory.
    return (int) room
        - InputMemory.REQUEST_BYTES
        - BodyCollector.WRITE_COPY_BYTES
        + InputMemory.CONNECTION_BYTES / 2;
  }

  // Guards against a last response that is cut, though its caller still reads it, because memory is
  // short and that caller sends another request.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lastResponseIsNotCut(boolean memoryIsShort) throws Exception {
    server = EntryFixture.startLingering(LARGE_MEMORY_BYTES);
    server.setMaxBodyBytes(LARGE_MEMORY_BYTES);
    server.closeAfterResponses();
    try (Socket caller = server.connect();
        Socket other = server.connect()) {
      send(caller, REQUEST);
      respondInParts(server.next(), LAST_PARTS);
      long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
      while (server.counters.value(Metric.CALLER_CLOSES, "last-answer") == 0) {
        assertTrue(System.nanoTime() < giveUpAt, "the sockets do not hold the response");
      }
      if (memoryIsShort) {
        send(other, headOfBody(bodyThatFitsWithoutOneConnection()));
        assertEquals(
            "HTTP/1.1 503 ", new String(other.getInputStream().readNBytes(13), ISO_8859_1));
      }

      send(caller, REQUEST);
      String text = readToEnd(caller);
      assertTrue(text.endsWith("x\r\n0\r\n\r\n"), () -> "the end: " + lastOf(text));
    }
  }

  /** Asks for memory that is free only if a connection is given up. */
  private void askForMoreThanIsFree() {
    long free = LARGE_MEMORY_BYTES - server.memory.countedBytes();
    var unused = server.memory.hasRoom(free + 1, 1);
  }

  // Guards against a last response that is cut, though its caller still reads it, because that
  // caller is slow to read it, memory is short, and the caller sends another request.
  @Test
  void lastResponseOfSlowReaderIsNotCut() throws Exception {
    server = EntryFixture.startLingering(LARGE_MEMORY_BYTES);
    server.closeAfterResponses();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST);
      respondInParts(server.next(), LAST_PARTS);
      long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
      while (server.counters.value(Metric.CALLER_CLOSES, "last-answer") == 0) {
        assertTrue(System.nanoTime() < giveUpAt, "the sockets do not hold the response");
      }
      server.advanceTime(PendingInput.MAX_PAUSE);
      server.runOnEventLoop(this::askForMoreThanIsFree);
      // Connections that are given up at rest are closed by the time that the last of these runs.
      for (int i = 0; i < POLLS; i++) {
        server.runOnEventLoop(() -> {});
      }

      send(caller, REQUEST);
      String text = readToEnd(caller);
      assertTrue(text.endsWith("x\r\n0\r\n\r\n"), () -> "the end: " + lastOf(text));
    }
  }

  // Guards against a refusal that is due and not sent, as its connection is given up to make room.
  @Test
  void refusalThatIsDueIsSentAlthoughMemoryIsShort() throws Exception {
    server = EntryFixture.start(LARGE_MEMORY_BYTES);
    try (Socket caller = server.connect()) {
      send(caller, REQUEST + MALFORMED);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(
          () -> {
            request.response.head(EntryFixture.responseHead());
            request.response.data("first".getBytes(US_ASCII));
            request.response.end();
            server.advanceTime(PendingInput.MAX_PAUSE);
            askForMoreThanIsFree();
          });
      String rest = afterResponse("first", readToEnd(caller));
      assertEquals("HTTP/1.1 400 \r\n" + CLOSE, rest);
    }
  }

  // Guards against a response in progress that is cut because the next body is malformed.
  @Test
  void malformedNextBodyDoesNotCutResponse() throws Exception {
    server = EntryFixture.start();
    String rest = exchangeFollowedBy(CHUNKED + "5\r\nhello\r\nzz\r\n");
    assertTrue(rest.startsWith("HTTP/1.1 400 "), rest);
    assertEquals(0, rest.lastIndexOf("HTTP/1.1 "), rest);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a response in progress that is cut because the next trailers are too long.
  @Test
  void oversizedNextTrailersDoNotCutResponse() throws Exception {
    server = EntryFixture.start();
    server.setMaxHeaderBytes(MAX_HEAD_BYTES);
    String rest = exchangeFollowedBy(CHUNKED + "0\r\n" + "T: y\r\n".repeat(250));
    assertTrue(rest.startsWith("HTTP/1.1 431 "), rest);
    assertEquals(0, rest.lastIndexOf("HTTP/1.1 "), rest);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a valid request that gets no answer because the one after it is malformed.
  @Test
  void requestBeforeMalformedOneIsAnswered() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST + REQUEST + MALFORMED);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(() -> {});
      respond(request, "first");
      respond(server.next(), "second");
      String rest = afterResponse("second", afterResponse("first", readToEnd(caller)));
      assertEquals("HTTP/1.1 400 \r\n" + CLOSE, rest);
    }
  }

  // Guards against bytes after a malformed request that are taken for a request.
  @Test
  void requestAfterMalformedOneIsNotPassedOn() throws Exception {
    server = EntryFixture.start();
    assertEquals("HTTP/1.1 400 \r\n" + CLOSE, exchangeFollowedBy(MALFORMED + REQUEST));
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a request that was read, and gets no answer because the response before it
  // announced the close of the connection.
  @Test
  void requestThatWaitsIsAnsweredBeforeTheClose() throws Exception {
    server = EntryFixture.start();
    server.closeAfterResponses();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST + REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(() -> {});
      respond(request, "first");
      respond(server.next(), "second");
      assertEquals("", afterResponse("second", afterResponse("first", readToEnd(caller))));
    }
  }

  // Guards against a request that had arrived, and gets no answer because the response before it
  // announced the close of the connection.
  @Test
  void requestThatHasArrivedIsAnsweredBeforeTheClose() throws Exception {
    server = EntryFixture.start();
    server.closeAfterResponses();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      send(caller, REQUEST);
      respond(request, "first");
      respond(server.next(), "second");
      assertEquals("", afterResponse("second", afterResponse("first", readToEnd(caller))));
    }
  }

  // Guards against a request that had arrived, and gets no answer because the response before it
  // announced the close of the connection.
  @Test
  void requestThatHasArrivedIsAnsweredAfterRefusalBeforeTheClose() throws Exception {
    server = EntryFixture.start();
    server.closeAfterResponses();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      send(caller, REQUEST);
      server.runOnEventLoop(
          () -> request.response.refuse(Refusal.nothingSent(Reason.NO_ENDPOINT, "full")));
      respond(server.next(), "second");
      String received = readToEnd(caller);
      assertTrue(received.startsWith("HTTP/1.1 503 "), received);
      assertEquals("", afterResponse("second", received.substring(received.indexOf("}") + 1)));
    }
  }

  // Guards against a request that has arrived, and gets no answer because the node stops listening
  // while the one before it is in progress.
  @Test
  void requestThatHasArrivedIsAnsweredAfterListeningStops() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST);
      EntryFixture.ReceivedRequest first = server.next();
      send(caller, REQUEST);
      server.stopListening();
      server.runOnEventLoop(server.connections::closeBetweenRequests);
      respond(first, "first");
      server.runOnEventLoop(server.connections::closeBetweenRequests);
      respond(server.next(), "second");
      server.runOnEventLoop(server.connections::closeBetweenRequests);
      assertEquals("", afterResponse("second", afterResponse("first", readToEnd(caller))));
      assertThrows(ConnectException.class, server::connect);
    }
  }

  // Guards against a request that was read, and is passed on without an answer, because the server
  // is closed.
  @Test
  void requestThatWaitsIsAnsweredByClosingServer() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = server.connect()) {
      send(caller, REQUEST + REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(() -> server.server.closeAsyncGracefully().subscribe());
      respond(request, "first");
      respond(server.next(), "second");
      assertEquals("", afterResponse("second", afterResponse("first", readToEnd(caller))));
    }
  }

  // Guards against a request that is passed on although its caller has asked to close the
  // connection before it, so that it can't be answered.
  @Test
  void requestAfterRequestedCloseIsNotPassedOn() throws Exception {
    server = EntryFixture.start();
    try (Socket caller = server.connect()) {
      send(caller, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n" + REQUEST);
      EntryFixture.ReceivedRequest request = server.next();
      server.runOnEventLoop(() -> {});
      respond(request, "first");
      assertEquals("", afterResponse("first", readToEnd(caller)));
    }
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a request that is passed on although the one before it was refused with a close
  // of the connection.
  @Test
  void requestAfterRefusedBodyIsNotPassedOn() throws Exception {
    server = EntryFixture.start();
    server.setMaxBodyBytes(1);
    try (Socket caller = server.connect()) {
      send(caller, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + REQUEST);
      String received = readToEnd(caller);
      assertTrue(received.startsWith("HTTP/1.1 413 "), received);
    }
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a request that is passed on behind the refusal, with a close, of one that had
  // waited for another response.
  @Test
  void requestAfterRefusalOfWaitingOneIsNotPassedOn() throws Exception {
    server = EntryFixture.start();
    server.setMaxHeaderBytes(MAX_HEAD_BYTES);
    String refused = "GET / HTTP/1.1\r\nX: " + "x".repeat(MAX_HEAD_BYTES) + "\r\n\r\n";
    String rest = exchangeFollowedBy(refused + REQUEST);
    assertTrue(rest.startsWith("HTTP/1.1 431 "), rest);
    assertEquals(0, rest.lastIndexOf("HTTP/1.1 "), rest);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against the body of a refused request that is taken for the head of the next one.
  @Test
  void bodyOfRefusedRequestIsNotTakenForHead() throws Exception {
    server = EntryFixture.start();
    server.dialect.id = Optional.empty();
    try (Socket caller = server.connect()) {
      send(caller, headOfBody(BODY_BYTES));
      String refusal = "";
      while (!refusal.endsWith("}")) {
        int next = caller.getInputStream().read();
        assertTrue(next >= 0, refusal);
        refusal += (char) next;
      }
      server.dialect.id = Optional.of("q1");
      send(caller, "x".repeat(BODY_BYTES));
      send(caller, REQUEST);
      respond(server.next(), "next");
      byte[] start = caller.getInputStream().readNBytes(13);
      assertEquals("HTTP/1.1 200 ", new String(start, ISO_8859_1), refusal);
    }
  }
}
