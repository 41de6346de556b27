package org.vaneworks.transport.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;

/**
 * Collects a request's body; discards the bytes and only counts them once past the limit, or once
 * the node has no memory left for them.
 */
final class BodyCollector {
  /**
   * Maximum number of bytes of a body that are copied to direct memory at a time, when it is
   * written to an endpoint.
   */
  static final int WRITE_COPY_BYTES =
      EndpointConnections.WRITE_BUFFER_BYTES + EndpointConnections.WRITE_PART_BYTES;

  /** Initial size of the buffer for a body of unknown length. */
  private static final int MIN_CAPACITY = 1 << 10;

  private final BufferAllocator allocator;
  private final int maxBytes;
  private final MemoryLease memory;
  private final Runnable onMemoryExhausted;
  private Buffer body;
  private int capacity;
  private long bytes;
  private boolean discarding;

  /**
   * Creates a collector that has received nothing.
   *
   * @param memory from which the memory for the body is taken
   * @param onMemoryExhausted runs at most once, as soon as there is no memory left for the body
   */
  BodyCollector(
      BufferAllocator allocator, int maxBytes, MemoryLease memory, Runnable onMemoryExhausted) {
    this.allocator = allocator;
    this.maxBytes = maxBytes;
    this.memory = memory;
    this.onMemoryExhausted = onMemoryExhausted;
  }

  /** Takes the memory for a body of a stated length, unless it is over the limit. */
  void expect(long length) {
    if (length > 0 && length <= maxBytes) {
      growTo((int) length);
    }
  }

  static BodyCollector add(BodyCollector collector, Buffer part) {
    collector.bytes += part.readableBytes();
    if (collector.isOverLimit()) {
      collector.discard();
    } else if (!collector.discarding) {
      collector.append(part);
    }
    return collector;
  }

  private void append(Buffer part) {
    if (bytes > capacity) {
      long doubled = Math.max(MIN_CAPACITY, 2L * capacity);
      growTo((int) Math.min(maxBytes, Math.max(bytes, doubled)));
    }
    if (!discarding) {
      body.writeBytes(part);
    }
  }

  /** Replaces the buffer by a larger one, if there is memory for it. */
  private void growTo(int newCapacity) {
    if (!memory.tryGrow(heldBytes(newCapacity) - heldBytes(capacity))) {
      discarding = true;
      discard();
      onMemoryExhausted.run();
      return;
    }
    Buffer larger = allocator.newBuffer(newCapacity, newCapacity);
    body = body == null ? larger : larger.writeBytes(body);
    capacity = newCapacity;
  }

  /** Returns the memory for a body of this size, including its copy when it is written. */
  private static long heldBytes(int size) {
    return size + Math.min(size, WRITE_COPY_BYTES);
  }

  private void discard() {
    body = null;
    capacity = 0;
    memory.shrinkToNothing();
  }

  /** Discards what was received, and what will be received. */
  void abandon() {
    discarding = true;
    discard();
  }

  /** Returns the number of bytes received so far, including those that were discarded. */
  long receivedBytes() {
    return bytes;
  }

  boolean isOverLimit() {
    return bytes > maxBytes;
  }

  /** Returns whether the body is discarded, as its request was refused. */
  boolean isDiscarding() {
    return discarding;
  }

  Buffer body() {
    return body == null ? allocator.newBuffer(0) : body;
  }
}
