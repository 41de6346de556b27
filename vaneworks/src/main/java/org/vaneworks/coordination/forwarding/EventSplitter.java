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

  /** The latest chunk of complete events that contains an id; parsed by {@link #lastId}. */
  private byte[] lastEventsWithId = {};

  /** Appends bytes; returns the complete events that are available, possibly none. */
  byte[] append(byte[] bytes) {
    byte[] pending = withPartial(bytes);
    int end = endOfCompleteEvents(pending);
    partial.write(pending, end, pending.length - end);
    // Endpoints usually write whole events, so the input rarely has to be split.
    byte[] complete = end == pending.length ? pending : Arrays.copyOf(pending, end);
    if (startOfLastId(complete) >= 0) {
      lastEventsWithId = complete;
    }
    return complete;
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
    byte[] bytes = partial.toByteArray();
    partial.reset();
    return bytes;
  }

  /** Replaces the buffer with bytes that {@link #takePartial} returned before. */
  void restorePartial(byte[] bytes) {
    partial.reset();
    partial.writeBytes(bytes);
  }

  /** Returns the id of the last complete event that had one. */
  Optional<String> lastId() {
    int start = startOfLastId(lastEventsWithId);
    if (start < 0) {
      return Optional.empty();
    }
    int end = start;
    while (lastEventsWithId[end] != '\n' && lastEventsWithId[end] != '\r') {
      end++;
    }
    return Optional.of(new String(lastEventsWithId, start, end - start, UTF_8).strip());
  }

  private static int endOfCompleteEvents(byte[] bytes) {
    for (int i = bytes.length - 1; i > 0; i--) {
      if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || endsWithCrLf(bytes, i))) {
        return i + 1;
      }
    }
    return 0;
  }

  private static boolean endsWithCrLf(byte[] bytes, int i) {
    return i >= 3 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r';
  }

  /** Returns the index at which the value of the last id field starts, or -1 if there is none. */
  private static int startOfLastId(byte[] complete) {
    for (int i = complete.length - ID_FIELD.length; i >= 0; i--) {
      boolean startsLine = i == 0 || complete[i - 1] == '\n' || complete[i - 1] == '\r';
      if (startsLine
          && Arrays.equals(complete, i, i + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
        return i + ID_FIELD.length;
      }
    }
    return -1;
  }
}
