package org.vaneworks.coordination.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after its last whole event and remembers that event's id.
 *
 * <p>An event ends with an empty line. Bytes of an event that is not whole are kept back, so that
 * another run can continue after the last whole one. Not thread-safe.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = {'i', 'd', ':'};

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

  /** The whole events that came last with an id among them; read only when the id is asked for. */
  private byte[] lastWithId = {};

  /** Takes bytes in; returns those that complete events, perhaps none. */
  byte[] append(byte[] bytes) {
    byte[] pending = withPartial(bytes);
    int end = endOfWholeEvents(pending);
    partial.write(pending, end, pending.length - end);
    // An endpoint writes event by event, so most of the time there is nothing to cut.
    byte[] whole = end == pending.length ? pending : Arrays.copyOf(pending, end);
    if (startOfLastId(whole) >= 0) {
      lastWithId = whole;
    }
    return whole;
  }

  private byte[] withPartial(byte[] bytes) {
    if (partial.size() == 0) {
      return bytes;
    }
    partial.writeBytes(bytes);
    return takePartial();
  }

  /** Returns the bytes that were kept back, and keeps none. */
  byte[] takePartial() {
    byte[] takePartial = partial.toByteArray();
    partial.reset();
    return takePartial;
  }

  /** Keeps bytes back that {@link #rest} returned, in place of what is kept now. */
  void restorePartial(byte[] bytes) {
    partial.reset();
    partial.writeBytes(bytes);
  }

  /** Returns the id of the last whole event that had one. */
  Optional<String> lastId() {
    int start = startOfLastId(lastWithId);
    if (start < 0) {
      return Optional.empty();
    }
    int end = start;
    while (lastWithId[end] != '\n' && lastWithId[end] != '\r') {
      end++;
    }
    return Optional.of(new String(lastWithId, start, end - start, UTF_8).strip());
  }

  private static int endOfWholeEvents(byte[] bytes) {
    for (int i = bytes.length - 1; i > 0; i--) {
      if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || endsInCrLf(bytes, i))) {
        return i + 1;
      }
    }
    return 0;
  }

  private static boolean endsInCrLf(byte[] bytes, int i) {
    return i >= 3 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r';
  }

  /** Returns where the value of the last line with an id begins, -1 if there is none. */
  private static int startOfLastId(byte[] whole) {
    for (int i = whole.length - ID_FIELD.length; i >= 0; i--) {
      boolean startsLine = i == 0 || whole[i - 1] == '\n' || whole[i - 1] == '\r';
      if (startsLine
          && Arrays.equals(whole, i, i + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
        return i + ID_FIELD.length;
      }
    }
    return -1;
  }
}
