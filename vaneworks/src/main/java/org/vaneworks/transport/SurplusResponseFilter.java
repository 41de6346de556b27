package org.vaneworks.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.CloseHandler.InboundDataEndEvent;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.transport.UndelimitedResponseFilter.ClosingConnectionException;

/**
 * Closes a connection on which anything arrives beyond the response to a request, as it would be
 * taken for the response to the next one. Requests over it fail, and must be sent over another.
 *
 * <p>Thread-safe; a connection carries one request at a time.
 */
final class SurplusResponseFilter extends StreamingHttpConnectionFilter {
  private static final String INPUT_HANDLER_NAME = "surplus-input";
  private static final String RESPONSE_HANDLER_NAME = "surplus-responses";

  private volatile boolean awaitingResponse;
  private volatile boolean decoding;
  private volatile boolean closing;

  SurplusResponseFilter(FilterableStreamingHttpConnection connection) {
    super(connection);
    Channel channel = ((NettyConnectionContext) connection.connectionContext()).nettyChannel();
    ChannelPipeline pipeline = channel.pipeline();
    String decoder = UndecodedInputLimit.decoderName(pipeline);
    pipeline.addBefore(decoder, INPUT_HANDLER_NAME, new InputHandler());
    pipeline.addAfter(decoder, RESPONSE_HANDLER_NAME, new ResponseHandler());
  }

  @Override
  public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
    if (decoding) {
      // The response has ended, but a surplus after it is not known yet.
      return executionContext()
          .ioExecutor()
          .submit(() -> {})
          .concat(Single.defer(() -> request(request)));
    }
    if (closing) {
      return Single.failed(new ClosingConnectionException());
    }
    awaitingResponse = true;
    return delegate().request(request);
  }

  private void close(ChannelHandlerContext context) {
    closing = true;
    var unused = context.close();
  }

  private void surplusReceived(ChannelHandlerContext context) {
    if (!closing) {
      EventLog.info(Event.ENDPOINT_SENT_SURPLUS, "address", context.channel().remoteAddress());
    }
    close(context);
  }

  /** Detects input between two requests, and the rest of what contained the end of a response. */
  private final class InputHandler extends ChannelInboundHandlerAdapter {
    /** Whether the decoder may have kept the start of a line, to which it copies later input. */
    private boolean mayBeBuffered;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (!awaitingResponse) {
        ReferenceCountUtil.release(message);
        surplusReceived(context);
        return;
      }
      ByteBuf bytes = ((ByteBuf) message).retain();
      decoding = true;
      try {
        super.channelRead(context, bytes);
        boolean hasRest = bytes.isReadable();
        if (awaitingResponse) {
          mayBeBuffered |= hasRest;
        } else if (hasRest) {
          surplusReceived(context);
        } else if (mayBeBuffered) {
          // A surplus can't be excluded.
          close(context);
        }
      } finally {
        decoding = false;
        bytes.release();
      }
    }
  }

  /** Drops what is decoded beyond the response. */
  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (awaitingResponse) {
        super.channelRead(context, message);
      } else {
        ReferenceCountUtil.release(message);
        surplusReceived(context);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
      if (event == InboundDataEndEvent.INSTANCE) {
        awaitingResponse = false;
      }
      super.userEventTriggered(context, event);
    }
  }
}
