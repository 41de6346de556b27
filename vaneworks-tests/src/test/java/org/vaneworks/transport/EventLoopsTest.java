package org.vaneworks.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class EventLoopsTest {
  /** Only bounds a failing test. */
  private static final int TIMEOUT_SECONDS = 60;

  private final IoExecutor io = EventLoops.singleThreaded("test");
  private final EventLoopGroup loop = ((EventLoopAwareNettyIoExecutor) io).eventLoopGroup();

  @AfterEach
  void stop() throws Exception {
    io.closeAsync().toFuture().get();
  }

  /** Completes with the first byte that is read, or with the failure of its channel. */
  private static final class FirstByte extends ChannelInboundHandlerAdapter {
    private final CompletableFuture<Byte> received = new CompletableFuture<>();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      received.complete(((ByteBuf) message).readByte());
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      received.completeExceptionally(new IllegalStateException("closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      received.completeExceptionally(cause);
    }
  }

  private Bootstrap bootstrap(ChannelInboundHandlerAdapter handler) {
    return new Bootstrap().group(loop).channel(EpollSocketChannel.class).handler(handler);
  }

  // Guards against a new connection that is closed because it gets events of the connection that
  // had its descriptor before.
  @Test
  void newChannelGetsNoEventsOfTheChannelThatHadItsDescriptor() throws Exception {
    assumeTrue(Epoll.isAvailable(), "other transports do not find channels by descriptor");
    try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      Channel closed =
          bootstrap(new ChannelInboundHandlerAdapter())
              .connect(server.getLocalSocketAddress())
              .sync()
              .channel();
      Socket closedPeer = server.accept();
      FirstByte opened = new FirstByte();
      Channel first =
          bootstrap(
                  new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                      ReferenceCountUtil.release(message);
                      var unused = closed.close();
                      bootstrap(opened)
                          .connect(server.getLocalSocketAddress())
                          .addListener(
                              connected -> {
                                if (!connected.isSuccess()) {
                                  opened.received.completeExceptionally(connected.cause());
                                }
                              });
                    }
                  })
              .connect(server.getLocalSocketAddress())
              .sync()
              .channel();
      Socket firstPeer = server.accept();
      CountDownLatch written = new CountDownLatch(1);
      loop.execute(
          () -> {
            try {
              written.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      // Both events are ready when the loop polls the next time.
      firstPeer.getOutputStream().write(1);
      closedPeer.getOutputStream().write(2);
      written.countDown();
      try (Socket openedPeer = server.accept()) {
        openedPeer.getOutputStream().write(3);
        assertEquals((byte) 3, opened.received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      }
      var unused = first.close().sync();
      firstPeer.close();
      closedPeer.close();
    }
  }
}
