package org.vaneworks.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.bytes.ByteArrayDecoder;
import io.netty.handler.codec.bytes.ByteArrayEncoder;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/** Framing of peer connections: a four-byte length, followed by the message. */
final class PeerFrames {
  private static final int LENGTH_BYTES = 4;

  private PeerFrames() {}

  static void addTo(ChannelPipeline pipeline, Counters counters) {
    pipeline
        .addLast(new ByteCounter(counters))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerCodec.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ByteArrayDecoder())
        .addLast(new ByteArrayEncoder());
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
