package org.vaneworks.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Refuses responses whose status is no final one: below 200, or above 599.
 *
 * <p>ServiceTalk's decoder refuses a status below 100 and drops interim responses, but passes on a
 * status above 599 and some forms of 101. A refused response is reported as one that can't be
 * decoded, and its connection is closed. Confined to the event loop of its connection.
 */
public final class FinalStatuses {
  private static final String HANDLER_NAME = "final-statuses";
  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private FinalStatuses() {}

  /** Adds the check to the pipeline of a connection to a server. */
  public static void install(ChannelPipeline pipeline) {
    pipeline.addAfter(
        UndecodedInputLimit.decoderName(pipeline), HANDLER_NAME, new ResponseHandler());
  }

  private static final class ResponseHandler extends ChannelInboundHandlerAdapter {
    private boolean refused;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (refused) {
        ReferenceCountUtil.release(message);
      } else if (message instanceof HttpResponseMetaData head && !isFinal(head)) {
        refuse(context, "not a final status: " + head.status().code());
      } else if (message instanceof ByteBuf) {
        // After 101, ServiceTalk passes bytes on without decoding them.
        ReferenceCountUtil.release(message);
        refuse(context, "a change of protocol that was not requested");
      } else {
        super.channelRead(context, message);
      }
    }

    private void refuse(ChannelHandlerContext context, String cause) {
      refused = true;
      context.fireExceptionCaught(new DecoderException(cause));
      var unused = context.close();
    }

    private static boolean isFinal(HttpResponseMetaData head) {
      int status = head.status().code();
      return status >= MIN_STATUS && status <= MAX_STATUS;
    }
  }
}
