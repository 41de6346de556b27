package org.vaneworks.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.bytes.ByteArrayDecoder;
import io.netty.handler.codec.bytes.ByteArrayEncoder;
import io.netty.handler.flow.FlowControlHandler;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Framing of peer connections: a four-byte length, followed by the message.
 *
 * <p>An event of the loop reads a connection once. Messages that were read wait while the channel
 * does not read automatically.
 */
final class PeerFrames {
  private static final int LENGTH_BYTES = 4;

  /** Bytes of one read, so that messages of one peer do not take the event loop for long. */
  private static final int MAX_READ_BYTES = 16 << 10;

  private static final int FIRST_READ_BYTES = 2 << 10;
  private static final int MIN_READ_BYTES = 64;

  private PeerFrames() {}

  /** Adds the framing to a channel that was not read yet. */
  static void addTo(Channel channel, Counters counters) {
    channel
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1));
    channel
        .pipeline()
        .addLast(new ByteCounter(counters))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerCodec.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ByteArrayDecoder())
        .addLast(new ByteArrayEncoder())
        .addLast(new FlowControlHandler());
  }

  private static final class ByteCounter extends ChannelDuplexHandler {
    private final Counters counters;

    ByteCounter(Counters counters) {
      this.counters = counters;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      count("in", message);
      super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      count("out", message);
      super.write(context, message, promise);
    }

    private void count(String direction, Object message) {
      if (message instanceof ByteBuf bytes) {
        counters.add(Metric.PEER_BYTES, direction, bytes.readableBytes());
      }
    }
  }
}
