package org.vaneworks.transport.entry;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Channel handler that withholds failures of writes until the input was read.
 *
 * <p>An endpoint that closes its connection without having read all of a request resets it. What it
 * sent before can still be read, but ServiceTalk closes the connection at the first write that
 * fails. Failures are therefore reported at the end of the input, or once {@link #release} tells
 * that the response was received.
 *
 * <p>Confined to the channel's event loop.
 */
final class WriteFailures extends ChannelDuplexHandler {
  private final Queue<Runnable> withheld = new ArrayDeque<>();
  private boolean withholding;

  /** Withholds failures from now on. */
  void withhold() {
    withholding = true;
  }

  /** Reports the failures that were withheld, and later ones at once. */
  void release() {
    withholding = false;
    while (!withheld.isEmpty()) {
      withheld.remove().run();
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (!withholding || promise.isVoid()) {
      super.write(context, message, promise);
      return;
    }
    ChannelPromise written = context.newPromise();
    var unused =
        written.addListener(
            result -> {
              if (result.isSuccess()) {
                promise.trySuccess();
              } else {
                failed(promise, result.cause());
              }
            });
    super.write(context, message, written);
  }

  private void failed(ChannelPromise promise, Throwable cause) {
    if (withholding && cause instanceof IOException) {
      withheld.add(() -> promise.tryFailure(cause));
    } else {
      promise.tryFailure(cause);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelOutputShutdownEvent && !withheld.isEmpty()) {
      withheld.add(() -> context.fireUserEventTriggered(event));
      return;
    }
    if (event instanceof ChannelInputShutdownEvent) {
      release();
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    release();
    super.exceptionCaught(context, cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    release();
    super.channelInactive(context);
  }
}
