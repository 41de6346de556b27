package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.SingleThreadEventLoop;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import java.net.SocketAddress;
import java.util.Iterator;
import java.util.Optional;

/** Finds the channels of listening sockets, which ServiceTalk does not hand out. */
final class ListeningChannels {
  private ListeningChannels() {}

  /**
   * Returns the channel that listens at an address, if there is one. Must be called by the event
   * loop.
   *
   * @param io an event loop with one thread
   */
  static Optional<Channel> find(SocketAddress address, IoExecutor io) {
    checkArgument(io instanceof EventLoopAwareNettyIoExecutor, "not Netty's event loop: %s", io);
    var loop = ((EventLoopAwareNettyIoExecutor) io).eventLoopGroup().next();
    Iterator<Channel> channels = ((SingleThreadEventLoop) loop).registeredChannelsIterator();
    while (channels.hasNext()) {
      Channel channel = channels.next();
      if (channel instanceof ServerChannel && address.equals(channel.localAddress())) {
        return Optional.of(channel);
      }
    }
    return Optional.empty();
  }
}
