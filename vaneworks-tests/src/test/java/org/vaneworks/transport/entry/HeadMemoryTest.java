package org.vaneworks.transport.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.servicetalk.buffer.api.CharSequences;
import io.servicetalk.buffer.netty.BufferUtils;
import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a decoded head keeps of the input with which it was read. */
final class HeadMemoryTest {
  private static final int BODY_BYTES = 32_000;
  private static final String REQUEST =
      "POST / HTTP/1.1\r\nHost: a\r\nX-Long: "
          + "y".repeat(3000)
          + "\r\nContent-Length: "
          + BODY_BYTES
          + "\r\n\r\n"
          + "b".repeat(BODY_BYTES);

  private EntryFixture server;

  @BeforeEach
  void start() throws Exception {
    server = EntryFixture.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  /** Returns the size of the buffer to which a value refers. */
  private static int keptBytes(CharSequence value) {
    ByteBuf buffer = BufferUtils.toByteBuf(CharSequences.unwrapBuffer(value));
    while (buffer.unwrap() != null) {
      buffer = buffer.unwrap();
    }
    return buffer.capacity();
  }

  // Guards against bodies that stay in the heap uncounted, also those that were refused, because
  // the fields of their heads refer to the buffer into which both were read.
  @Test
  void headDoesNotKeepTheBodyThatWasReadWithIt() throws Exception {
    try (Socket caller = server.connect()) {
      caller.getOutputStream().write(REQUEST.getBytes(US_ASCII));
      EntryRequest request = (EntryRequest) server.next().request;
      int keptBytes = 0;
      for (Map.Entry<CharSequence, CharSequence> field : request.head().headers()) {
        keptBytes = Math.max(keptBytes, keptBytes(field.getValue()));
      }
      int longestField = 3000 + InputMemory.PART_BYTES;
      assertTrue(keptBytes <= longestField + InputMemory.PART_BYTES, "kept: " + keptBytes);
    }
  }
}
