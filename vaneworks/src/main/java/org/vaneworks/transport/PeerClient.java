package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.servicetalk.concurrent.Executor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.membership.PeerException;
import org.vaneworks.coordination.membership.PeerLink;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.protocol.PeerCodec;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * Sends requests to peers over one connection per peer.
 *
 * <p>Idle connections are closed, so the number of open connections follows the traffic.
 * Thread-safe.
 */
public final class PeerClient implements PeerLink {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  private final EventLoopGroup loop;
  private final Executor executor;
  private final Counters counters;
  private final Map<HostPort, Connection> connections = new ConcurrentHashMap<>();

  private PeerClient(EventLoopGroup loop, Executor executor, Counters counters) {
    this.loop = checkNotNull(loop);
    this.executor = checkNotNull(executor);
    this.counters = checkNotNull(counters);
  }

  /** Returns a client without connections. */
  public static PeerClient create(EventLoopGroup loop, Executor executor, Counters counters) {
    return new PeerClient(loop, executor, counters);
  }

  @Override
  public CompletableFuture<PeerMessage> ask(HostPort peer, PeerMessage request, Duration timeout) {
    counters.count(Metric.PEER_MESSAGES, request.getClass().getSimpleName() + "-out");
    Connection connection =
        connections.compute(
            peer,
            (address, existing) ->
                existing == null || existing.isClosed() ? open(address) : existing);
    PeerException timeoutFailure = PeerException.unanswered(peer + " did not reply in " + timeout);
    return Async.withTimeout(executor, timeout, connection.ask(request), timeoutFailure);
  }

  private Connection open(HostPort peer) {
    Connection connection = new Connection();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    PeerFrames.addTo(channel, counters);
                    channel
                        .pipeline()
                        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                        .addLast(connection);
                  }
                });
    connection.connectFuture = bootstrap.connect(new InetSocketAddress(peer.host(), peer.port()));
    return connection;
  }

  private static final class Connection extends SimpleChannelInboundHandler<byte[]> {
    private final Map<Long, CompletableFuture<PeerMessage>> pending = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private volatile ChannelFuture connectFuture;
    private volatile boolean closed;

    boolean isClosed() {
      return closed
          || (connectFuture != null && connectFuture.isDone() && !connectFuture.isSuccess());
    }

    CompletableFuture<PeerMessage> ask(PeerMessage request) {
      long id = sequence.incrementAndGet();
      CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
      connectFuture.addListener(
          connected -> {
            if (!connected.isSuccess()) {
              reply.completeExceptionally(PeerException.notSent(String.valueOf(connected.cause())));
              return;
            }
            send(connectFuture.channel(), id, request, reply);
          });
      return reply;
    }

    private void send(
        Channel channel, long id, PeerMessage request, CompletableFuture<PeerMessage> reply) {
      pending.put(id, reply);
      if (closed) {
        failAll();
        return;
      }
      channel
          .writeAndFlush(PeerCodec.encode(id, request))
          .addListener(
              written -> {
                if (!written.isSuccess()) {
                  fail(id, PeerException.unanswered(String.valueOf(written.cause())));
                }
              });
    }

    private void fail(long id, PeerException failure) {
      CompletableFuture<PeerMessage> reply = pending.remove(id);
      if (reply != null) {
        reply.completeExceptionally(failure);
      }
    }

    private void failAll() {
      closed = true;
      for (Long id : pending.keySet()) {
        fail(id, PeerException.unanswered("the connection broke"));
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, byte[] frame) {
      PeerCodec.NumberedMessage reply = PeerCodec.decode(frame);
      CompletableFuture<PeerMessage> pendingReply = pending.remove(reply.id());
      if (pendingReply != null) {
        pendingReply.complete(reply.message());
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
      if (event instanceof IdleStateEvent && pending.isEmpty()) {
        closed = true;
        ChannelFuture unused = context.close();
        return;
      }
      super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      failAll();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ChannelFuture unused = context.close();
    }
  }
}
