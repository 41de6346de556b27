package org.vaneworks.transport.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;

/** Collects a request's body; discards the bytes and only counts them once past the limit. */
final class BodyCollector {
  private final BufferAllocator allocator;
  private final int maxBytes;
  private Buffer body;
  private long bytes;

  BodyCollector(BufferAllocator allocator, int maxBytes) {
    this.allocator = allocator;
    this.maxBytes = maxBytes;
  }

  static BodyCollector add(BodyCollector collector, Buffer part) {
    collector.bytes += part.readableBytes();
    if (collector.isOverLimit()) {
      collector.body = null;
    } else if (collector.body == null) {
      collector.body = collector.allocator.newBuffer(part.readableBytes()).writeBytes(part);
    } else {
      collector.body.writeBytes(part);
    }
    return collector;
  }

  boolean isOverLimit() {
    return bytes > maxBytes;
  }

  Buffer body() {
    return body == null ? allocator.newBuffer(0) : body;
  }
}
