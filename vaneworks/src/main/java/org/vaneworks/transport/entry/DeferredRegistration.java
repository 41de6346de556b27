package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import io.netty.channel.SingleThreadEventLoop;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.net.SocketAddress;
import java.util.Iterator;

/**
 * Registers each accepted connection in a task of the event loop, never while the loop handles
 * events.
 *
 * <p>An accepted connection may have the descriptor of one that was closed in the same batch of
 * events, see {@link org.vaneworks.transport.DeferredConnectionFactory}. Netty would believe the
 * event of the closed one that its caller has left, and read from it without pause until that is
 * true. The events that are left in a batch for a descriptor without a channel are dropped. What
 * the caller has sent is read in the next poll.
 */
final class DeferredRegistration extends ChannelInboundHandlerAdapter {
  private DeferredRegistration() {}

  /**
   * Installs it in the listening socket of a server. Must not be called by the event loop.
   *
   * @param io the server's event loop, which has one thread
   */
  static HttpServerContext install(HttpServerContext server, IoExecutor io) throws Exception {
    io.submit(
            () -> {
              listeningChannel(server.listenAddress(), io)
                  .pipeline()
                  .addFirst(new DeferredRegistration());
            })
        .toFuture()
        .get();
    return server;
  }

  private static Channel listeningChannel(SocketAddress address, IoExecutor io) {
    checkArgument(io instanceof EventLoopAwareNettyIoExecutor, "not Netty's event loop: %s", io);
    // ServiceTalk does not hand out the channel.
    var loop = ((EventLoopAwareNettyIoExecutor) io).eventLoopGroup().next();
    Iterator<Channel> channels = ((SingleThreadEventLoop) loop).registeredChannelsIterator();
    while (channels.hasNext()) {
      Channel channel = channels.next();
      if (channel instanceof ServerChannel && address.equals(channel.localAddress())) {
        return channel;
      }
    }
    throw new IllegalStateException("no listening socket at " + address);
  }

  @Override
  public void channelRead(ChannelHandlerContext server, Object accepted) {
    server.executor().execute(() -> register(server, (Channel) accepted));
  }

  private static void register(ChannelHandlerContext server, Channel accepted) {
    if (server.channel().isOpen()) {
      server.fireChannelRead(accepted);
    } else {
      // The server would not close it any more.
      accepted.unsafe().closeForcibly();
    }
  }
}
