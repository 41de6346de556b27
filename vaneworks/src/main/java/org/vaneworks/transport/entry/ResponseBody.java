package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The body of a response to a caller, published as the endpoint's response arrives.
 *
 * <p>Buffers bytes for which the subscriber has no demand yet. {@link #offer} returns false while
 * the buffer exceeds its bound, and the {@code onDrained} callback runs once it is empty again.
 * Confined to the node's event loop.
 */
final class ResponseBody implements PublisherSource<Buffer>, PublisherSource.Subscription {
  /** Memory buffered for a slow caller above which reading from the endpoint is paused. */
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  /** Least memory that a buffered part takes. */
  private static final int MIN_PART_BYTES = 128;

  private final Runnable onDrained;
  private final Runnable onCancel;
  private final MemoryBudget memory;
  private final Queue<Buffer> buffered = new ArrayDeque<>();
  private Subscriber<? super Buffer> subscriber;
  private Throwable failure;
  private long demand;
  private int bufferedBytes;
  private int bufferedMemory;
  private long emittedBytes;
  private boolean full;
  private boolean ended;
  private boolean terminated;
  private boolean emitting;

  /**
   * Creates an empty body.
   *
   * @param memory counts the buffered bytes
   */
  ResponseBody(Runnable onDrained, Runnable onCancel, MemoryBudget memory) {
    this.memory = checkNotNull(memory);
    this.onDrained = checkNotNull(onDrained);
    this.onCancel = checkNotNull(onCancel);
  }

  /** Appends bytes to the body; returns whether the producer may continue without a pause. */
  boolean offer(Buffer bytes) {
    if (terminated) {
      return true;
    }
    buffered.add(bytes);
    bufferedBytes += bytes.readableBytes();
    addMemory(memoryOf(bytes));
    emit();
    full = bufferedMemory > MAX_BUFFERED_BYTES || (bufferedBytes > 0 && !memory.hasRoom(0, 0));
    return !full;
  }

  private static int memoryOf(Buffer part) {
    return Math.max(MIN_PART_BYTES, part.readableBytes());
  }

  private void addMemory(int bytes) {
    bufferedMemory += bytes;
    memory.add(bytes);
  }

  /** Returns whether the body was emitted to its end, failed, or was cancelled. */
  boolean isTerminated() {
    return terminated;
  }

  int bufferedBytes() {
    return bufferedBytes;
  }

  /** Returns the number of bytes that the subscriber has received. */
  long emittedBytes() {
    return emittedBytes;
  }

  /** Completes the body after the buffered bytes. */
  void end() {
    ended = true;
    emit();
  }

  /**
   * Fails the body after the buffered bytes; the connection is then closed without the end of the
   * chunked body, so that the caller detects the truncation.
   */
  void fail(Throwable cause) {
    failure = checkNotNull(cause);
    ended = true;
    emit();
  }

  @Override
  public void subscribe(Subscriber<? super Buffer> newSubscriber) {
    subscriber = newSubscriber;
    subscriber.onSubscribe(this);
    emit();
  }

  @Override
  public void request(long n) {
    demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
    emit();
    if (full && bufferedBytes == 0) {
      full = false;
      onDrained.run();
    }
  }

  @Override
  public void cancel() {
    if (!terminated) {
      terminated = true;
      buffered.clear();
      addMemory(-bufferedMemory);
      onCancel.run();
    }
  }

  /** Discards the body of a response that is not sent any more. */
  void discardUnlessSubscribed() {
    if (subscriber == null) {
      cancel();
    }
  }

  private void emit() {
    if (subscriber == null || emitting || terminated) {
      return;
    }
    emitting = true;
    while (demand > 0 && !buffered.isEmpty() && !terminated) {
      demand--;
      Buffer next = buffered.poll();
      bufferedBytes -= next.readableBytes();
      addMemory(-memoryOf(next));
      emittedBytes += next.readableBytes();
      subscriber.onNext(next);
    }
    emitting = false;
    if (buffered.isEmpty() && ended && !terminated) {
      terminated = true;
      if (failure == null) {
        subscriber.onComplete();
      } else {
        subscriber.onError(failure);
      }
    }
  }
}
