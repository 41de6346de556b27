package org.vaneworks.coordination.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events after its last complete event and tracks the last event id.
 *
 * <p>An event ends with an empty line. Bytes of an incomplete event are buffered, so that another
 * attempt can resume after the last complete event. Not thread-safe.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = {'i', 'd', ':'};

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

  /** The latest complete events that include an id; parsed lazily by {@link #lastId}. */
  private byte[] lastWithId = {};

  /** Appends bytes; returns the complete events that are available, possibly none. */
  byte[] append(byte[] bytes) {
    byte[] pending = withPartial(bytes);
    int end = endOfWholeEvents(pending);
    partial.write(pending, end, pending.length - end);
    // Endpoints usually write whole events, so the input rarely has to be split.
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

  /** Returns the buffered bytes of an incomplete event and clears the buffer. */
  byte[] takePartial() {
    byte[] takePartial = partial.toByteArray();
    partial.reset();
    return takePartial;
  }

  /** Replaces the buffer with bytes that {@link #takePartial} returned before. */
  void restorePartial(byte[] bytes) {
    partial.reset();
    partial.writeBytes(bytes);
  }

  /** Returns the id of the last complete event that had one. */
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

  /** Returns the index at which the value of the last id field starts, or -1 if there is none. */
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
