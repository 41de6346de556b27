package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.BuilderUtils;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.LoadSender;
import org.vaneworks.protocol.LoadCodec;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Load reports as datagrams, one a report.
 *
 * <p>A lost datagram is made good by the next, so there is nothing to retry, and no connection that
 * could fall silent. What has come waits in the socket until {@link #collect}: a wake of the
 * process for each would cost more than its reading. Runs on the node's event loop.
 */
public final class LoadDatagrams implements LoadSender {
  /** A group's report of 2,400 endpoints is some 29 KB; what is longer is cut and not read. */
  private static final int MOST_BYTES = 32 << 10;

  /** Twice what a group of twenty and twenty other groups send between two collections. */
  private static final int MOST_AT_ONCE = 64;

  /** Some times the nodes of the largest fleet; beyond it, those of boxes that are gone. */
  private static final int MOST_KEPT_ADDRESSES = 2000;

  private final Channel channel;
  private final Counters counters;

  /** Kept, as a report goes out 25 times a second. */
  private final Map<HostPort, InetSocketAddress> addresses = new HashMap<>();

  private LoadDatagrams(Channel channel, Counters counters) {
    this.channel = channel;
    this.counters = counters;
  }

  /**
   * Listens for reports.
   *
   * @param io the node's event loop, made by ServiceTalk's Netty transport
   * @param heard takes each report, on the event loop
   */
  public static LoadDatagrams listen(
      HostPort address, IoExecutor io, Consumer<LoadReport> heard, Counters counters) {
    checkArgument(io instanceof EventLoopAwareNettyIoExecutor, "not Netty's event loop: %s", io);
    EventLoopGroup loop = ((EventLoopAwareNettyIoExecutor) io).eventLoopGroup();
    Channel channel =
        new Bootstrap()
            .group(loop)
            .channel(BuilderUtils.datagramChannel(loop))
            .option(ChannelOption.AUTO_READ, false)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MOST_BYTES).maxMessagesPerRead(MOST_AT_ONCE))
            .handler(new Handler(heard, counters))
            .bind(new InetSocketAddress(address.host(), address.port()))
            .syncUninterruptibly()
            .channel();
    return new LoadDatagrams(channel, counters);
  }

  /** Returns where reports are listened for. */
  public HostPort address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new HostPort(local.getAddress().getHostAddress(), local.getPort());
  }

  @Override
  public int send(HostPort peer, LoadReport report) {
    if (addresses.size() > MOST_KEPT_ADDRESSES) {
      addresses.clear();
    }
    InetSocketAddress to = addresses.computeIfAbsent(peer, LoadDatagrams::socketAddress);
    byte[] bytes = LoadCodec.encode(report);
    DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(bytes), to);
    // A peer that is gone answers with "unreachable"; its entry lapses on its own.
    ChannelFuture unused =
        channel
            .writeAndFlush(packet)
            .addListener(
                sent ->
                    counters.count(Metric.LOAD_REPORTS, sent.isSuccess() ? "sent" : "not-sent"));
    return bytes.length;
  }

  @Override
  public void collect() {
    // Without automatic reading the channel would take one datagram and leave the others.
    channel.config().setAutoRead(true);
  }

  private static InetSocketAddress socketAddress(HostPort peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Listens no longer. */
  public void close() {
    ChannelFuture unused = channel.close();
  }

  private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final Consumer<LoadReport> heard;
    private final Counters counters;

    Handler(Consumer<LoadReport> heard, Counters counters) {
      this.heard = heard;
      this.counters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        heard.accept(LoadCodec.decode(ByteBufUtil.getBytes(packet.content())));
        counters.count(Metric.LOAD_REPORTS, "heard");
      } catch (IllegalArgumentException e) {
        counters.count(Metric.LOAD_REPORTS, "not-read");
        EventLog.warn(Event.PEER_REPORT_NOT_READ, "from", packet.sender(), "cause", e.getMessage());
      }
    }

    /** All that had come is read: what comes from now on waits for the next collection. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.channel().config().setAutoRead(false);
    }

    /** An unreachable peer shows as an error of the socket, which stays usable. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.count(Metric.LOAD_REPORTS, "socket-error");
    }
  }
}
