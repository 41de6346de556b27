package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.vaneworks.coordination.concurrent.Async;

/**
 * The responses to callers that were not written to their sockets completely yet.
 *
 * <p>A request has ended for the node as soon as its answer is known, but the response may be
 * buffered long after that for a caller that reads slowly. Thread-safe.
 */
public final class ResponseDeliveries {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final Executor executor;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** Number of responses whose end was not passed to their channel yet. */
  private final AtomicInteger unfinished = new AtomicInteger();

  /** One response; it ends with its channel if it does not end before. */
  private final class Delivery implements ChannelFutureListener {
    private final Channel channel;
    private final AtomicBoolean finished = new AtomicBoolean();

    Delivery(Channel channel) {
      this.channel = channel;
    }

    void finish() {
      if (finished.compareAndSet(false, true)) {
        unfinished.decrementAndGet();
        // Otherwise the listeners of all responses would accumulate on a connection that stays
        // open.
        channel.closeFuture().removeListener(this);
      }
    }

    @Override
    public void operationComplete(ChannelFuture closed) {
      finish();
    }
  }

  private ResponseDeliveries(Executor executor) {
    this.executor = checkNotNull(executor);
  }

  /** Returns an instance without responses. */
  public static ResponseDeliveries create(Executor executor) {
    return new ResponseDeliveries(executor);
  }

  /** Returns the response, which counts as unfinished from now until its end or the channel's. */
  Single<StreamingHttpResponse> track(Channel channel, Single<StreamingHttpResponse> response) {
    Delivery delivery = new Delivery(channel);
    unfinished.incrementAndGet();
    channels.add(channel);
    channel.closeFuture().addListener(delivery);
    return response
        .map(head -> head.transformPayloadBody(body -> body.beforeFinally(delivery::finish)))
        .beforeOnError(failure -> delivery.finish());
  }

  /**
   * Waits until all responses are written to their sockets.
   *
   * @return whether all were within the limit
   */
  public CompletableFuture<Boolean> awaitWritten(Duration limit) {
    return awaitWritten(executor.currentTime(NANOSECONDS) + limit.toNanos());
  }

  private CompletableFuture<Boolean> awaitWritten(long deadline) {
    return areWritten()
        .thenCompose(
            written ->
                written || executor.currentTime(NANOSECONDS) - deadline >= 0
                    ? CompletableFuture.completedFuture(written)
                    : Async.delay(executor, POLL_INTERVAL)
                        .thenCompose(elapsed -> awaitWritten(deadline)));
  }

  private CompletableFuture<Boolean> areWritten() {
    if (unfinished.get() > 0) {
      return CompletableFuture.completedFuture(false);
    }
    List<CompletableFuture<Boolean>> written = new ArrayList<>();
    channels.forEach(channel -> written.add(isWritten(channel)));
    return CompletableFuture.allOf(written.toArray(CompletableFuture[]::new))
        .thenApply(checked -> written.stream().allMatch(CompletableFuture::join));
  }

  /** Checks on the channel's event loop, after all writes that were passed to it. */
  private static CompletableFuture<Boolean> isWritten(Channel channel) {
    CompletableFuture<Boolean> written = new CompletableFuture<>();
    channel
        .eventLoop()
        .execute(
            () -> {
              // A closed channel has no outbound buffer.
              ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
              written.complete(pending == null || pending.isEmpty());
            });
    return written;
  }
}
