package org.vaneworks.transport;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.Charset;

/**
 * Collects the body of a server's answer and fails if it exceeds a maximum size, which closes the
 * connection. Not thread-safe.
 */
final class BoundedAnswer {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final int maxBytes;

  private BoundedAnswer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  static BoundedAnswer of(int maxBytes) {
    return new BoundedAnswer(maxBytes);
  }

  /**
   * Appends a part of the body.
   *
   * @throws UncheckedIOException if the body exceeds its maximum size
   */
  @CanIgnoreReturnValue
  BoundedAnswer add(Buffer part) {
    if (bytes.size() + part.readableBytes() > maxBytes) {
      throw new UncheckedIOException(
          new IOException("the body of an answer is over " + maxBytes + " bytes"));
    }
    byte[] copy = new byte[part.readableBytes()];
    part.readBytes(copy);
    bytes.writeBytes(copy);
    return this;
  }

  String text(Charset charset) {
    return bytes.toString(charset);
  }
}
