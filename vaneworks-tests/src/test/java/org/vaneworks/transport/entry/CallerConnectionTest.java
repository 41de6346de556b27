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
 * Checks when a caller's connection is closed and what is counted then, on a channel's own time.
 */
final class CallerConnectionTest {
  private static final long IDLE_MILLIS = 12_000;
  private static final long LOOK_MILLIS = 1000;
  private static final long LOOK_AT_REST_MILLIS = 5000;

  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
  private final CallerConnections all = CallerConnections.create();
  private final Held answer = new Held();
  private EntryLimits limits = limits(IDLE_MILLIS);
  private CallerConnection connection;

  /** An answer of which a part may be held back. */
  private static final class Held implements ConnectionAnswer {
    private boolean passedOn = true;
    private boolean gone;

    @Override
    public void callerGone() {
      gone = true;
    }

    @Override
    public boolean isPassedOn() {
      return passedOn;
    }

    @Override
    public long heldBytes() {
      return 0;
    }
  }

  private static EntryLimits limits(long idleMillis) {
    return new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofMillis(idleMillis));
  }

  @BeforeEach
  void accept() {
    channel.freezeTime();
    CallerConnection.install(channel, () -> limits, counters, all);
    connection = CallerConnection.of(channel);
  }

  /** Lets time pass in small steps, as timers set further timers. */
  private void pass(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      channel.advanceTimeBy(100, MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  private double closes(CloseReason reason) {
    return counters.value(Metric.CALLER_CLOSES, reason.code());
  }

  private void assertClosedBy(CloseReason reason) {
    assertFalse(channel.isOpen());
    for (CloseReason any : CloseReason.values()) {
      assertEquals(any == reason ? 1 : 0, closes(any), any.code());
    }
  }

  /** Holds bytes back in the channel, as a socket does that takes none. */
  private void holdBytes() {
    var unused = channel.write(Unpooled.wrappedBuffer(new byte[100]));
  }

  /** Closes as ServiceTalk does. */
  private void closeFromWithin() {
    var unused = channel.close();
  }

  // Guards against cuts of which nothing tells whether the node closed for idleness.
  @Test
  void idleCloseIsCounted() {
    pass(IDLE_MILLIS);
    assertClosedBy(CloseReason.IDLE);
  }

  // Guards against callers who left being taken for cuts by the node.
  @Test
  void callerThatLeavesInTheMidstOfAnAnswerIsCounted() {
    connection.requestBegan(answer);
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertTrue(answer.gone);
    closeFromWithin();
    assertClosedBy(CloseReason.CALLER_LEFT_ANSWER);
  }

  // Guards against cuts by the node being taken for callers who left.
  @Test
  void closeInTheMidstOfAnAnswerIsCounted() {
    connection.requestBegan(answer);
    answer.passedOn = false;
    closeFromWithin();
    assertClosedBy(CloseReason.CUT);
  }

  // Guards against ends that were told to the caller being taken for cuts.
  @Test
  void closeAfterTheLastAnswerIsCounted() {
    connection.requestBegan(answer);
    connection.closesAfterAnswer();
    connection.requestEnded(answer);
    closeFromWithin();
    assertClosedBy(CloseReason.LAST_ANSWER);
  }

  // Guards against ends between answers being taken for cuts.
  @Test
  void closeBetweenAnswersIsCounted() {
    connection.requestBegan(answer);
    connection.requestEnded(answer);
    closeFromWithin();
    assertClosedBy(CloseReason.BETWEEN_ANSWERS);
  }

  // Guards against answers cut as their bytes were held back for a slow caller: the timer ran.
  @Test
  void connectionWhoseAnswerIsHeldBackIsNotIdle() {
    connection.requestBegan(answer);
    answer.passedOn = false;
    connection.requestEnded(answer);
    pass(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    answer.passedOn = true;
    pass(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    pass(LOOK_MILLIS);
    assertClosedBy(CloseReason.IDLE);
  }

  // Guards against answers cut as their last bytes waited in the channel: the timer ran.
  @Test
  void connectionWithBytesThatWaitToBeWrittenIsNotIdle() {
    connection.requestBegan(answer);
    connection.requestEnded(answer);
    holdBytes();
    pass(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    channel.flush();
    pass(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    pass(LOOK_MILLIS);
    assertClosedBy(CloseReason.IDLE);
  }

  // Guards against answers cut by a change of the configuration that lowers the idle limit.
  @Test
  void loweredLimitClosesNoConnectionThatAnswers() {
    connection.requestBegan(answer);
    limits = limits(100);
    pass(IDLE_MILLIS);
    answer.passedOn = false;
    connection.requestEnded(answer);
    pass(IDLE_MILLIS);
    assertTrue(channel.isOpen());
  }

  // Guards against a limit that holds only for connections that become idle after its change.
  @Test
  void loweredLimitHoldsForIdleConnections() {
    limits = limits(1000);
    pass(LOOK_AT_REST_MILLIS);
    assertClosedBy(CloseReason.IDLE);
  }

  // Guards against idle connections closed by a limit that is not in force any more.
  @Test
  void raisedLimitHoldsForIdleConnections() {
    pass(IDLE_MILLIS / 2);
    limits = limits(2 * IDLE_MILLIS);
    pass(IDLE_MILLIS);
    assertTrue(channel.isOpen());
    pass(IDLE_MILLIS);
    assertClosedBy(CloseReason.IDLE);
  }

  // Guards against memory that is held for ever for a caller who reads nothing.
  @Test
  void callerThatTakesNothingIsGivenUp() {
    connection.requestBegan(answer);
    holdBytes();
    connection.requestEnded(answer);
    pass(CallerConnection.STALL_LIMIT.toMillis() - LOOK_MILLIS);
    assertTrue(channel.isOpen());
    pass(LOOK_MILLIS);
    assertClosedBy(CloseReason.STALLED);
  }

  // Guards against a refusal written into an answer: the next head had begun and was late.
  @Test
  void lateNextHeadIsNotRefusedInTheMidstOfAnAnswer() {
    connection.requestBegan(answer);
    answer.passedOn = false;
    connection.requestEnded(answer);
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {'G', 'E', 'T'}));
    pass(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
    assertTrue(channel.outboundMessages().isEmpty());
  }

  // Guards against a request's connection taken for idle: the one before it ended as it began.
  @Test
  void endOfAnEarlierRequestDoesNotEndTheNext() {
    connection.requestBegan(answer);
    connection.requestBegan(new Held());
    connection.requestEnded(answer);
    pass(2 * IDLE_MILLIS);
    assertTrue(channel.isOpen());
  }

  // Guards against a stop that takes an answer for delivered while bytes of it are held.
  @Test
  void answerIsUnderWayUntilNothingIsHeld() {
    assertEquals(0, all.activeCount());
    connection.requestBegan(answer);
    assertEquals(1, all.activeCount());
    answer.passedOn = false;
    connection.requestEnded(answer);
    assertEquals(1, all.activeCount());
    answer.passedOn = true;
    holdBytes();
    assertEquals(1, all.activeCount());
    channel.flush();
    assertEquals(0, all.activeCount());
  }

  // Guards against a stop that waits for a caller who has left.
  @Test
  void closedConnectionHasNoAnswerUnderWay() {
    connection.requestBegan(answer);
    closeFromWithin();
    assertEquals(0, all.activeCount());
  }
}
