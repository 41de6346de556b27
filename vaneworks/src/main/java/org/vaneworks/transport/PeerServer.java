package org.vaneworks.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.servicetalk.concurrent.Executor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Server for requests of peers.
 *
 * <p>A connection is not read while a number of its requests are in progress, until their replies
 * are written.
 */
public final class PeerServer implements AutoCloseable {
  /** Many times what a peer has in progress, so that its pings do not wait behind its requests. */
  private static final int MAX_REQUESTS_IN_PROGRESS = 1024;

  private final Channel channel;

  private PeerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds the server.
   *
   * @param handler handles a request; runs on the executor
   */
  public static PeerServer listen(
      HostPort address,
      EventLoopGroup loop,
      Executor executor,
      Counters counters,
      Function<PeerMessage, CompletableFuture<PeerMessage>> handler) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel peer) {
                    PeerFrames.addTo(peer, counters);
                    peer.pipeline().addLast(new Handler(executor, counters, handler));
                  }
                });
    Channel channel =
        bootstrap
            .bind(new InetSocketAddress(address.host(), address.port()))
            .syncUninterruptibly()
            .channel();
    return new PeerServer(channel);
  }

  /** Returns the address that the server is bound to. */
  public HostPort address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new HostPort(local.getAddress().getHostAddress(), local.getPort());
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private static final class Handler extends SimpleChannelInboundHandler<byte[]> {
    private final Executor executor;
    private final Counters counters;
    private final Function<PeerMessage, CompletableFuture<PeerMessage>> handler;

    /** Requests whose replies are not written. Confined to the event loop. */
    private int inProgress;

    Handler(
        Executor executor,
        Counters counters,
        Function<PeerMessage, CompletableFuture<PeerMessage>> handler) {
      this.executor = executor;
      this.counters = counters;
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, byte[] frame) {
      PeerCodec.NumberedMessage request = PeerCodec.decode(frame);
      counters.count(Metric.PEER_MESSAGES, request.message().getClass().getSimpleName() + "-in");
      addInProgress(context, 1);
      executor.execute(
          () ->
              Async.onDone(
                  handle(request.message()),
                  executor,
                  (reply, failure) -> {
                    PeerMessage response =
                        failure == null ? reply : new PeerMessage.Failed(failure.toString());
                    ChannelFuture unused =
                        context
                            .writeAndFlush(encodeWithinLimit(request.id(), response))
                            .addListener(written -> addInProgress(context, -1));
                  }));
    }

    private CompletableFuture<PeerMessage> handle(PeerMessage request) {
      try {
        return handler.apply(request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void addInProgress(ChannelHandlerContext context, int requests) {
      inProgress += requests;
      context.channel().config().setAutoRead(inProgress < MAX_REQUESTS_IN_PROGRESS);
    }

    /** Replaces a message that is too large, on which the peer would close the connection. */
    private static byte[] encodeWithinLimit(long id, PeerMessage response) {
      byte[] frame = PeerCodec.encode(id, response);
      if (frame.length <= PeerCodec.MAX_MESSAGE_BYTES) {
        return frame;
      }
      String problem = "the reply is too large: " + frame.length + " bytes";
      return PeerCodec.encode(id, new PeerMessage.Failed(problem));
    }

    /** Closes the connection of a peer that sent an unreadable frame. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}
