package org.vaneworks.transport.entry;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HeaderUtils;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpMetaData;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;
import io.servicetalk.transport.netty.internal.CloseHandler.InboundDataEndEvent;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.forwarding.BodyDelimiter;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.transport.BoundedReads;
import org.vaneworks.transport.FinalStatuses;
import org.vaneworks.transport.ReadScheduler;
import org.vaneworks.transport.UndecodedInputLimit;

/**
 * A pooled connection to an endpoint.
 *
 * <p>It is closed before the endpoint closes it, because a request that crosses that close is lost
 * unless it may run twice. It is not used again either if its close delimited the response to its
 * latest request, or if anything arrives beyond that, as it would be taken for the next response. A
 * request is not sent again over the connection of its latest attempt, as a late second response to
 * that attempt has its ID, too.
 *
 * <p>Confined to the node's event loop.
 */
final class EndpointConnection extends StreamingHttpConnectionFilter {
  /** Context key of the user that a request belongs to. */
  static final ContextMap.Key<User> USER = ContextMap.Key.newKey("user", User.class);

  /** Allows for the way from the endpoint, whose time starts earlier, and for a late timer. */
  private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(500);

  /** Maximum number of bytes of a response's head, and of lines between parts of its body. */
  static final int MAX_HEAD_BYTES = 64 << 10;

  private static final String WRITE_FAILURES_NAME = "endpoint-write-failures";
  private static final String INPUT_HANDLER_NAME = "endpoint-input";
  private static final String RESPONSE_HANDLER_NAME = "endpoint-response";

  private static final CharSequence KEEP_ALIVE = "keep-alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";
  private static final Splitter PARAMETERS = Splitter.on(',').trimResults();

  /** Reports that a request was not written, because its connection can't be used again. */
  static final class NotReusableException extends IOException implements RetryableException {
    private static final long serialVersionUID = 1;

    private NotReusableException() {
      super("a response to an earlier request may follow");
    }
  }

  /** The user of a connection for one request. */
  interface User {
    /** Returns the ID of the request, which responses to it have. */
    String requestId();

    /** Called before the request is written. */
    void connected(EndpointConnection connection);

    /**
     * Called when the end of the response was decoded although the request has not been written
     * completely. The last parts of the body may not have been delivered yet.
     *
     * @param bodyBytes the length of the response's body
     */
    void respondedEarly(long bodyBytes);

    /** Called when the end of the response was decoded, before it is delivered. */
    void responseEnded(BodyDelimiter delimiter);

    /** Returns whether all parts of the request were passed to the connection. */
    boolean isRequestPassedOn();
  }

  private final IdleConnections idleConnections;
  private boolean idle;
  private Optional<User> user = Optional.empty();
  private String latestRequestId = "";
  private Cancellable idleTimer = () -> {};
  private final Channel channel;
  private final WriteFailures writeFailures = new WriteFailures();
  private boolean awaitingResponse;
  private boolean decoding;
  private boolean reusable = true;
  private boolean resting = true;
  private boolean closed;

  /**
   * Wraps a connection that has not been used.
   *
   * @param idleConnections counts this connection while it is idle after a use
   * @param memory accounts for the heads of responses, and for input that is not decoded yet
   * @param reads schedules reads of input that is costly to decode
   */
  EndpointConnection(
      FilterableStreamingHttpConnection connection,
      IdleConnections idleConnections,
      UndecodedInputLimit.Account memory,
      ReadScheduler reads) {
    super(connection);
    this.idleConnections = idleConnections;
    channel = ((NettyConnectionContext) connection.connectionContext()).nettyChannel();
    ChannelPipeline pipeline = channel.pipeline();
    // Placed before ServiceTalk's last handler, which receives what was decoded. The last name in
    // the list is the pipeline's tail.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, RESPONSE_HANDLER_NAME, new ResponseHandler());
    pipeline.addBefore(
        UndecodedInputLimit.decoderName(pipeline), INPUT_HANDLER_NAME, new InputHandler());
    FinalStatuses.install(pipeline);
    UndecodedInputLimit.install(pipeline, MAX_HEAD_BYTES, memory);
    BoundedReads.install(channel, connection.executionContext().bufferAllocator(), reads);
    pipeline.addFirst(WRITE_FAILURES_NAME, writeFailures);
    connection.onClose().whenFinally(this::closed).subscribe();
  }

  private void closed() {
    closed = true;
    setIdle(false);
    // The timer would keep the connection in memory.
    idleTimer.cancel();
  }

  private void setIdle(boolean value) {
    if (value != idle) {
      idle = value;
      if (idle) {
        idleConnections.add();
      } else {
        idleConnections.remove();
      }
    }
  }

  /** Detects input beyond the response to a request. */
  private final class InputHandler extends ChannelInboundHandlerAdapter {
    /**
     * Whether the decoder may have kept the start of a line. It then copies later input to that, so
     * that what it keeps of it is not known.
     */
    private boolean mayBeBuffered;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (!awaitingResponse) {
        ReferenceCountUtil.release(message);
        surplusReceived();
        return;
      }
      ByteBuf bytes = ((ByteBuf) message).retain();
      boolean hasRest;
      decoding = true;
      try {
        super.channelRead(context, bytes);
        hasRest = bytes.isReadable();
      } finally {
        decoding = false;
        bytes.release();
      }
      if (awaitingResponse) {
        mayBeBuffered |= hasRest;
      } else if (hasRest) {
        surplusReceived();
      } else if (mayBeBuffered) {
        // A surplus can't be excluded.
        doNotReuse();
      }
    }
  }

  private void surplusReceived() {
    if (reusable) {
      EventLog.info(Event.ENDPOINT_SENT_SURPLUS, "address", channel.remoteAddress());
    }
    doNotReuse();
  }

  private void doNotReuse() {
    reusable = false;
    setIdle(false);
    if (resting) {
      closeUnlessReusable();
    }
  }

  private void closeUnlessReusable() {
    if (!reusable && !closed) {
      closeAsync().subscribe();
    }
  }

  /**
   * Detects the ends of responses, also before their request was written, as the endpoint may read
   * the rest of a body later. ServiceTalk completes a response only after its request.
   */
  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    private long bodyBytes;
    private boolean chunked;

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) throws Exception {
      if (!awaitingResponse) {
        ReferenceCountUtil.release(message);
        surplusReceived();
        return;
      }
      if (message instanceof HttpMetaData head) {
        bodyBytes = 0;
        chunked = HeaderUtils.isTransferEncodingChunked(head.headers());
      } else if (message instanceof Buffer body) {
        bodyBytes += body.readableBytes();
      }
      super.channelRead(channel, message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) throws Exception {
      if (event == InboundDataEndEvent.INSTANCE) {
        BodyDelimiter delimiter = delimiter();
        // ServiceTalk closes the connection only after the response is complete.
        reusable &= delimiter != BodyDelimiter.CONNECTION_CLOSE;
        user.ifPresent(current -> current.responseEnded(delimiter));
      }
      super.userEventTriggered(channel, event);
      if (event == InboundDataEndEvent.INSTANCE) {
        awaitingResponse = false;
        boolean passedOn = user.map(User::isRequestPassedOn).orElse(true);
        if (isEarly(channel.channel(), passedOn)) {
          user.ifPresent(current -> current.respondedEarly(bodyBytes));
        }
      }
    }

    /**
     * Returns what marked the end of the response that has just ended. An end that was not decoded
     * from input is inferred from the end of the connection.
     */
    private BodyDelimiter delimiter() {
      if (!decoding) {
        return BodyDelimiter.CONNECTION_CLOSE;
      }
      return chunked ? BodyDelimiter.LAST_CHUNK : BodyDelimiter.LENGTH;
    }

    private static boolean isEarly(Channel channel, boolean requestPassedOn) {
      // A channel whose output was shut down has no outbound buffer.
      ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
      boolean requestWritten = requestPassedOn && pending != null && pending.isEmpty();
      // A response that ends with its connection is incomplete if the connection was reset.
      boolean endsWithConnection = ((DuplexChannel) channel).isInputShutdown();
      return !requestWritten && !endsWithConnection;
    }
  }

  @Override
  public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
    idleTimer.cancel();
    if (decoding) {
      // The response has ended, but a surplus after it is not known yet.
      return executionContext()
          .ioExecutor()
          .submit(() -> {})
          .concat(Single.defer(() -> request(request)));
    }
    Optional<User> next = Optional.ofNullable(request.context().get(USER));
    if (next.map(User::requestId).filter(latestRequestId::equals).isPresent()) {
      doNotReuse();
    }
    if (!reusable) {
      return Single.failed(new NotReusableException());
    }
    resting = false;
    setIdle(false);
    awaitingResponse = true;
    writeFailures.withhold();
    user = next;
    latestRequestId = next.map(User::requestId).orElse("");
    user.ifPresent(connected -> connected.connected(this));
    return delegate().request(request);
  }

  /** Lets the next close of the connection drop what the endpoint has not received. */
  void resetOnClose() {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
  }

  /** Records that a response was received completely, but its request may not be written yet. */
  void received() {
    writeFailures.release();
  }

  /**
   * Records that a response with these headers was received completely, and its request written.
   */
  void rested(HttpHeaders headers) {
    resting = true;
    closeUnlessReusable();
    if (!closed) {
      setIdle(reusable);
      // Input that arrives from now on is surplus; without a request nobody else reads it.
      channel.read();
      keepAliveTimeout(headers).ifPresent(this::closeAfterIdle);
    }
  }

  private void closeAfterIdle(Duration timeout) {
    Duration idle = timeout.minus(KEEP_ALIVE_MARGIN);
    idleTimer =
        executionContext()
            .executor()
            .schedule(
                () -> closeAsyncGracefully().subscribe(), idle.isNegative() ? Duration.ZERO : idle);
  }

  /** Returns how long the endpoint keeps an idle connection open, if it states that. */
  private static Optional<Duration> keepAliveTimeout(HttpHeaders headers) {
    CharSequence value = headers.get(KEEP_ALIVE);
    if (value == null) {
      return Optional.empty();
    }
    for (String parameter : PARAMETERS.split(value)) {
      if (parameter.startsWith(TIMEOUT_PARAMETER)) {
        String seconds = parameter.substring(TIMEOUT_PARAMETER.length());
        return Optional.ofNullable(Ints.tryParse(seconds)).map(Duration::ofSeconds);
      }
    }
    return Optional.empty();
  }
}
