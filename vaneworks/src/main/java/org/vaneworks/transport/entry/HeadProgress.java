package org.vaneworks.transport.entry;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import org.vaneworks.state.Reason;

/** How much of a request head has arrived. Confined to the event loop of its connection. */
final class HeadProgress {
  private boolean started;
  private boolean startLineEnded;
  private long bytes;
  private long startLineBytes;

  HeadProgress() {}

  /** Records that the next head is awaited. */
  void awaitNext() {
    started = false;
    startLineEnded = false;
    bytes = 0;
    startLineBytes = 0;
  }

  /** Records that the head was read. */
  void ended() {
    started = false;
  }

  /** Counts input that may belong to the head; returns whether the head begins with it. */
  boolean add(ByteBuf input) {
    // Empty lines before a request are ignored (RFC 9112, section 2.2).
    boolean starts = !started && input.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    started |= starts;
    bytes += input.readableBytes();
    if (!startLineEnded) {
      int lineFeed = input.indexOf(input.readerIndex(), input.writerIndex(), (byte) '\n');
      startLineEnded = lineFeed >= 0;
      startLineBytes += startLineEnded ? lineFeed - input.readerIndex() : input.readableBytes();
    }
    return starts;
  }

  /** Returns whether a part of a head has arrived, but not all of it. */
  boolean hasStarted() {
    return started;
  }

  boolean exceeds(int maxBytes) {
    return bytes > maxBytes;
  }

  /** Returns why a head that is too large is refused. */
  Reason tooLargeReason(int maxBytes) {
    return startLineBytes > maxBytes ? Reason.TARGET_TOO_LONG : Reason.HEADERS_TOO_LARGE;
  }
}
