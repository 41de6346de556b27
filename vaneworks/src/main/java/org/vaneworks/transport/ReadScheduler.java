package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import io.servicetalk.concurrent.Executor;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;

/**
 * Schedules reads of connections whose input is costly to decode.
 *
 * <p>In each interval, reads that decode into a limited number of messages are performed, so that
 * the event loop has time for everything else. Remote addresses take turns, however many
 * connections they have. Confined to one event loop.
 */
public final class ReadScheduler {
  @VisibleForTesting static final Duration INTERVAL = Duration.ofMillis(1);

  /** Messages that the reads of one interval decode into. */
  @VisibleForTesting static final int MESSAGES_PER_INTERVAL = 256;

  private final Executor clock;
  private final Map<SocketAddress, Queue<PendingRead>> pending = new LinkedHashMap<>();
  private boolean scheduled;

  private record PendingRead(int messages, Runnable read) {}

  private ReadScheduler(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Returns a scheduler without reads, whose timers run on an event loop. */
  public static ReadScheduler create(Executor clock) {
    return new ReadScheduler(clock);
  }

  /**
   * Performs a read once it is the turn of its remote address.
   *
   * @param messages expected number of messages that are decoded
   */
  void submit(SocketAddress remote, int messages, Runnable read) {
    checkArgument(messages > 0, "messages must be positive: %s", messages);
    pending
        .computeIfAbsent(remote, unused -> new ArrayDeque<>())
        .add(new PendingRead(messages, read));
    schedule();
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      var unused = clock.schedule(this::performReads, INTERVAL);
    }
  }

  private void performReads() {
    scheduled = false;
    int messages = 0;
    try {
      while (messages < MESSAGES_PER_INTERVAL && !pending.isEmpty()) {
        PendingRead next = poll();
        messages += next.messages();
        next.read().run();
      }
    } finally {
      if (!pending.isEmpty()) {
        schedule();
      }
    }
  }

  /** Removes the next read of the address whose turn it is; that address becomes the last one. */
  private PendingRead poll() {
    Iterator<Map.Entry<SocketAddress, Queue<PendingRead>>> addresses =
        pending.entrySet().iterator();
    Map.Entry<SocketAddress, Queue<PendingRead>> first = addresses.next();
    SocketAddress remote = first.getKey();
    Queue<PendingRead> reads = first.getValue();
    addresses.remove();
    PendingRead next = reads.remove();
    if (!reads.isEmpty()) {
      pending.put(remote, reads);
    }
    return next;
  }
}
