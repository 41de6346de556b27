package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.transport.entry.EntryFixture.ReceivedRequest;

/** Tests that what a node holds for callers is bounded and released. */
final class NodeMemoryTest {
  private static final long MEGABYTE = 1 << 20;

  /** Only bounds a failing test. */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final int BODY_BYTES = 300_000;

  /** Has no room in one and a half megabytes, even if nothing else is held. */
  private static final int TOO_LARGE_BYTES = 1_400_000;

  /** More than the head of a request of this test. */
  private static final int HEAD_BYTES = 2048;

  private EntryFixture server;
  private final List<Socket> callers = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (Socket caller : callers) {
      caller.close();
    }
    server.close();
  }

  private void start(long memoryBytes) throws Exception {
    server = EntryFixture.start(memoryBytes);
    server.setMaxBodyBytes((int) (4 * MEGABYTE));
  }

  private Socket connect() throws IOException {
    Socket caller = server.connect();
    callers.add(caller);
    return caller;
  }

  private Socket sendHead(int bodyBytes) throws IOException {
    Socket caller = connect();
    EntryFixture.sendRequest(caller, "POST", "content-length: " + bodyBytes + "\r\n");
    return caller;
  }

  private long held() throws Exception {
    long[] held = new long[1];
    server.runOnEventLoop(() -> held[0] = server.memory.heldBytes());
    return held[0];
  }

  private long counted() throws Exception {
    long[] counted = new long[1];
    server.runOnEventLoop(() -> counted[0] = server.memory.countedBytes());
    return counted[0];
  }

  /** Waits until at least a number of bytes is held, or exactly none. */
  private void awaitHeld(long bytes) throws Exception {
    long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
    while (bytes == 0 ? held() != 0 : held() < bytes) {
      assertTrue(System.nanoTime() < giveUpAt, "held: " + held() + ", expected: " + bytes);
    }
  }

  /** Waits until exactly a number of bytes is counted. */
  private void awaitCounted(long bytes) throws Exception {
    long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
    while (counted() != bytes) {
      assertTrue(System.nanoTime() < giveUpAt, "counted: " + counted() + ", expected: " + bytes);
    }
  }

  private void awaitRefusals(int count) {
    long giveUpAt = System.nanoTime() + MAX_WAIT_NANOS;
    while (server.counters.value(Metric.REFUSALS, "node-memory") < count) {
      assertTrue(System.nanoTime() < giveUpAt, "refusals");
    }
  }

  /** Reads up to the end of the connection. */
  private static String readAll(Socket caller) throws IOException {
    return new String(caller.getInputStream().readAllBytes(), ISO_8859_1);
  }

  /** Reads a response whose body is one JSON object. */
  private static String readRefusal(Socket caller) throws IOException {
    String answer = "";
    while (!answer.endsWith("}")) {
      int next = caller.getInputStream().read();
      assertTrue(next >= 0, answer);
      answer += (char) next;
    }
    return answer;
  }

  private static void assertRefusedForMemory(Socket caller) throws IOException {
    String answer = readRefusal(caller);
    assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
    assertTrue(answer.contains("connection: close\r\n"), answer);
    assertTrue(answer.contains("retry-after: "), answer);
    assertTrue(answer.contains("node-memory"), answer);
    assertTrue(answer.contains("NOT_RUN"), answer);
  }

  private void answer(ReceivedRequest request) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          request.response.data("done".getBytes(US_ASCII));
          request.response.end();
        });
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

  // Guards against bodies that together exhaust the heap, which ended the event loop: at the heap
  // of
  // a node, 153 bodies of 220 kB did. The bodies are held all at once; the budget is less than the
  // sum of them.
  @ParameterizedTest
  @CsvSource({"150, 200000, 8", "64, 1048576, 16", "16, 4194304, 20", "40, 400000, 4"})
  void bodiesBeyondTheBudgetAreRefusedAtOnceAndSmallRequestsGoOn(
      int count, int bodyBytes, int budgetMegabytes) throws Exception {
    long budget = budgetMegabytes * MEGABYTE;
    start(budget);
    List<Socket> accepted = new ArrayList<>();
    int refused = 0;
    for (int i = 0; i < count; i++) {
      long before = held();
      long countedBefore = counted();
      Socket caller = sendHead(bodyBytes);
      long overhead = InputMemory.CONNECTION_BYTES + InputMemory.REQUEST_BYTES;
      long needed = countedBefore + overhead + bodyBytes + BodyCollector.WRITE_COPY_BYTES;
      if (needed + HEAD_BYTES < budget * 7 / 8) {
        awaitHeld(before + bodyBytes);
        accepted.add(caller);
      } else {
        assertTrue(needed > budget * 7 / 8, "depends on the size of the head: " + needed);
        // Before any part of the body was sent.
        assertRefusedForMemory(caller);
        refused++;
      }
      assertTrue(held() <= budget, "held: " + held());
    }
    assertEquals(count, accepted.size() + refused);
    assertTrue(accepted.size() > 1, "accepted: " + accepted.size());
    assertTrue(refused > 1, "refused: " + refused);
    assertEquals(refused, server.counters.value(Metric.REFUSALS, "node-memory"));

    Socket small = connect();
    EntryFixture.sendRequest(small, "POST", "content-length: 5\r\n");
    small.getOutputStream().write("small".getBytes(US_ASCII));
    answer(server.next());
    assertAnswered(small);

    byte[] body = new byte[bodyBytes];
    for (Socket caller : accepted) {
      caller.getOutputStream().write(body);
      ReceivedRequest request = server.next();
      assertEquals(bodyBytes, ((EntryRequest) request.request).body().readableBytes());
      answer(request);
      assertAnswered(caller);
    }
    callers.forEach(NodeMemoryTest::closeQuietly);
    awaitHeld(0);
  }

  private static void closeQuietly(Socket caller) {
    try {
      caller.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // Guards against callers that are refused because others hold memory for bodies that they do not
  // send, and against the loss of a caller that has paused for less time.
  @Test
  void onlyStalledBodiesAreGivenUpWhenMemoryIsShort() throws Exception {
    start(MEGABYTE * 3 / 2);
    int thirdBytes = 850_000; // Fits once one of the others is given up.
    Socket stalled = sendHead(BODY_BYTES);
    awaitHeld(BODY_BYTES);
    server.advanceTime(PendingInput.MAX_PAUSE.dividedBy(2));
    Socket paused = sendHead(BODY_BYTES);
    awaitHeld(2 * BODY_BYTES);
    server.advanceTime(PendingInput.MAX_PAUSE.dividedBy(2));
    Socket third = sendHead(thirdBytes);

    assertEquals("", readAll(stalled));
    for (Socket caller : List.of(paused, third)) {
      caller.getOutputStream().write(new byte[caller == third ? thirdBytes : BODY_BYTES]);
      answer(server.next());
      assertAnswered(caller);
    }
    assertEquals(1, server.counters.value(Metric.CALLER_CLOSES, "input-given-up"));
  }

  private Socket connectAndExchange() throws Exception {
    Socket caller = connect();
    EntryFixture.sendRequest(caller);
    answer(server.next());
    assertAnswered(caller);
    // The connection rests from the end of the event in which the response was written.
    server.runOnEventLoop(() -> {});
    return caller;
  }

  private static void sendQuietly(Socket caller, String method, String headers) {
    try {
      EntryFixture.sendRequest(caller, method, headers);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the size of a body that has room once one connection at rest is given up. */
  private int bytesBeyondRoom(long budget) throws Exception {
    long copyBytes = InputMemory.REQUEST_BYTES + BodyCollector.WRITE_COPY_BYTES;
    long room = budget * 7 / 8 - counted() - copyBytes;
    return (int) (room + InputMemory.CONNECTION_BYTES - HEAD_BYTES);
  }

  // Guards against a request that is lost because its connection, which has rested until then, is
  // closed for memory before the event loop reads it.
  @Test
  void requestThatArrivedBeforeConnectionsAtRestAreGivenUpIsAnswered() throws Exception {
    long budget = MEGABYTE * 3 / 2;
    start(budget);
    Socket resting = connectAndExchange();
    Socket other = connectAndExchange();
    server.advanceTime(PendingInput.MAX_PAUSE);
    int bodyBytes = bytesBeyondRoom(budget);
    server.runOnEventLoop(
        () -> {
          sendQuietly(other, "POST", "content-length: " + bodyBytes + "\r\n");
          sendQuietly(resting, "GET", "");
        });

    answer(server.next());
    assertAnswered(resting);
    other.getOutputStream().write(new byte[bodyBytes]);
    answer(server.next());
    assertAnswered(other);
  }

  // Guards against connections at rest that keep the memory that others need.
  @Test
  void connectionAtRestIsGivenUpForABody() throws Exception {
    long budget = MEGABYTE * 3 / 2;
    start(budget);
    Socket resting = connectAndExchange();
    Socket other = connectAndExchange();
    server.advanceTime(PendingInput.MAX_PAUSE);
    int bodyBytes = bytesBeyondRoom(budget);
    EntryFixture.sendRequest(other, "POST", "content-length: " + bodyBytes + "\r\n");

    assertEquals("", readAll(resting));
    other.getOutputStream().write(new byte[bodyBytes]);
    answer(server.next());
    assertAnswered(other);
    assertEquals(1, server.counters.value(Metric.CALLER_CLOSES, "input-given-up"));
    callers.forEach(NodeMemoryTest::closeQuietly);
    awaitHeld(0);
    server.closeConnections();
    awaitCounted(0);
  }

  /** What follows once a connection was given up at rest. */
  enum AfterRest {
    NOTHING,
    REQUEST,
    PART_OF_HEAD,
    EMPTY_LINE,
    LEFT,
    RESET,
    IDLE_CLOSE,
    CLOSE_BETWEEN_REQUESTS,
    CLOSE_NOW
  }

  private void follow(AfterRest next, Socket resting) {
    try {
      switch (next) {
        case NOTHING -> {}
        case REQUEST -> EntryFixture.sendRequest(resting);
        case PART_OF_HEAD -> resting.getOutputStream().write("GET / HT".getBytes(US_ASCII));
        case EMPTY_LINE -> resting.getOutputStream().write("\r\n".getBytes(US_ASCII));
        case LEFT -> resting.shutdownOutput();
        case RESET -> {
          resting.setSoLinger(true, 0);
          resting.close();
        }
        case IDLE_CLOSE -> server.connections.closeIdle();
        case CLOSE_BETWEEN_REQUESTS -> server.connections.closeBetweenRequests();
        case CLOSE_NOW -> server.connections.closeNow();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean makesRoomByGivingUp() {
    long free = server.memory.limitBytes() - server.memory.countedBytes();
    return server.memory.hasRoom(free + 1, 1);
  }

  // Guards against memory of a connection given up at rest that is returned twice or never, or that
  // keeps others from being given up.
  @ParameterizedTest
  @EnumSource
  void connectionGivenUpAtRestIsCountedOnce(AfterRest next) throws Exception {
    // A connection holds more than may be closing at a time.
    start(InputMemory.CONNECTION_BYTES * 8 - 1);
    Socket resting = connectAndExchange();
    server.advanceTime(PendingInput.MAX_PAUSE);
    server.runOnEventLoop(
        () -> {
          assertTrue(makesRoomByGivingUp());
          assertEquals(0, server.memory.countedBytes());
          follow(next, resting);
        });
    if (next == AfterRest.PART_OF_HEAD) {
      awaitCounted(InputMemory.CONNECTION_BYTES + "GET / HT".length());
      resting.getOutputStream().write("TP/1.1\r\nHost: a\r\n\r\n".getBytes(US_ASCII));
    }
    if (next == AfterRest.REQUEST || next == AfterRest.PART_OF_HEAD) {
      answer(server.next());
      assertAnswered(resting);
    }

    awaitCounted(resting.isClosed() || !expectsConnection(next) ? 0 : InputMemory.CONNECTION_BYTES);
    if (expectsConnection(next)) {
      server.advanceTime(PendingInput.MAX_PAUSE);
      server.runOnEventLoop(() -> assertTrue(makesRoomByGivingUp()));
    }
    closeQuietly(resting);
    server.closeConnections();
    awaitCounted(0);
    server.runOnEventLoop(
        () -> {
          MemoryBudget budget = server.memory;
          budget.addInput(1);
          budget.addPending(
              new PendingInput(
                  budget.clock(), () -> 0, () -> true, () -> true, () -> 1, this::returnOne));
          assertTrue(makesRoomByGivingUp());
        });
  }

  private void returnOne() {
    server.memory.addInput(-1);
  }

  private static boolean expectsConnection(AfterRest next) {
    return next == AfterRest.REQUEST || next == AfterRest.PART_OF_HEAD;
  }

  // Guards against a connection that is closed to make room for the request that arrives on it, as
  // it has rested until then.
  @Test
  void connectionIsNotGivenUpForItsOwnRequest() throws Exception {
    long budget = MEGABYTE * 3 / 2;
    start(budget);
    Socket caller = connectAndExchange();
    Socket resting = connectAndExchange();
    server.advanceTime(PendingInput.MAX_PAUSE.multipliedBy(3));
    long otherBytes = budget * 9 / 8 - counted(); // Heads may exceed the limit by an eighth.
    server.runOnEventLoop(() -> server.memory.addInput(otherBytes));
    EntryFixture.sendRequest(caller);

    answer(server.next());
    assertAnswered(caller);
    assertEquals("", readAll(resting));
    callers.forEach(NodeMemoryTest::closeQuietly);
    server.closeConnections();
    awaitCounted(otherBytes);
  }

  // Guards against a connection that is closed without an answer to make room for a part of its own
  // body, as that part has arrived after a pause.
  @Test
  void bodyIsNotGivenUpForItsOwnNextPart() throws Exception {
    long budget = MEGABYTE * 3 / 2;
    start(budget);
    Socket caller = connect();
    EntryFixture.sendRequest(caller, "POST", "transfer-encoding: chunked\r\n");
    byte[] chunk = ("200\r\n" + "x".repeat(1 << 9) + "\r\n").getBytes(US_ASCII);
    caller.getOutputStream().write(chunk);
    awaitHeld(1);
    server.advanceTime(PendingInput.MAX_PAUSE);
    long otherBytes = budget - counted();
    server.runOnEventLoop(() -> server.memory.addInput(otherBytes));
    caller.getOutputStream().write(chunk);

    assertRefusedForMemory(caller);
    server.runOnEventLoop(() -> server.memory.addInput(-otherBytes));
    awaitHeld(0);
  }

  // Guards against the same close for the rest of a head.
  @Test
  void headIsNotGivenUpForItsOwnRest() throws Exception {
    long budget = MEGABYTE * 3 / 2;
    start(budget);
    Socket caller = connectAndExchange();
    long atRest = counted();
    String line = "GET / HTTP/1.1\r\n";
    caller.getOutputStream().write(line.getBytes(US_ASCII));
    awaitCounted(atRest + line.length() + InputMemory.LINE_BYTES);
    server.advanceTime(PendingInput.MAX_PAUSE);
    long otherBytes = budget * 9 / 8 - counted(); // Heads may exceed the limit by an eighth.
    server.runOnEventLoop(() -> server.memory.addInput(otherBytes));
    caller.getOutputStream().write("Host: a\r\n\r\n".getBytes(US_ASCII));

    String answer = readAll(caller);
    assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
    server.closeConnections();
    awaitCounted(otherBytes);
  }

  // Guards against a refused caller that is reset while it still sends its body, as the node has no
  // memory for the body of another one either.
  @Test
  void refusedCallerIsNotResetByNextRefusal() throws Exception {
    start(MEGABYTE * 3 / 2);
    Socket first = sendHead(TOO_LARGE_BYTES);
    awaitRefusals(1);
    assertRefusedForMemory(sendHead(TOO_LARGE_BYTES));

    first.getOutputStream().write(new byte[TOO_LARGE_BYTES]);
    assertRefusedForMemory(first);
  }

  // Guards against callers that are given up for a body that has no room without them either.
  @Test
  void stalledBodyIsNotGivenUpForBodyThatNeverFits() throws Exception {
    start(MEGABYTE * 3 / 2);
    Socket stalled = sendHead(BODY_BYTES);
    awaitHeld(BODY_BYTES);
    server.advanceTime(PendingInput.MAX_PAUSE);
    assertRefusedForMemory(sendHead(TOO_LARGE_BYTES));

    stalled.getOutputStream().write(new byte[BODY_BYTES]);
    answer(server.next());
    assertAnswered(stalled);
  }

  // Guards against a body of unknown length that is collected although no memory is left.
  @Test
  void chunkedBodyIsRefusedAsSoonAsItExceedsTheBudget() throws Exception {
    start(MEGABYTE);
    Socket caller = connect();
    EntryFixture.sendRequest(caller, "POST", "transfer-encoding: chunked\r\n");
    byte[] chunk = ("10000\r\n" + "x".repeat(1 << 16) + "\r\n").getBytes(US_ASCII);
    // The body has no end, so the response can't have waited for it.
    for (int i = 0; i < 16; i++) {
      caller.getOutputStream().write(chunk);
    }
    assertRefusedForMemory(caller);
    awaitHeld(0);
  }

  // Guards against a refusal that the caller does not get, as the connection is reset while it
  // sends
  // its body.
  @Test
  void bodyOfARefusedRequestIsDroppedAndItsConnectionClosed() throws Exception {
    start(MEGABYTE);
    int bodyBytes = (int) (2 * MEGABYTE);
    Socket caller = sendHead(bodyBytes);
    caller.getOutputStream().write(new byte[bodyBytes]);
    assertRefusedForMemory(caller);
    assertEquals("", readAll(caller));
    awaitHeld(0);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against a caller that is refused although its chunked body has room.
  @Test
  void chunkedBodyWithinTheBudgetIsForwarded() throws Exception {
    start(4 * MEGABYTE);
    Socket caller = connect();
    EntryFixture.sendRequest(caller, "POST", "transfer-encoding: chunked\r\n");
    byte[] chunk = ("10000\r\n" + "x".repeat(1 << 16) + "\r\n").getBytes(US_ASCII);
    for (int i = 0; i < 8; i++) {
      caller.getOutputStream().write(chunk);
    }
    caller.getOutputStream().write("0\r\n\r\n".getBytes(US_ASCII));
    ReceivedRequest request = server.next();
    assertEquals(8 << 16, ((EntryRequest) request.request).body().readableBytes());
    assertTrue(held() >= 8 << 16, "held: " + held());
    answer(request);
    assertAnswered(caller);
    awaitHeld(0);
  }

  /** The ends of a request whose body was forwarded. */
  enum End {
    ANSWERED,
    REFUSED,
    DEADLINE,
    ENDPOINT_FAILED,
    CALLER_GONE,
    CALLER_GONE_WHILE_ANSWER_IS_BUFFERED,
    CALLER_GONE_AFTER_THE_LAST_PART
  }

  private void end(End end, ReceivedRequest request, Socket caller) throws Exception {
    switch (end) {
      case ANSWERED -> answer(request);
      case REFUSED ->
          server.runOnEventLoop(
              () -> request.response.refuse(Refusal.nothingSent(Reason.NO_ENDPOINT, "full")));
      case DEADLINE ->
          server.runOnEventLoop(
              () -> request.response.refuse(Refusal.mayHaveRun(Reason.DEADLINE, "late")));
      case ENDPOINT_FAILED ->
          server.runOnEventLoop(
              () -> {
                request.response.head(EntryFixture.responseHead());
                request.response.abort();
              });
      case CALLER_GONE -> caller.close();
      case CALLER_GONE_WHILE_ANSWER_IS_BUFFERED -> {
        sendUnreadAnswer(request, false);
        caller.close();
      }
      case CALLER_GONE_AFTER_THE_LAST_PART -> {
        sendUnreadAnswer(request, true);
        caller.close();
      }
    }
  }

  /** Sends more than the buffers between node and caller take. */
  private void sendUnreadAnswer(ReceivedRequest request, boolean whole) throws Exception {
    server.runOnEventLoop(
        () -> {
          request.response.head(EntryFixture.responseHead());
          for (int i = 0; i < 256; i++) {
            request.response.data(new byte[1 << 16]);
          }
          if (whole) {
            request.response.end();
          }
        });
    assertTrue(held() > 8 * MEGABYTE, "unread answers are not counted: " + held());
  }

  // Guards against memory that stays counted after an end of a request, or is returned twice, which
  // the budget would show as less than nothing.
  @ParameterizedTest
  @EnumSource
  void everyEndReleasesWhatTheRequestHeld(End end) throws Exception {
    start(64 * MEGABYTE);
    Socket caller = sendHead(BODY_BYTES);
    caller.getOutputStream().write(new byte[BODY_BYTES]);
    ReceivedRequest request = server.next();
    assertTrue(held() >= BODY_BYTES, "held: " + held());
    end(end, request, caller);
    awaitHeld(0);
    server.closeConnections();
    assertEquals(0, server.memory.heldBytes());
  }

  // Guards against the memory of a body whose caller leaves before its end.
  @Test
  void callerThatLeavesDuringItsBodyReleasesIt() throws Exception {
    start(64 * MEGABYTE);
    Socket caller = sendHead(BODY_BYTES);
    caller.getOutputStream().write(new byte[BODY_BYTES / 2]);
    awaitHeld(BODY_BYTES);
    caller.close();
    awaitHeld(0);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against memory that is held forever for a caller that sends nothing more of its body.
  @Test
  void callerThatStopsSendingItsBodyReleasesIt() throws Exception {
    server = EntryFixture.startLingering(64 * MEGABYTE);
    // Not before: the connection must not be idle if the test is late to send the head.
    server.dialect.onRequest = () -> server.setIdleTimeout(Duration.ofMillis(100));
    Socket caller = sendHead(BODY_BYTES);
    caller.getOutputStream().write(new byte[BODY_BYTES / 2]);
    String answer = readRefusal(caller);
    assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
    assertTrue(answer.contains("body-too-slow"), answer);
    awaitHeld(0);
    assertEquals(0, server.receivedRequests());
  }

  // Guards against the memory of a body that turns out to be malformed.
  @Test
  void malformedBodyReleasesWhatItHeld() throws Exception {
    start(64 * MEGABYTE);
    Socket caller = connect();
    EntryFixture.sendRequest(caller, "POST", "transfer-encoding: chunked\r\n");
    caller.getOutputStream().write("5\r\nhello\r\nzz\r\n".getBytes(US_ASCII));
    assertTrue(readAll(caller).startsWith("HTTP/1.1 400 "));
    awaitHeld(0);
  }

  // Guards against a lease that returns its bytes while an attempt still writes the body, or twice.
  @Test
  void lastUserOfALeaseReturnsItsBytes() throws Exception {
    start(MEGABYTE);
    MemoryBudget budget = MemoryBudget.of(MEGABYTE, () -> 0, unit -> 0);
    MemoryLease lease = budget.lease();
    assertTrue(lease.tryGrow(1000));
    lease.retain();
    lease.release();
    assertEquals(1000, budget.heldBytes());
    lease.release();
    assertEquals(0, budget.heldBytes());
    assertThrows(IllegalStateException.class, lease::release);
    assertFalse(lease.tryGrow(1));
  }

  // Guards against memory that is taken for a request that was given up to make room for itself.
  @Test
  void leaseThatIsGivenUpToMakeRoomForItselfTakesNothing() throws Exception {
    start(MEGABYTE);
    MemoryBudget budget = MemoryBudget.of(MEGABYTE, () -> 0, unit -> 0);
    MemoryLease lease = budget.lease();
    assertTrue(lease.tryGrow(MEGABYTE / 2));
    budget.addPending(
        new PendingInput(
            budget.clock(),
            () -> 0,
            () -> true,
            () -> true,
            lease::bodyBytes,
            lease::shrinkToNothing));
    assertFalse(lease.tryGrow(MEGABYTE / 2));
    assertEquals(0, budget.heldBytes());
  }

  // Guards against large requests that leave nothing to small ones, and against unread answers that
  // are not taken into account.
  @Test
  void smallRequestsMayUseWhatLargeOnesMustLeave() throws Exception {
    start(MEGABYTE);
    long[] unread = {0};
    MemoryBudget budget = MemoryBudget.of(MEGABYTE, () -> unread[0], unit -> 0);
    MemoryLease large = budget.lease();
    assertTrue(large.tryGrow(MEGABYTE * 7 / 8));
    assertFalse(budget.lease().tryGrow(MemoryBudget.SMALL_REQUEST_BYTES + 1));
    assertTrue(budget.lease().tryGrow(MemoryBudget.SMALL_REQUEST_BYTES));
    unread[0] = MEGABYTE / 8;
    assertFalse(budget.lease().tryGrow(1));
  }

  // Guards against a limit beyond either of the heap and the direct memory of a process.
  @Test
  void limitFollowsTheSmallerOfHeapAndDirectMemory() throws Exception {
    start(MEGABYTE);
    assertEquals(28 * MEGABYTE, MemoryBudget.limitFor(64 * MEGABYTE, 32 * MEGABYTE));
    assertEquals(16 * MEGABYTE, MemoryBudget.limitFor(32 * MEGABYTE, 32 * MEGABYTE));
  }
}
