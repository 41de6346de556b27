package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.primitives.Ints;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.transport.netty.internal.CloseHandler.InboundDataEndEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the time that the input of one connection takes of its event loop, whatever its peer
 * sends.
 *
 * <p>An event of the loop reads the connection once. How much is read depends on how many messages
 * the input before was decoded into, such as chunks. Parts of a body that were decoded from the
 * same read are passed on as one. If a read was decoded into many messages, the next one waits for
 * a turn of a {@link ReadScheduler}.
 *
 * <p>Confined to the event loop of its connection.
 */
public final class BoundedReads {
  private static final String INPUT_HANDLER_NAME = "bounded-reads";
  private static final String MESSAGE_HANDLER_NAME = "joined-parts";

  @VisibleForTesting static final int MIN_READ_BYTES = 512;
  @VisibleForTesting static final int FIRST_READ_BYTES = 2 << 10;
  @VisibleForTesting static final int MAX_READ_BYTES = 16 << 10;

  /** Messages that a read should be decoded into at most. */
  @VisibleForTesting static final int MAX_MESSAGES = 128;

  /** Messages of one read up to which the next one does not wait. */
  @VisibleForTesting static final int MAX_LIGHT_MESSAGES = 32;

  /** Bytes of a read that belong to no body up to which they do not count as messages. */
  private static final int MAX_LIGHT_HEAD_BYTES = 1 << 10;

  /** Bytes of a short header or trailer line, beyond which each counts as a message. */
  private static final int LINE_BYTES = 8;

  private final BufferAllocator allocator;
  private final ReadScheduler scheduler;
  private int nextReadBytes = FIRST_READ_BYTES;
  private int readBytes;
  private int bodyBytes;
  private int messages;

  /** The number of messages of the latest read that has ended. */
  private int lastMessages;

  /** Whether a message has ended in the latest read, so that a head follows. */
  private boolean messageEnded;

  private boolean waiting;

  private BoundedReads(BufferAllocator allocator, ReadScheduler scheduler) {
    this.allocator = checkNotNull(allocator);
    this.scheduler = checkNotNull(scheduler);
  }

  /** Adds the bounds to the pipeline of a connection that decodes HTTP and was not read yet. */
  public static void install(Channel channel, BufferAllocator allocator, ReadScheduler scheduler) {
    BoundedReads reads = new BoundedReads(allocator, scheduler);
    channel.config().setRecvByteBufAllocator(reads.new ReadSize());
    ChannelPipeline pipeline = channel.pipeline();
    // Placed before ServiceTalk's last handler, which receives what was decoded. The last name in
    // the list is the pipeline's tail.
    String last = pipeline.names().get(pipeline.names().size() - 2);
    pipeline.addBefore(last, MESSAGE_HANDLER_NAME, reads.new MessageHandler());
    pipeline.addBefore(
        UndecodedInputLimit.decoderName(pipeline), INPUT_HANDLER_NAME, reads.new InputHandler());
  }

  /** Adapts the size of the next read to the density of the latest one. */
  private void endRead() {
    if (readBytes == 0) {
      return;
    }
    int headBytes = readBytes - bodyBytes;
    if (headBytes > MAX_LIGHT_HEAD_BYTES) {
      // Lines of heads and trailers are decoded into objects, but are no messages.
      messages = Math.max(messages, headBytes / LINE_BYTES);
    }
    long fitting = (long) readBytes * MAX_MESSAGES / Math.max(1, messages);
    boolean full = readBytes >= nextReadBytes;
    long wanted = full ? 2L * readBytes : nextReadBytes;
    nextReadBytes =
        Ints.constrainToRange(
            Ints.saturatedCast(Math.min(wanted, fitting)), MIN_READ_BYTES, MAX_READ_BYTES);
    if (messageEnded) {
      // What is read with a head is held as long as the head.
      nextReadBytes = Math.min(nextReadBytes, FIRST_READ_BYTES);
      messageEnded = false;
    }
    lastMessages = messages;
    readBytes = 0;
    bodyBytes = 0;
    messages = 0;
  }

  private final class ReadSize extends DefaultMaxMessagesRecvByteBufAllocator {
    private ReadSize() {
      super(1);
    }

    @Override
    @SuppressWarnings("deprecation") // Required by Netty's interface.
    public Handle newHandle() {
      return new MaxMessageHandle() {
        @Override
        public int guess() {
          return nextReadBytes;
        }
      };
    }
  }

  /** Measures reads, and delays them. */
  private final class InputHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof ByteBuf bytes) {
        readBytes += bytes.readableBytes();
      }
      super.channelRead(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      endRead();
      super.channelReadComplete(context);
    }

    @Override
    public void read(ChannelHandlerContext context) {
      if (waiting) {
        return;
      }
      if (lastMessages <= MAX_LIGHT_MESSAGES) {
        context.read();
        return;
      }
      waiting = true;
      scheduler.submit(
          context.channel().remoteAddress(),
          lastMessages,
          () -> {
            waiting = false;
            if (context.channel().isActive()) {
              context.read();
            }
          });
    }
  }

  /** Counts messages, and joins the parts of a body. */
  private final class MessageHandler extends ChannelInboundHandlerAdapter {
    private final List<Buffer> parts = new ArrayList<>();
    private int partBytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      messages++;
      if (message instanceof Buffer part) {
        parts.add(part);
        partBytes += part.readableBytes();
        bodyBytes += part.readableBytes();
        return;
      }
      passOn(context);
      super.channelRead(context, message);
    }

    private void passOn(ChannelHandlerContext context) {
      if (parts.isEmpty()) {
        return;
      }
      Buffer joined = parts.size() == 1 ? parts.get(0) : join();
      parts.clear();
      partBytes = 0;
      context.fireChannelRead(joined);
    }

    private Buffer join() {
      byte[] joined = new byte[partBytes];
      int start = 0;
      for (Buffer part : parts) {
        int length = part.readableBytes();
        part.readBytes(joined, start, length);
        start += length;
      }
      return allocator.wrap(joined);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      passOn(context);
      super.channelReadComplete(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
      passOn(context);
      messageEnded |= event == InboundDataEndEvent.INSTANCE;
      super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
      passOn(context);
      super.exceptionCaught(context, cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      passOn(context);
      super.channelInactive(context);
    }
  }
}
