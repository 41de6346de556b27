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
 * Sends and receives load reports over UDP, one report per datagram.
 *
 * <p>The next report replaces a lost one, so nothing is retried and there is no connection that
 * could stall. Received datagrams stay in the socket buffer until {@link #collect}, because waking
 * the process for each would cost more than reading it. Runs on the node's event loop.
 */
public final class LoadDatagrams implements LoadSender {
  /**
   * A group's report of 2,400 endpoints takes about 29 KB; longer datagrams are truncated and
   * rejected.
   */
  private static final int MAX_DATAGRAM_BYTES = 32 << 10;

  /**
   * Twice what the nodes of a group of twenty and twenty other groups send between two collections.
   */
  private static final int MAX_DATAGRAMS_PER_READ = 64;

  /**
   * Several times the number of nodes in the largest fleet; above this bound, the cache mostly has
   * addresses of removed boxes and is cleared.
   */
  private static final int MAX_CACHED_ADDRESSES = 2000;

  private final Channel channel;
  private final Counters counters;

  /** Cache of socket addresses, because a report is sent 25 times a second. */
  private final Map<HostPort, InetSocketAddress> addresses = new HashMap<>();

  private LoadDatagrams(Channel channel, Counters counters) {
    this.channel = channel;
    this.counters = counters;
  }

  /**
   * Binds the socket.
   *
   * @param io the node's event loop, created by ServiceTalk's Netty transport
   * @param receiver called with each received report, on the event loop
   */
  public static LoadDatagrams listen(
      HostPort address, IoExecutor io, Consumer<LoadReport> receiver, Counters counters) {
    checkArgument(io instanceof EventLoopAwareNettyIoExecutor, "not Netty's event loop: %s", io);
    EventLoopGroup loop = ((EventLoopAwareNettyIoExecutor) io).eventLoopGroup();
    Channel channel =
        new Bootstrap()
            .group(loop)
            .channel(BuilderUtils.datagramChannel(loop))
            .option(ChannelOption.AUTO_READ, false)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                    .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
            .handler(new Handler(receiver, counters))
            .bind(new InetSocketAddress(address.host(), address.port()))
            .syncUninterruptibly()
            .channel();
    return new LoadDatagrams(channel, counters);
  }

  /** Returns the address that the socket is bound to. */
  public HostPort address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new HostPort(local.getAddress().getHostAddress(), local.getPort());
  }

  @Override
  public int send(HostPort peer, LoadReport report) {
    if (addresses.size() > MAX_CACHED_ADDRESSES) {
      addresses.clear();
    }
    InetSocketAddress to = addresses.computeIfAbsent(peer, LoadDatagrams::socketAddress);
    byte[] bytes = LoadCodec.encode(report);
    DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(bytes), to);
    // A stopped peer causes ICMP "unreachable" errors until its entry expires.
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
    // Without auto-read, the channel would receive only one of the queued datagrams.
    channel.config().setAutoRead(true);
  }

  private static InetSocketAddress socketAddress(HostPort peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Closes the socket. */
  public void close() {
    ChannelFuture unused = channel.close();
  }

  private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final Consumer<LoadReport> receiver;
    private final Counters counters;

    Handler(Consumer<LoadReport> receiver, Counters counters) {
      this.receiver = receiver;
      this.counters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        receiver.accept(LoadCodec.decode(ByteBufUtil.getBytes(packet.content())));
        counters.count(Metric.LOAD_REPORTS, "heard");
      } catch (IllegalArgumentException e) {
        counters.count(Metric.LOAD_REPORTS, "not-read");
        EventLog.warn(Event.PEER_REPORT_NOT_READ, "from", packet.sender(), "cause", e.getMessage());
      }
    }

    /** Stops reading: datagrams that arrive from now on wait for the next collection. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.channel().config().setAutoRead(false);
    }

    /** Counts errors caused by unreachable peers; the socket stays usable. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.count(Metric.LOAD_REPORTS, "socket-error");
    }
  }
}
