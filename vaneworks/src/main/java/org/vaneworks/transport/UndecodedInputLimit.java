package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.MoreCollectors.onlyElement;

import com.google.common.collect.Streams;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ByteProcessor;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpMetaData;
import io.servicetalk.transport.netty.internal.ByteToMessageDecoder;
import java.util.Map;

/**
 * Closes a connection whose peer sends more than a number of bytes which are neither a complete
 * head nor a part of a body: a head, chunk extensions or trailers without end.
 *
 * <p>ServiceTalk limits single lines, but not all lines of a head or of trailers together. Each
 * line counts with the memory that it takes once decoded. Confined to the event loop of its
 * connection.
 */
public final class UndecodedInputLimit {
  private static final String INPUT_HANDLER_NAME = "undecoded-input";
  private static final String MESSAGE_HANDLER_NAME = "decoded-messages";

  /** Memory of a decoded header field besides its bytes. */
  private static final int LINE_BYTES = 192;

  private final int maxBytes;
  private long undecodedBytes;

  private UndecodedInputLimit(int maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /**
   * Adds the limit to the pipeline of a connection.
   *
   * @param maxBytes maximum number of bytes, including those that decoded lines take
   */
  public static void install(ChannelPipeline pipeline, int maxBytes) {
    UndecodedInputLimit limit = new UndecodedInputLimit(maxBytes);
    // Placed before ServiceTalk's last handler, which receives what was decoded. The last name in
    // the list is the pipeline's tail.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, MESSAGE_HANDLER_NAME, limit.new MessageHandler());
    pipeline.addBefore(decoderName(pipeline), INPUT_HANDLER_NAME, limit.new InputHandler());
  }

  /** Returns the name of the handler that decodes HTTP. */
  public static String decoderName(ChannelPipeline pipeline) {
    return Streams.stream(pipeline)
        .filter(handler -> handler.getValue() instanceof ByteToMessageDecoder)
        .map(Map.Entry::getKey)
        .collect(onlyElement());
  }

  /** Counts bytes before they are decoded. */
  private final class InputHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof ByteBuf bytes) {
        undecodedBytes += bytes.readableBytes() + (long) LINE_BYTES * lines(bytes);
      }
      super.channelRead(context, message);
      if (undecodedBytes > maxBytes) {
        undecodedBytes = 0;
        var cause = new TooLongFrameException("neither head nor body: over " + maxBytes);
        context.fireExceptionCaught(cause);
        var unused = context.close();
      }
    }
  }

  private static int lines(ByteBuf bytes) {
    LineCounter counter = new LineCounter();
    var unused = bytes.forEachByte(counter);
    return counter.lines;
  }

  private static final class LineCounter implements ByteProcessor {
    private int lines;

    @Override
    public boolean process(byte value) {
      lines += value == '\n' ? 1 : 0;
      return true;
    }
  }

  /** Starts to count anew after each head and each part of a body. */
  private final class MessageHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      boolean part = message instanceof Buffer body && body.readableBytes() > 0;
      if (part || message instanceof HttpMetaData) {
        undecodedBytes = 0;
      }
      super.channelRead(context, message);
    }
  }
}
