package org.vaneworks.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.concurrent.Executor;

/**
 * Protects new sockets from what is still done to closed ones that had the same file descriptor.
 *
 * <p>If a channel was closed without ServiceTalk, ServiceTalk sets SO_LINGER to zero once it is
 * told that the channel is inactive. Netty then sets it on the descriptor, which may belong to a
 * new socket by that time; the close of that one would be a reset, and its peer would lose what it
 * has not received yet.
 *
 * <p>Netty tells of a close in a task that is scheduled by the close, or by such a task. Tasks run
 * in the order in which they were scheduled, so that all closes before a time are known after two
 * tasks of which the first was scheduled at that time and the second by the first.
 */
public final class NewSockets {
  /** The kernel sends what was written after the close. */
  private static final int SO_LINGER_OFF = -1;

  private NewSockets() {}

  /**
   * Runs a task once all handlers know of the channels that have been closed.
   *
   * @param loop the event loop of these channels, which has one thread and calls this
   */
  public static void runAfterCloses(Executor loop, Runnable task) {
    loop.execute(() -> loop.execute(task));
  }

  /**
   * Lets the close of a channel be no reset, whatever was set on its descriptor. Does nothing if it
   * is closed. Must be called by its event loop.
   */
  public static void disableResetOnClose(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, SO_LINGER_OFF);
    }
  }
}
