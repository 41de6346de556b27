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
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vaneworks.state.Reason;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;
import org.vaneworks.transport.NewSockets;

/**
 * Channel handler that complements ServiceTalk's handling of a caller connection: detects
 * disconnected callers, malformed HTTP, request heads that are too large or too slow, and idle
 * connections.
 *
 * <p>ServiceTalk resets a connection whose input it can't decode, but callers must receive a status
 * code first. ServiceTalk also completes the response on a connection whose input was shut down,
 * although the caller has disconnected.
 *
 * <p>A socket that is closed with unread input, or that gets input afterwards, resets the
 * connection, and its peer loses what it has not received yet. Unless a response is aborted, a
 * connection therefore lingers (RFC 9112, section 9.6): its output is shut down, and input is
 * discarded until the caller closes its side or {@link CallerConnections#lingerTimeout} has passed.
 *
 * <p>Confined to the channel's event loop.
 */
final class CallerConnection extends ChannelDuplexHandler
    implements EntryResponse.ConnectionListener {
  private static final String HANDLER_NAME = "caller-connection";
  private static final String ERROR_HANDLER_NAME = "caller-errors";

  /**
   * Maximum interval between checks of an idle connection; a changed idle timeout takes effect
   * within this time. Few idle periods last longer, and a wakeup costs more than the check itself.
   */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(5);

  /** Interval between checks of a connection with bytes that the caller has not read yet. */
  private static final Duration UNSENT_CHECK_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time without any progress after which a connection with unsent bytes is closed. It bounds how
   * long the bytes are buffered; their number is bounded by {@link ResponseBody} and the channel's
   * write buffer watermarks.
   */
  @VisibleForTesting static final Duration STALL_TIMEOUT = Duration.ofSeconds(30);

  private final Supplier<EntryLimits> limits;
  private final Counters counters;
  private final CallerConnections openConnections;

  /** Refuses the request whose body is being received. */
  private Optional<Consumer<Reason>> bodyRefusal = Optional.empty();

  private Runnable afterRead = () -> {};
  private boolean reading;
  private Optional<InputMemory> input = Optional.empty();

  /** Why the rest of the input is refused, once the responses to what came before are delivered. */
  private Optional<Reason> laterRefusal = Optional.empty();

  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private PendingResponse response = PendingResponse.NONE;
  private final HeadProgress head = new HeadProgress();
  private boolean closeRecorded;
  private boolean requestInProgress;
  private boolean wasActive;
  private long previousUnsentBytes;
  private long stalledNanos;
  private long idleNanos;
  private boolean lastResponse;

  private boolean rejected;
  private boolean aborted;
  private boolean outputShutdown;
  private boolean lingering;

  private CallerConnection(
      Supplier<EntryLimits> limits, Counters counters, CallerConnections openConnections) {
    this.limits = checkNotNull(limits);
    this.counters = checkNotNull(counters);
    this.openConnections = checkNotNull(openConnections);
  }

  /** Adds a handler to the pipeline of a connection that was just accepted. */
  static void install(
      Channel channel,
      Supplier<EntryLimits> limits,
      Counters counters,
      CallerConnections openConnections) {
    CallerConnection handler = new CallerConnection(limits, counters, openConnections);
    ChannelPipeline pipeline = channel.pipeline();
    // Placed before ServiceTalk's last handler, which would reset the connection. The last name in
    // the list is the pipeline's tail.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, ERROR_HANDLER_NAME, handler.new DecoderErrorHandler());
    pipeline.addFirst(HANDLER_NAME, handler);
  }

  /** Returns the handler that was installed in a channel. */
  static CallerConnection of(Channel channel) {
    return (CallerConnection) channel.pipeline().get(HANDLER_NAME);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    if (added.channel().isActive()) {
      openConnections.opened(this);
    }
    awaitNextRequest();
  }

  /** Records that a request head was read; the response is notified if the caller disconnects. */
  void requestStarted(PendingResponse started) {
    requestInProgress = true;
    head.ended();
    response = started;
    bodyRefusal = Optional.empty();
    if (!lingering) {
      timer.cancel(false);
    }
  }

  /** Counts what is held of the input in a budget, and bounds trailers. */
  void countInput(MemoryBudget memory) {
    InputMemory.install(
        context.channel(),
        memory,
        () -> 2 * limits.get().maxHeaderBytes(), // The start line and the fields.
        () -> limits.get().maxHeaderBytes(),
        new InputOwner());
    input = Optional.of(InputMemory.of(context.channel()));
  }

  /** Sets how the request in progress is refused if the rest of its input can't be held. */
  void onBodyRefused(Consumer<Reason> refusal) {
    Optional<Consumer<Reason>> current = Optional.of(refusal);
    bodyRefusal = current;
    // The part of the body that arrived before is read first; it may be all.
    laterRefusal.ifPresent(
        reason ->
            context
                .executor()
                .execute(
                    () -> {
                      if (bodyRefusal.equals(current)) {
                        refusal.accept(reason);
                      }
                    }));
  }

  /** Records that the body of the request in progress was received. */
  void bodyReceived() {
    bodyRefusal = Optional.empty();
  }

  /** Runs a task once all input was decoded that has arrived. */
  void afterRead(Runnable task) {
    if (reading) {
      afterRead = task;
    } else {
      // The request had waited for the one before.
      task.run();
    }
  }

  /** Closes the connection, whose caller has stopped within a head or a body. */
  void giveUpInput() {
    recordClose(CloseReason.INPUT_GIVEN_UP, "memory");
    closeNow();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext channel) throws Exception {
    reading = false;
    Runnable task = afterRead;
    afterRead = () -> {};
    task.run();
    super.channelReadComplete(channel);
  }

  /** Answers input that can't be held; none of it has been forwarded. */
  private final class InputOwner implements InputMemory.Owner {
    @Override
    public void memoryExhausted() {
      refuseInput(Reason.NODE_MEMORY);
    }

    @Override
    public boolean isWaiting() {
      // A refusal that is due is sent first.
      return !isActive() && !lingering && laterRefusal.isEmpty();
    }

    @Override
    public boolean isEnding() {
      // While a connection lingers, the kernel may hold the end of the response.
      return lastResponse && !isActive() && !lingering;
    }

    @Override
    public void stalled() {
      giveUpInput();
    }

    @Override
    public void givenUpAtRest() {
      // Called while sockets are read. The second task runs after they were read again.
      runAfterRead(() -> runAfterRead(CallerConnection.this::giveUpInput));
    }

    @Override
    public void linesTooLong() {
      refuseInput(bodyRefusal.isPresent() ? Reason.HEADERS_TOO_LARGE : tooLargeReason());
    }

    private void refuseInput(Reason reason) {
      if (bodyRefusal.isPresent()) {
        bodyRefusal.get().accept(reason);
      } else if (isActive()) {
        refuseLater(reason);
      } else {
        reject(reason);
      }
    }
  }

  /** Drops the rest of the input, which can't be refused before the responses in progress end. */
  private void refuseLater(Reason reason) {
    if (laterRefusal.isEmpty()) {
      laterRefusal = Optional.of(reason);
      input.ifPresent(InputMemory::dropRest);
    }
  }

  /** Returns whether the rest of the input is to be refused, and nothing before it is left. */
  private boolean isRefusalDue() {
    return laterRefusal.isPresent()
        && !isActive()
        && !input.map(InputMemory::hasWaitingRequests).orElse(false);
  }

  @Override
  public void requestEnded(PendingResponse ended) {
    // With pipelining, the next request starts with the last byte of the previous response, which
    // may therefore have been replaced already.
    if (ended == response) {
      requestInProgress = false;
      awaitNextRequest();
    }
  }

  @Override
  public void closesAfterResponse() {
    lastResponse = true;
  }

  /** Returns whether a former response announced the close, so that no other can be sent. */
  boolean closesAfterFormerResponse() {
    return lastResponse;
  }

  @Override
  public void readArrived(Runnable task) {
    context.read();
    // Called while sockets are read, or by a task. The second task runs after they were read again.
    var unused = context.executor().schedule(() -> afterPoll(task), 0, NANOSECONDS);
  }

  private void afterPoll(Runnable task) {
    var unused = context.executor().schedule(task, 0, NANOSECONDS);
  }

  @Override
  public void aborted() {
    aborted = true;
    recordClose(CloseReason.ABORTED, "abort");
  }

  /**
   * Records only the first reason, because later ones are its consequences.
   *
   * @param cause the event or the operation that closes the connection
   */
  private void recordClose(CloseReason reason, String cause) {
    if (closeRecorded) {
      return;
    }
    closeRecorded = true;
    counters.count(Metric.CALLER_CLOSES, reason.code());
    if (isResponseIncomplete() || hasWriteFailed()) {
      logIncompleteResponse(reason, cause);
    }
  }

  private void logIncompleteResponse(CloseReason reason, String cause) {
    ResponseProgress progress = response.progress();
    EventLog.info(
        Event.CALLER_CONNECTION_CLOSED,
        "request",
        progress.requestId(),
        "closedBy",
        reason.closedByCaller() ? "caller" : "node",
        "reason",
        reason.code(),
        "cause",
        cause,
        "passedBytes",
        progress.passedBytes(),
        "unwrittenBytes",
        unwrittenBytes(),
        "bufferedBytes",
        progress.bufferedBytes(),
        "endpointEnded",
        progress.endpointEnded());
  }

  private void recordCloseByCaller(String cause) {
    if (isActive()) {
      recordClose(CloseReason.DISCONNECTED_DURING_RESPONSE, cause);
    } else {
      recordClose(lastResponse ? CloseReason.LAST_RESPONSE : CloseReason.DISCONNECTED, cause);
    }
  }

  private void recordCloseByNode(String cause) {
    if (hasWriteFailed()) {
      recordClose(CloseReason.DISCONNECTED_DURING_RESPONSE, "write");
    } else if (isResponseIncomplete()) {
      recordClose(CloseReason.ABORTED, cause);
    } else {
      recordClose(lastResponse ? CloseReason.LAST_RESPONSE : CloseReason.BETWEEN_RESPONSES, cause);
    }
  }

  /**
   * Returns whether the output was shut down by a failed write, because the caller has
   * disconnected. Pending writes fail, and ServiceTalk closes the connection, before the event is
   * fired.
   */
  private boolean hasWriteFailed() {
    return !outputShutdown
        && context.channel() instanceof DuplexChannel duplex
        && duplex.isActive()
        && duplex.isOutputShutdown();
  }

  /** Returns whether bytes of a response would be lost if the connection were closed now. */
  private boolean isResponseIncomplete() {
    // ServiceTalk closes with the write of the last byte, which totalPendingWriteBytes() still
    // includes at that time.
    ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
    boolean hasUnwritten = pending != null && !pending.isEmpty();
    return hasUnwritten || !response.isTerminated();
  }

  /**
   * Returns whether a request or response is in progress, including bytes that were not written to
   * the socket yet.
   */
  boolean isActive() {
    return requestInProgress || !response.isTerminated() || unwrittenBytes() > 0;
  }

  /** Returns the number of bytes that are pending in the channel. */
  long unwrittenBytes() {
    ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
    // A closed channel has no outbound buffer.
    return pending == null ? 0 : pending.totalPendingWriteBytes() - pending.currentProgress();
  }

  private void awaitNextRequest() {
    if (lingering) {
      return;
    }
    input.ifPresent(InputMemory::awaitRequest);
    head.awaitNext();
    idleNanos = 0;
    stalledNanos = 0;
    wasActive = isActive();
    previousUnsentBytes = unsentBytes();
    if (laterRefusal.isPresent()) {
      schedule(Duration.ZERO, () -> checkIdle(0));
    } else {
      scheduleIdleCheck();
    }
  }

  private void scheduleIdleCheck() {
    long untilIdle = limits.get().idleTimeout().toNanos() - idleNanos;
    long untilIdleCheck = Math.min(untilIdle, IDLE_CHECK_INTERVAL.toNanos());
    long wait = wasActive ? UNSENT_CHECK_INTERVAL.toNanos() : untilIdleCheck;
    schedule(Duration.ofNanos(wait), () -> checkIdle(wait));
  }

  /** Closes the connection if it is stalled or idle according to the current limits. */
  private void checkIdle(long waitedNanos) {
    updateIdleTime(isActive(), waitedNanos);
    if (stalledNanos >= STALL_TIMEOUT.toNanos()) {
      closeWith(CloseReason.STALLED);
    } else if (isRefusalDue()) {
      reject(laterRefusal.get());
    } else if (idleNanos >= limits.get().idleTimeout().toNanos()) {
      runAfterRead(
          () -> closeWith(isActive() ? CloseReason.IDLE_DURING_RESPONSE : CloseReason.IDLE));
    } else {
      scheduleIdleCheck();
    }
  }

  /**
   * Updates the stalled and idle times. A connection counts as idle from the first check that finds
   * nothing in progress.
   */
  private void updateIdleTime(boolean active, long waitedNanos) {
    long bytes = unsentBytes();
    idleNanos = active || wasActive ? 0 : idleNanos + waitedNanos;
    stalledNanos = active && bytes == previousUnsentBytes ? stalledNanos + waitedNanos : 0;
    wasActive = active;
    previousUnsentBytes = bytes;
  }

  private long unsentBytes() {
    return response.bufferedBytes() + unwrittenBytes();
  }

  private void schedule(Duration wait, Runnable action) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = context.executor().schedule(action, wait.toNanos(), NANOSECONDS);
  }

  /**
   * Runs an action unless input that has already arrived starts a request. A late timer runs before
   * such input is read, but a task that is scheduled now runs after the sockets were polled.
   */
  private void runAfterRead(Runnable action) {
    schedule(Duration.ZERO, action);
  }

  private void closeWith(CloseReason reason) {
    recordClose(reason, "timer");
    closeOrLinger(context.newPromise());
  }

  /** Closes the connection unless a request or response is in progress, or a request arrived. */
  void closeIfIdle() {
    if (!isActive() && !lingering) {
      runAfterRead(() -> closeWith(CloseReason.BETWEEN_RESPONSES));
    }
  }

  /** Closes the connection as {@link #closeIfIdle} does, unless a head has begun. */
  void closeBetweenRequests() {
    if (!head.hasStarted()) {
      closeIfIdle();
    }
  }

  /** Closes the connection without waiting for the caller, as the process is about to end. */
  void closeForExit() {
    if (!hasWriteFailed() && isResponseIncomplete()) {
      recordClose(CloseReason.STOP_EXPIRED, "exit");
    }
    closeNow();
  }

  private void closeNow() {
    recordCloseByNode("close");
    if (lingering) {
      // ServiceTalk sets it to zero if a part of a request has arrived, and the kernel then drops
      // the end of the response.
      NewSockets.disableResetOnClose(context.channel());
    }
    var unused = context.close();
  }

  private void closeOrLinger(ChannelPromise promise) {
    if (!mayLinger()) {
      var unused = context.close(promise);
      return;
    }
    var unused = context.channel().closeFuture().addListener(closed -> promise.trySuccess());
    if (!lingering) {
      linger();
      unused = ((DuplexChannel) context.channel()).shutdownOutput();
    }
  }

  /** Returns whether the caller may still be receiving the end of a complete response. */
  private boolean mayLinger() {
    return context.channel() instanceof DuplexChannel duplex
        && duplex.isActive()
        && !duplex.isInputShutdown()
        && !aborted
        && !isResponseIncomplete()
        && !hasWriteFailed();
  }

  private void linger() {
    if (!lingering) {
      lingering = true;
      // A socket that is closed with unread input resets the connection.
      schedule(openConnections.lingerTimeout(), () -> runAfterRead(this::closeNow));
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext channel, Object message) throws Exception {
    if (lingering) {
      ReferenceCountUtil.release(message);
      return;
    }
    reading = true;
    if (awaitsHead() && message instanceof ByteBuf bytes) {
      trackHead(bytes);
    }
    super.channelRead(channel, message);
    // The decoder has processed these bytes: if no request has started, all belong to the head.
    if (awaitsHead() && head.exceeds(limits.get().maxHeaderBytes())) {
      reject(tooLargeReason());
    }
  }

  /** Returns whether input belongs to a next head, rather than to a request that was refused. */
  private boolean awaitsHead() {
    return !isActive()
        && !lastResponse
        && !input.map(InputMemory::isWithinStatedBody).orElse(false);
  }

  private void trackHead(ByteBuf bytes) {
    if (head.add(bytes)) {
      schedule(
          limits.get().headerTimeout(), () -> runAfterRead(() -> reject(Reason.HEADERS_TOO_SLOW)));
    }
  }

  private Reason tooLargeReason() {
    return head.tooLargeReason(limits.get().maxHeaderBytes());
  }

  /** Responds to input that is not a valid request, and closes the connection. */
  private void reject(Reason reason) {
    if (rejected || isActive()) {
      return;
    }
    rejected = true;
    recordClose(
        laterRefusal.isPresent() ? CloseReason.INPUT_REFUSED : CloseReason.REJECTED, reason.code());
    if (lastResponse || isRestOfAnsweredRequest()) {
      closeOrLinger(context.newPromise());
      return;
    }
    counters.count(Metric.REFUSALS, reason.code());
    String retry = reason == Reason.NODE_MEMORY ? "Retry-After: 1\r\n" : "";
    String response =
        "HTTP/1.1 "
            + reason.status()
            + " \r\n"
            + retry
            + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    // Written from the first handler, so that the bytes bypass the HTTP encoder.
    var unused =
        context
            .writeAndFlush(Unpooled.wrappedBuffer(response.getBytes(US_ASCII)))
            .addListener(ChannelFutureListener.CLOSE);
  }

  /** Returns whether the refused input belongs to a request that was answered before its end. */
  private boolean isRestOfAnsweredRequest() {
    return laterRefusal.isPresent() && input.map(InputMemory::isWithinBody).orElse(false);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext channel, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      recordCloseByCaller("fin");
      response.callerDisconnected();
    } else if (event instanceof ChannelOutputShutdownEvent) {
      outputShutdown = true;
      // A failed write has closed the connection before.
      recordCloseByNode("output");
      linger();
    }
    super.userEventTriggered(channel, event);
    if (lingering && event instanceof ChannelInputShutdownEvent) {
      closeNow();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) throws Exception {
    if (cause instanceof IOException) {
      recordCloseByCaller("reset: " + cause.getMessage());
    }
    super.exceptionCaught(channel, cause);
  }

  @Override
  public void close(ChannelHandlerContext channel, ChannelPromise promise) throws Exception {
    recordCloseByNode("close");
    closeOrLinger(promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) throws Exception {
    recordCloseByCaller("inactive");
    openConnections.closed(this);
    response.callerDisconnected();
    timer.cancel(false);
    super.channelInactive(channel);
  }

  /** Handles errors of the HTTP decoder. */
  private final class DecoderErrorHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) throws Exception {
      if (laterRefusal.isPresent()) {
        // Decoded from what follows the input that is refused.
        ReferenceCountUtil.release(message);
      } else {
        super.channelRead(channel, message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) throws Exception {
      if (!(cause instanceof DecoderException)) {
        super.exceptionCaught(channel, cause);
      } else if (!isActive()) {
        boolean tooLong = head.exceeds(limits.get().maxHeaderBytes());
        reject(tooLong ? tooLargeReason() : Reason.MALFORMED_HTTP);
      } else if (bodyRefusal.isEmpty()) {
        boolean tooLong = cause instanceof TooLongFrameException;
        refuseLater(tooLong ? Reason.HEADERS_TOO_LARGE : Reason.MALFORMED_HTTP);
      } else {
        super.exceptionCaught(channel, cause);
      }
    }
  }
}
