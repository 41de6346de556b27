package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.MoreCollectors.onlyElement;

import com.google.common.collect.Streams;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpMetaData;
import io.servicetalk.transport.netty.internal.ByteToMessageDecoder;
import io.servicetalk.transport.netty.internal.CloseHandler.InboundDataEndEvent;
import java.util.Map;

/**
 * Closes a connection whose peer sends more than a number of bytes which are neither a complete
 * head nor a part of a body: a head, chunk extensions or trailers without end.
 *
 * <p>ServiceTalk limits single lines, but not all lines of a head or of trailers together. Each
 * line counts with the memory that it takes once decoded. An account may also refuse this memory,
 * and that of the head until its response has ended. Confined to the event loop of its connection.
 */
public final class UndecodedInputLimit {
  /** Accounts for the memory of what several connections hold. */
  public interface Account {
    /**
     * Takes memory, before it is held.
     *
     * @param bytes how many more bytes
     * @param totalBytes what the connection holds with them
     * @return false if there is no room, and none was taken; the connection is then closed
     */
    boolean tryTake(long bytes, long totalBytes);

    /** Gives memory back. */
    void giveBack(long bytes);
  }

  private static final String INPUT_HANDLER_NAME = "undecoded-input";
  private static final String MESSAGE_HANDLER_NAME = "decoded-messages";

  /** Memory of a decoded header field besides its bytes. */
  private static final int LINE_BYTES = 192;

  private final int maxBytes;
  private final Account account;
  private long undecodedBytes;

  /** The memory of the latest head, until its message has ended. */
  private long headBytes;

  /** Whether a head was decoded whose message has not ended. */
  private boolean inBody;

  /** Whether the first head or a part of a body was decoded from the latest input. */
  private boolean decoded;

  private boolean refused;
  private final HeadLineCounter headLines = new HeadLineCounter();

  private UndecodedInputLimit(int maxBytes, Account account) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    this.maxBytes = maxBytes;
    this.account = checkNotNull(account);
  }

  /**
   * Adds the limit to the pipeline of a connection.
   *
   * @param maxBytes maximum number of bytes, including those that decoded lines take
   * @param account accounts for these bytes, and for the head of the message in progress
   */
  public static void install(ChannelPipeline pipeline, int maxBytes, Account account) {
    UndecodedInputLimit limit = new UndecodedInputLimit(maxBytes, account);
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
      if (refused) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (!(message instanceof ByteBuf bytes)) {
        super.channelRead(context, message);
        return;
      }
      long memory = bytes.readableBytes() + (long) LINE_BYTES * lines(bytes);
      // Most of what arrives of a body is passed on at once.
      long headMemory =
          inBody ? 0 : bytes.readableBytes() + (long) LINE_BYTES * headLines.count(bytes);
      if (!tryTake(context, headMemory)) {
        ReferenceCountUtil.release(message);
        return;
      }
      decoded = false;
      super.channelRead(context, message);
      if (!decoded && !refused && tryTake(context, memory - headMemory)) {
        checkLimit(context);
      }
    }

    private boolean tryTake(ChannelHandlerContext context, long memory) {
      if (memory > 0 && !account.tryTake(memory, undecodedBytes + headBytes + memory)) {
        refuse(context, "neither head nor body: no memory for it");
        return false;
      }
      undecodedBytes += memory;
      return true;
    }

    private void checkLimit(ChannelHandlerContext context) {
      if (undecodedBytes > maxBytes) {
        refuse(context, "neither head nor body: over " + maxBytes);
      }
    }

    private void refuse(ChannelHandlerContext context, String cause) {
      refused = true;
      context.fireExceptionCaught(new TooLongFrameException(cause));
      var unused = context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      super.channelInactive(context);
      refused = true;
      releaseAll();
    }
  }

  private void releaseUndecoded() {
    account.giveBack(undecodedBytes);
    undecodedBytes = 0;
  }

  private void releaseAll() {
    releaseUndecoded();
    account.giveBack(headBytes);
    headBytes = 0;
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

  /** Counts the lines of a head that arrives in parts, without the body that follows. */
  private static final class HeadLineCounter implements ByteProcessor {
    private int lines;
    private boolean inLine;
    private boolean afterLine;

    int count(ByteBuf bytes) {
      lines = 0;
      var unused = bytes.forEachByte(this);
      return lines;
    }

    void reset() {
      inLine = false;
      afterLine = false;
    }

    @Override
    public boolean process(byte value) {
      if (value == '\n') {
        if (!inLine && afterLine) {
          return false;
        }
        lines += inLine ? 1 : 0;
        afterLine |= inLine;
        inLine = false;
      } else {
        inLine |= value != '\r';
      }
      return true;
    }
  }

  /** Starts to count anew after each head and each part of a body. */
  private final class MessageHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof HttpMetaData) {
        // Heads may follow each other without end, such as those of informational responses.
        decoded |= !inBody;
        inBody = true;
        headBytes += undecodedBytes;
        undecodedBytes = 0;
      } else if (message instanceof Buffer body && body.readableBytes() > 0) {
        decoded = true;
        releaseUndecoded();
      }
      super.channelRead(context, message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
      super.userEventTriggered(context, event);
      if (event == InboundDataEndEvent.INSTANCE) {
        inBody = false;
        headLines.reset();
        releaseAll();
      }
    }
  }
}
