package org.vaneworks.transport;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Ints;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.buffer.api.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.Charset;
import java.util.Arrays;

/**
 * Collects the body of a server's answer and fails if it exceeds a maximum size, or if there is no
 * memory for it, which closes the connection.
 *
 * <p>Thread-safe, as a call may time out while a part arrives.
 */
final class BoundedAnswer {
  private static final int MIN_CAPACITY_BYTES = 1 << 10;

  /** Maximum number of bytes that a byte of UTF-8 becomes in a string. */
  private static final int TEXT_FACTOR = 2;

  private final int maxBytes;
  private final UndecodedInputLimit.Account memory;

  @GuardedBy("this")
  private byte[] bytes = new byte[0];

  @GuardedBy("this")
  private int size;

  @GuardedBy("this")
  private long heldBytes;

  @GuardedBy("this")
  private boolean released;

  private BoundedAnswer(int maxBytes, UndecodedInputLimit.Account memory) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    this.maxBytes = maxBytes;
    this.memory = checkNotNull(memory);
  }

  /** Returns an empty body, which takes memory before it holds a part. */
  static BoundedAnswer of(int maxBytes, UndecodedInputLimit.Account memory) {
    return new BoundedAnswer(maxBytes, memory);
  }

  /** Returns the memory that a body of this size takes until it is released. */
  static long memoryOf(int bodyBytes) {
    return (1L + TEXT_FACTOR) * bodyBytes;
  }

  /**
   * Appends a part of the body.
   *
   * @throws UncheckedIOException if the body exceeds its maximum size, there is no memory for it,
   *     or it was released
   */
  @CanIgnoreReturnValue
  synchronized BoundedAnswer add(Buffer part) {
    int length = part.readableBytes();
    if (size + (long) length > maxBytes) {
      throw failure("the body of an answer is over " + maxBytes + " bytes");
    }
    ensureCapacity(size + length);
    part.readBytes(bytes, size, length);
    size += length;
    return this;
  }

  @GuardedBy("this")
  private void ensureCapacity(int wanted) {
    int previous = bytes.length;
    if (wanted <= previous) {
      return;
    }
    int doubled = Math.max(MIN_CAPACITY_BYTES, Ints.saturatedCast(2L * previous));
    int capacity = Math.min(maxBytes, Math.max(wanted, doubled));
    take(capacity);
    bytes = Arrays.copyOf(bytes, capacity);
    giveBack(previous);
  }

  @GuardedBy("this")
  private void take(long more) {
    if (released) {
      throw failure("the call has ended");
    }
    if (!memory.tryTake(more, heldBytes + more)) {
      throw failure("no memory for an answer of over " + size + " bytes");
    }
    heldBytes += more;
  }

  @GuardedBy("this")
  private void giveBack(long less) {
    memory.giveBack(less);
    heldBytes -= less;
  }

  private static UncheckedIOException failure(String message) {
    return new UncheckedIOException(new IOException(message));
  }

  /**
   * Returns the body as text.
   *
   * @throws UncheckedIOException if there is no memory for it, or it was released
   */
  synchronized String text(Charset charset) {
    take((long) TEXT_FACTOR * size);
    return new String(bytes, 0, size, charset);
  }

  /** Gives the memory back; nothing is collected from now on. */
  synchronized void release() {
    released = true;
    bytes = new byte[0];
    size = 0;
    giveBack(heldBytes);
  }
}
