package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.annotations.VisibleForTesting;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Supplier;
import org.vaneworks.state.Reason;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Watches one caller's connection beside ServiceTalk: a caller that leaves, input that is no HTTP,
 * heads that are too large or too slow, and idle time.
 *
 * <p>ServiceTalk resets a connection whose input it can't decode, and lets one whose input has
 * ended finish its answer; callers are owed a status for the first, and have left in the second.
 * Confined to the channel's event loop.
 */
final class CallerConnection extends ChannelDuplexHandler implements EntryAnswer.Connection {
  private static final String NAME = "caller-connection";
  private static final String ERRORS = "caller-errors";

  /**
   * How often a connection at rest is looked at: a changed idle limit holds within this time. Few
   * rests last longer, and a wake costs more than what it does.
   */
  private static final Duration LOOK_AT_REST = Duration.ofSeconds(5);

  /** How often one is looked at whose caller has yet to take bytes that are held. */
  private static final Duration LOOK_WHILE_HELD = Duration.ofSeconds(1);

  /**
   * A caller that takes none of the bytes held for it within this time is given up. It bounds how
   * long they are kept; how many is bounded by {@link AnswerBody} and the channel's own marks.
   */
  @VisibleForTesting static final Duration STALL_LIMIT = Duration.ofSeconds(30);

  private static final ConnectionAnswer NONE =
      new ConnectionAnswer() {
        @Override
        public void callerGone() {}

        @Override
        public boolean isPassedOn() {
          return true;
        }

        @Override
        public long heldBytes() {
          return 0;
        }
      };

  private final Supplier<EntryLimits> limits;
  private final Counters counters;
  private final CallerConnections all;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private ConnectionAnswer answer = NONE;
  private boolean closes;
  private boolean answering;
  private boolean heldBefore;
  private long heldBytesBefore;
  private long stalledNanos;
  private long restedNanos;
  private boolean lastAnswer;
  private boolean headBegan;
  private boolean lineEnded;
  private boolean rejected;
  private long headBytes;
  private long lineBytes;

  private CallerConnection(Supplier<EntryLimits> limits, Counters counters, CallerConnections all) {
    this.limits = checkNotNull(limits);
    this.counters = checkNotNull(counters);
    this.all = checkNotNull(all);
  }

  /** Begins to watch a connection that was just accepted. */
  static void install(
      Channel channel, Supplier<EntryLimits> limits, Counters counters, CallerConnections all) {
    CallerConnection watcher = new CallerConnection(limits, counters, all);
    ChannelPipeline pipeline = channel.pipeline();
    // Before the last handler but the tail, which is ServiceTalk's and would reset the connection.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, ERRORS, watcher.new Errors());
    pipeline.addFirst(NAME, watcher);
  }

  /** Returns the watcher of a connection. */
  static CallerConnection of(Channel channel) {
    return (CallerConnection) channel.pipeline().get(NAME);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    if (added.channel().isActive()) {
      all.opened(this);
    }
    waitForNext();
  }

  /** Takes note that a request's head was read; tells its answer if the caller leaves. */
  void requestBegan(ConnectionAnswer begun) {
    answering = true;
    headBegan = false;
    answer = begun;
    timer.cancel(false);
  }

  @Override
  public void requestEnded(ConnectionAnswer ended) {
    // The next request of a caller who asks ahead begins with the last byte of this answer.
    if (ended == answer) {
      answering = false;
      waitForNext();
    }
  }

  @Override
  public void closesAfterAnswer() {
    lastAnswer = true;
  }

  @Override
  public void isCut() {
    note(CloseReason.CUT);
  }

  /** The first cause counts: what follows it is its consequence. */
  private void note(CloseReason reason) {
    if (!closes) {
      closes = true;
      counters.count(Metric.CALLER_CLOSES, reason.code());
    }
  }

  private void noteCallerLeft() {
    if (isAnswering()) {
      note(CloseReason.CALLER_LEFT_ANSWER);
    } else {
      note(lastAnswer ? CloseReason.LAST_ANSWER : CloseReason.CALLER_LEFT);
    }
  }

  private void noteClosedHere() {
    // As ServiceTalk closes with the last byte, that byte still counts as waiting.
    ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
    boolean held = waiting != null && !waiting.isEmpty();
    if (held || !answer.isPassedOn()) {
      note(CloseReason.CUT);
    } else {
      note(lastAnswer ? CloseReason.LAST_ANSWER : CloseReason.BETWEEN_ANSWERS);
    }
  }

  /** Returns whether an answer is under way, the part included that waits to be written. */
  boolean isAnswering() {
    return answering || !answer.isPassedOn() || unwritten() > 0;
  }

  /** Returns how many bytes wait in the channel. */
  private long unwritten() {
    ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
    // A closed channel has none.
    return waiting == null ? 0 : waiting.totalPendingWriteBytes() - waiting.currentProgress();
  }

  private void waitForNext() {
    headBegan = false;
    headBytes = 0;
    lineBytes = 0;
    lineEnded = false;
    restedNanos = 0;
    stalledNanos = 0;
    heldBefore = isAnswering();
    heldBytesBefore = heldBytes();
    lookLater();
  }

  private void lookLater() {
    long idleLeft = limits.get().idleTimeout().toNanos() - restedNanos;
    long atRest = Math.min(idleLeft, LOOK_AT_REST.toNanos());
    long wait = heldBefore ? LOOK_WHILE_HELD.toNanos() : atRest;
    runAfter(Duration.ofNanos(wait), () -> look(wait));
  }

  /** Judges a connection whose run is over by the limits of now. */
  private void look(long waitedNanos) {
    noteRest(isAnswering(), waitedNanos);
    if (stalledNanos >= STALL_LIMIT.toNanos()) {
      closeFor(CloseReason.STALLED);
    } else if (restedNanos >= limits.get().idleTimeout().toNanos()) {
      closeFor(isAnswering() ? CloseReason.IDLE_WHILE_HELD : CloseReason.IDLE);
    } else {
      lookLater();
    }
  }

  /** A connection rests from the first look at which nothing is held for its caller any more. */
  private void noteRest(boolean held, long waitedNanos) {
    long bytes = heldBytes();
    restedNanos = held || heldBefore ? 0 : restedNanos + waitedNanos;
    stalledNanos = held && bytes == heldBytesBefore ? stalledNanos + waitedNanos : 0;
    heldBefore = held;
    heldBytesBefore = bytes;
  }

  private long heldBytes() {
    return answer.heldBytes() + unwritten();
  }

  private void runAfter(Duration wait, Runnable action) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = context.executor().schedule(action, wait.toNanos(), NANOSECONDS);
  }

  private void closeFor(CloseReason reason) {
    note(reason);
    var unused = context.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext channel, Object message) throws Exception {
    if (!isAnswering() && message instanceof ByteBuf bytes) {
      noteHead(bytes);
    }
    super.channelRead(channel, message);
    // The decoder has seen these bytes: without a request they are all part of the head.
    if (!isAnswering() && headBytes > limits.get().maxHeaderBytes()) {
      reject(tooLarge());
    }
  }

  private void noteHead(ByteBuf bytes) {
    if (!headBegan) {
      headBegan = true;
      runAfter(limits.get().headerTimeout(), () -> reject(Reason.HEADERS_TOO_SLOW));
    }
    headBytes += bytes.readableBytes();
    if (!lineEnded) {
      int end = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n');
      lineEnded = end >= 0;
      lineBytes += lineEnded ? end - bytes.readerIndex() : bytes.readableBytes();
    }
  }

  private Reason tooLarge() {
    return lineBytes > limits.get().maxHeaderBytes()
        ? Reason.TARGET_TOO_LONG
        : Reason.HEADERS_TOO_LARGE;
  }

  /** Answers what can't become a request, and closes the connection. */
  private void reject(Reason reason) {
    if (rejected || isAnswering()) {
      return;
    }
    rejected = true;
    note(CloseReason.REJECTED);
    counters.count(Metric.REFUSALS, reason.code());
    String answer =
        "HTTP/1.1 " + reason.status() + " \r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    // From the first handler, so that the bytes pass no encoder.
    var unused =
        context
            .writeAndFlush(Unpooled.wrappedBuffer(answer.getBytes(US_ASCII)))
            .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext channel, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      noteCallerLeft();
      answer.callerGone();
    }
    super.userEventTriggered(channel, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) throws Exception {
    if (cause instanceof IOException) {
      noteCallerLeft();
    }
    super.exceptionCaught(channel, cause);
  }

  @Override
  public void close(ChannelHandlerContext channel, ChannelPromise promise) throws Exception {
    noteClosedHere();
    super.close(channel, promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) throws Exception {
    noteCallerLeft();
    all.closed(this);
    answer.callerGone();
    timer.cancel(false);
    super.channelInactive(channel);
  }

  /** Sees what the decoder could not read. */
  private final class Errors extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) throws Exception {
      if (cause instanceof DecoderException && !isAnswering()) {
        boolean tooLong = headBytes > limits.get().maxHeaderBytes();
        reject(tooLong ? tooLarge() : Reason.MALFORMED_HTTP);
      } else {
        super.exceptionCaught(channel, cause);
      }
    }
  }
}
