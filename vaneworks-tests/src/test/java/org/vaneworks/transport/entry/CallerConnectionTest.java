package org.vaneworks.transport.entry;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Tests when a caller connection is closed, and under which reason, with an embedded channel's
 * simulated time.
 */
final class CallerConnectionTest {
  private static final long IDLE_MILLIS = 12_000;
  private static final long UNSENT_CHECK_MILLIS = 1000;
  private static final long IDLE_CHECK_MILLIS = 5000;

  /** How long the event loop is held up. */
  private static final long HOLD_UP_MILLIS = 400;

  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
  private final CallerConnections connections = CallerConnections.create();
  private final FakeResponse response = new FakeResponse();
  private EntryLimits limits = limits(IDLE_MILLIS);
  private CallerConnection connection;

  /** A response whose state is set by the test. */
  private static final class FakeResponse implements PendingResponse {
    private boolean terminated = true;
    private boolean disconnected;

    @Override
    public void callerDisconnected() {
      disconnected = true;
    }

    @Override
    public boolean isTerminated() {
      return terminated;
    }

    @Override
    public long bufferedBytes() {
      return 0;
    }

    @Override
    public ResponseProgress progress() {
      return ResponseProgress.NONE;
    }
  }

  private static EntryLimits limits(long idleMillis) {
    return new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofMillis(idleMillis));
  }

  @BeforeEach
  void accept() {
    channel.freezeTime();
    CallerConnection.install(channel, () -> limits, counters, connections);
    connection = CallerConnection.of(channel);
  }

  /** Advances the time in small steps, because timers schedule further timers. */
  private void advanceTime(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      channel.advanceTimeBy(100, MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  private double closes(CloseReason reason) {
    return counters.value(Metric.CALLER_CLOSES, reason.code());
  }

  private void assertClosedFor(CloseReason reason) {
    assertFalse(channel.isOpen());
    for (CloseReason other : CloseReason.values()) {
      assertEquals(other == reason ? 1 : 0, closes(other), other.code());
    }
  }

  /** Leaves bytes unflushed in the channel, like a socket that accepts none. */
  private void writeWithoutFlush() {
    var unused = channel.write(Unpooled.wrappedBuffer(new byte[100]));
  }

  /** Closes the channel from the node's side, as ServiceTalk does. */
  private void closeByNode() {
    var unused = channel.close();
  }

  // Guards against closes of idle connections that no metric attributes to the idle timeout.
  @Test
  void idleCloseIsCounted() {
    advanceTime(IDLE_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against counting a caller's disconnect as an abort by the node.
  @Test
  void disconnectDuringResponseIsCounted() {
    connection.requestStarted(response);
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertTrue(response.disconnected);
    closeByNode();
    assertClosedFor(CloseReason.DISCONNECTED_DURING_RESPONSE);
  }

  // Guards against counting an abort by the node as a caller's disconnect.
  @Test
  void closeByNodeDuringResponseIsCounted() {
    connection.requestStarted(response);
    response.terminated = false;
    closeByNode();
    assertClosedFor(CloseReason.ABORTED);
  }

  // Guards against counting a close that was announced to the caller as an abort.
  @Test
  void closeAfterLastResponseIsCounted() {
    connection.requestStarted(response);
    connection.closesAfterResponse();
    connection.requestEnded(response);
    closeByNode();
    assertClosedFor(CloseReason.LAST_RESPONSE);
  }

  // Guards against counting a close between responses as an abort.
  @Test
  void closeBetweenResponsesIsCounted() {
    connection.requestStarted(response);
    connection.requestEnded(response);
    closeByNode();
    assertClosedFor(CloseReason.BETWEEN_RESPONSES);
  }

  // Guards against an idle timer that runs, and aborts the response, while bytes are buffered for a
  // slow caller.
  @Test
  void connectionWithBufferedResponseIsNotIdle() {
    connection.requestStarted(response);
    response.terminated = false;
    connection.requestEnded(response);
    advanceTime(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    response.terminated = true;
    advanceTime(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    advanceTime(UNSENT_CHECK_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against an idle timer that runs, and aborts the response, while its last bytes wait to
  // be written to the socket.
  @Test
  void connectionWithUnwrittenBytesIsNotIdle() {
    connection.requestStarted(response);
    connection.requestEnded(response);
    writeWithoutFlush();
    advanceTime(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    channel.flush();
    advanceTime(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    advanceTime(UNSENT_CHECK_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against responses aborted by a configuration change that lowers the idle timeout.
  @Test
  void loweredTimeoutDoesNotCloseActiveConnection() {
    connection.requestStarted(response);
    limits = limits(100);
    advanceTime(IDLE_MILLIS);
    response.terminated = false;
    connection.requestEnded(response);
    advanceTime(IDLE_MILLIS);
    assertTrue(channel.isOpen());
  }

  // Guards against a changed timeout that applies only to connections that become idle afterwards.
  @Test
  void loweredTimeoutAppliesToIdleConnections() {
    limits = limits(1000);
    advanceTime(IDLE_CHECK_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against idle connections closed by a timeout that is no longer in force.
  @Test
  void raisedTimeoutAppliesToIdleConnections() {
    advanceTime(IDLE_MILLIS / 2);
    limits = limits(2 * IDLE_MILLIS);
    advanceTime(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    advanceTime(IDLE_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against closing a connection whose next request waits in the socket, because the event
  // loop was held up: timers that came due meanwhile run before the sockets are read.
  @Test
  void lateIdleCheckDoesNotCloseBeforeWaitingInputIsRead() {
    advanceTime(IDLE_MILLIS - IDLE_CHECK_MILLIS / 5);
    channel.advanceTimeBy(IDLE_CHECK_MILLIS / 5 + HOLD_UP_MILLIS, MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertTrue(channel.isOpen());
    connection.requestStarted(response);
    response.terminated = false;
    advanceTime(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
  }

  // Guards against connections that stay open because their idle check was late once.
  @Test
  void connectionIsClosedSoonAfterALateIdleCheck() {
    advanceTime(IDLE_MILLIS - IDLE_CHECK_MILLIS / 5);
    channel.advanceTimeBy(IDLE_CHECK_MILLIS / 5 + HOLD_UP_MILLIS, MILLISECONDS);
    channel.runScheduledPendingTasks();
    advanceTime(HOLD_UP_MILLIS);
    assertClosedFor(CloseReason.IDLE);
  }

  // Guards against bytes buffered forever for a caller that does not read.
  @Test
  void stalledConnectionIsClosed() {
    connection.requestStarted(response);
    writeWithoutFlush();
    connection.requestEnded(response);
    advanceTime(CallerConnection.STALL_TIMEOUT.toMillis() - UNSENT_CHECK_MILLIS);
    assertTrue(channel.isOpen());
    advanceTime(UNSENT_CHECK_MILLIS);
    assertClosedFor(CloseReason.STALLED);
  }

  // Guards against a refusal written into the middle of a response because the next, pipelined head
  // was late.
  @Test
  void lateNextHeadIsNotRejectedDuringResponse() {
    connection.requestStarted(response);
    response.terminated = false;
    connection.requestEnded(response);
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {'G', 'E', 'T'}));
    advanceTime(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    assertTrue(channel.outboundMessages().isEmpty());
  }

  // Guards against a connection treated as idle because the previous request ended after the next
  // one had started.
  @Test
  void endOfPreviousRequestDoesNotEndNextRequest() {
    connection.requestStarted(response);
    connection.requestStarted(new FakeResponse());
    connection.requestEnded(response);
    advanceTime(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
  }

  // Guards against a shutdown that treats a response as delivered while bytes of it are buffered.
  @Test
  void connectionIsActiveUntilNothingIsBuffered() {
    assertEquals(0, connections.activeCount());
    connection.requestStarted(response);
    assertEquals(1, connections.activeCount());
    response.terminated = false;
    connection.requestEnded(response);
    assertEquals(1, connections.activeCount());
    response.terminated = true;
    writeWithoutFlush();
    assertEquals(1, connections.activeCount());
    channel.flush();
    assertEquals(0, connections.activeCount());
  }

  // Guards against a shutdown that waits for a disconnected caller.
  @Test
  void closedConnectionIsNotActive() {
    connection.requestStarted(response);
    closeByNode();
    assertEquals(0, connections.activeCount());
  }
}
