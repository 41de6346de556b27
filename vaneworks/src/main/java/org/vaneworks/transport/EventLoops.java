package org.vaneworks.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import io.servicetalk.transport.netty.internal.NettyIoThreadFactory;

/** Creates event loops. */
public final class EventLoops {
  /**
   * Netty finds the channel of an event by its file descriptor. If a channel is closed while a
   * batch of events is handled, one that is opened next may have the same descriptor, and would get
   * those events of the closed one that are left in the batch.
   */
  private static final int MAX_EVENTS_PER_POLL = 1;

  private EventLoops() {}

  /**
   * Returns an event loop with one thread, of which no channel gets events of another one.
   *
   * @param threadName the prefix of the thread's name
   */
  @SuppressWarnings("deprecation") // No other constructor limits the events of a poll.
  public static IoExecutor singleThreaded(String threadName) {
    if (!Epoll.isAvailable()) {
      return NettyIoExecutors.createIoExecutor(1, threadName);
    }
    EventLoopGroup loop =
        new EpollEventLoopGroup(1, new NettyIoThreadFactory(threadName), MAX_EVENTS_PER_POLL);
    return NettyIoExecutors.fromNettyEventLoopGroup(loop, true);
  }
}
