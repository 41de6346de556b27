package org.vaneworks.transport;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/** Collects a body up to a bound. Not thread-safe. */
final class BoundedBody {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final int limit;

  private BoundedBody(int limit) {
    this.limit = limit;
  }

  static BoundedBody of(int limit) {
    return new BoundedBody(limit);
  }

  /**
   * Adds a part.
   *
   * @throws org.vaneworks.state.RefusalException if the body grows over its bound
   */
  @CanIgnoreReturnValue
  BoundedBody add(Buffer part) {
    if (bytes.size() + part.readableBytes() > limit) {
      throw Refusal.nothingSent(Reason.BODY_TOO_LARGE, "allowed: " + limit + " bytes")
          .toException();
    }
    byte[] copy = new byte[part.readableBytes()];
    part.readBytes(copy);
    bytes.writeBytes(copy);
    return this;
  }

  String text() {
    return bytes.toString(UTF_8);
  }
}
