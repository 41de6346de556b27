package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The body of an answer to a caller, fed as an endpoint's answer comes in.
 *
 * <p>Holds what the caller has not asked for yet; {@link #offer} says when that is over its bound,
 * and the drained callback when it is empty again. Confined to the node's event loop.
 */
final class AnswerBody implements PublisherSource<Buffer>, PublisherSource.Subscription {
  /** Held for a caller that reads slowly before the endpoint is read no further. */
  private static final int MAX_HELD_BYTES = 64 << 10;

  private final Runnable onDrained;
  private final Runnable onCancel;
  private final Queue<Buffer> held = new ArrayDeque<>();
  private Subscriber<? super Buffer> subscriber;
  private Throwable failure;
  private long demand;
  private int heldBytes;
  private boolean full;
  private boolean ended;
  private boolean terminated;
  private boolean emitting;

  AnswerBody(Runnable onDrained, Runnable onCancel) {
    this.onDrained = checkNotNull(onDrained);
    this.onCancel = checkNotNull(onCancel);
  }

  /** Adds bytes; returns whether more may follow at once. */
  boolean offer(Buffer bytes) {
    if (terminated) {
      return true;
    }
    held.add(bytes);
    heldBytes += bytes.readableBytes();
    emit();
    full = heldBytes > MAX_HELD_BYTES;
    return !full;
  }

  /** Returns whether the whole body was passed on, or nobody takes it any more. */
  boolean isPassedOn() {
    return terminated;
  }

  int heldBytes() {
    return heldBytes;
  }

  /** Ends the body as whole. */
  void end() {
    ended = true;
    emit();
  }

  /** Ends the body so that the connection is closed without its end mark. */
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
    if (full && heldBytes == 0) {
      full = false;
      onDrained.run();
    }
  }

  @Override
  public void cancel() {
    if (!terminated) {
      terminated = true;
      held.clear();
      onCancel.run();
    }
  }

  private void emit() {
    if (subscriber == null || emitting || terminated) {
      return;
    }
    emitting = true;
    while (demand > 0 && !held.isEmpty() && !terminated) {
      demand--;
      Buffer next = held.poll();
      heldBytes -= next.readableBytes();
      subscriber.onNext(next);
    }
    emitting = false;
    if (held.isEmpty() && ended && !terminated) {
      terminated = true;
      if (failure == null) {
        subscriber.onComplete();
      } else {
        subscriber.onError(failure);
      }
    }
  }
}
