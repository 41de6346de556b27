package org.vaneworks.transport.entry;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.IoExecutor;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.transport.NewSockets;

/**
 * Registers each accepted connection in a task of the event loop, never while the loop handles
 * events, and only once all closes before are known, see {@link NewSockets}.
 *
 * <p>An accepted connection may have the descriptor of one that was closed in the same batch of
 * events, see {@link org.vaneworks.transport.DeferredConnectionFactory}. Netty would believe the
 * event of the closed one that its caller has left, and read from it without pause until that is
 * true. The events that are left in a batch for a descriptor without a channel are dropped. What
 * the caller has sent is read in the next poll.
 */
final class DeferredRegistration extends ChannelInboundHandlerAdapter {
  /** Whether a connection was accepted since this was last reset. */
  private boolean accepted;

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

  /**
   * Closes a listening socket once all connections that have arrived are registered; the kernel
   * would reset those that it holds. Must be called by a task of the event loop.
   *
   * @return completes when the socket is closed
   */
  static CompletableFuture<Void> closeAfterAccepting(Channel listening) {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    var unused = listening.closeFuture().addListener(future -> closed.complete(null));
    listening.pipeline().get(DeferredRegistration.class).closeUnlessAccepting(listening);
    return closed;
  }

  private void closeUnlessAccepting(Channel listening) {
    accepted = false;
    // The task runs after the next poll.
    var unused = listening.eventLoop().schedule(() -> closeOrGoOn(listening), 0, NANOSECONDS);
  }

  private void closeOrGoOn(Channel listening) {
    if (accepted) {
      closeUnlessAccepting(listening);
    } else {
      var unused = listening.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext server, Object connection) {
    accepted = true;
    NewSockets.runAfterCloses(server.executor(), () -> register(server, (Channel) connection));
  }

  private static void register(ChannelHandlerContext server, Channel accepted) {
    NewSockets.disableResetOnClose(accepted);
    if (server.channel().isOpen()) {
      server.fireChannelRead(accepted);
    } else {
      // The server would not close it any more.
      accepted.unsafe().closeForcibly();
    }
  }
}
