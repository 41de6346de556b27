package org.vaneworks.transport;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * Collects a request body up to a maximum size.
 *
 * <p>The rest of a longer body is discarded rather than left unread: ServiceTalk closes a
 * connection whose body is not read to its end, and the caller would lose its refusal. Not
 * thread-safe.
 */
final class BoundedBody {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final int maxBytes;
  private boolean isTooLarge;

  private BoundedBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  static BoundedBody of(int maxBytes) {
    return new BoundedBody(maxBytes);
  }

  /** Appends a part of the body, or discards it if the body exceeds its maximum size. */
  @CanIgnoreReturnValue
  BoundedBody add(Buffer part) {
    isTooLarge |= bytes.size() + part.readableBytes() > maxBytes;
    if (isTooLarge) {
      bytes.reset();
      return this;
    }
    byte[] copy = new byte[part.readableBytes()];
    part.readBytes(copy);
    bytes.writeBytes(copy);
    return this;
  }

  /**
   * Returns the body.
   *
   * @throws org.vaneworks.state.RefusalException if the body exceeds its maximum size
   */
  String text() {
    if (isTooLarge) {
      throw Refusal.nothingSent(Reason.BODY_TOO_LARGE, "allowed: " + maxBytes + " bytes")
          .toException();
    }
    return bytes.toString(UTF_8);
  }
}
