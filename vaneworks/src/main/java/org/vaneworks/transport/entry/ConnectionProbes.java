package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.BuilderUtils;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.fleet.ConnectionProbe;
import org.vaneworks.state.HostPort;
import org.vaneworks.transport.NewSockets;

/** Opens TCP connections to addresses in order to find out whether they can be reached. */
public final class ConnectionProbes implements ConnectionProbe {
  private final EventLoopGroup loop;

  private ConnectionProbes(EventLoopGroup loop) {
    this.loop = loop;
  }

  /**
   * Returns probes that run on an event loop.
   *
   * @param io the node's event loop, created by ServiceTalk's Netty transport
   */
  public static ConnectionProbes on(IoExecutor io) {
    checkArgument(io instanceof EventLoopAwareNettyIoExecutor, "not Netty's event loop: %s", io);
    return new ConnectionProbes(((EventLoopAwareNettyIoExecutor) io).eventLoopGroup());
  }

  @Override
  public CompletableFuture<?> connect(HostPort address, Duration timeout) {
    CompletableFuture<Void> connected = new CompletableFuture<>();
    // In a task, for the reason of DeferredConnectionFactory.
    loop.execute(() -> connect(address, timeout, connected));
    return connected;
  }

  private void connect(HostPort address, Duration timeout, CompletableFuture<Void> connected) {
    ChannelFuture unused =
        new Bootstrap()
            .group(loop)
            .channel(BuilderUtils.socketChannel(loop, InetSocketAddress.class))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
            .handler(new ChannelInboundHandlerAdapter())
            .connect(new InetSocketAddress(address.host(), address.port()))
            .addListener((ChannelFuture connecting) -> complete(connecting, connected));
  }

  private static void complete(ChannelFuture connecting, CompletableFuture<Void> connected) {
    if (connecting.isSuccess()) {
      NewSockets.disableResetOnClose(connecting.channel());
      ChannelFuture unused = connecting.channel().close();
      connected.complete(null);
    } else {
      connected.completeExceptionally(connecting.cause());
    }
  }
}
