package org.vaneworks.transport.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.IoExecutor;

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
              ListeningChannels.find(server.listenAddress(), io)
                  .orElseThrow()
                  .pipeline()
                  .addFirst(new DeferredRegistration());
            })
        .toFuture()
        .get();
    return server;
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
