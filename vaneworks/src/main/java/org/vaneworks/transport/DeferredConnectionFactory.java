package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.Channel;
import io.servicetalk.client.api.ConnectionFactory;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.client.api.DelegatingConnectionFactory;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.TransportObserver;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.net.InetSocketAddress;

/**
 * Opens each connection in a task of its event loop, never while the loop handles events.
 *
 * <p>Netty's epoll loop takes events in batches and finds the channel of each by its file
 * descriptor. If a channel is closed while a batch is handled, one that is opened at once may have
 * the same descriptor, and would get those events of the closed one that are left in the batch.
 * Tasks run between two batches. What else may be done to the closed channel is undone, see {@link
 * NewSockets}.
 */
public final class DeferredConnectionFactory
    extends DelegatingConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> {
  private final IoExecutor loop;

  private DeferredConnectionFactory(
      ConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> delegate,
      IoExecutor loop) {
    super(delegate);
    this.loop = checkNotNull(loop);
  }

  /** Returns a filter for clients whose connections belong to an event loop with one thread. */
  public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection>
      onLoop(IoExecutor loop) {
    return ConnectionFactoryFilter.withStrategy(
        original -> new DeferredConnectionFactory(original, loop),
        HttpExecutionStrategies.offloadNone());
  }

  @Override
  public Single<FilterableStreamingHttpConnection> newConnection(
      InetSocketAddress address, ContextMap context, TransportObserver observer) {
    return loop.submit(() -> {})
        .concat(delegate().newConnection(address, context, observer))
        .whenOnSuccess(DeferredConnectionFactory::connected);
  }

  private static void connected(FilterableStreamingHttpConnection connection) {
    Channel channel = ((NettyConnectionContext) connection.connectionContext()).nettyChannel();
    NewSockets.runAfterCloses(channel.eventLoop(), () -> NewSockets.disableResetOnClose(channel));
  }
}
