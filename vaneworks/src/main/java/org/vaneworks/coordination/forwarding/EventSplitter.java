package org.vaneworks.coordination.forwarding;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events after its last complete event and tracks the last event id.
 *
 * <p>Bytes of an incomplete event are buffered, so that another attempt can resume after the last
 * complete event; they are copied a bounded number of times, however many pieces they arrive in.
 * Not thread-safe.
 */
final class EventSplitter {
  /** Maximum number of bytes of an incomplete event. */
  static final int MAX_EVENT_BYTES = 32 << 20;

  /** Size of complete events up to which they are kept for the id that they contain. */
  private static final int SMALL_EVENTS_BYTES = 1 << 10;

  private static final byte[] ID_FIELD = {'i', 'd', ':'};
  private static final byte[] EMPTY = {};

  /** The incomplete event, in the first {@link #partialBytes} bytes. */
  private byte[] partial = EMPTY;

  private int partialBytes;

  /**
   * The latest complete events that contain an id, or only the line of that id if they are long;
   * parsed by {@link #lastId}.
   */
  private byte[] lastEventsWithId = {};

  private EventScanner scanner = new EventScanner();

  /**
   * Appends bytes; returns the complete events that are available, possibly none. The caller must
   * check {@link #isTooLong} afterwards.
   */
  byte[] append(byte[] bytes) {
    byte[] complete = partialBytes == 0 ? appendToNothing(bytes) : appendToPartial(bytes);
    int start = startOfLastId(complete);
    if (start >= 0) {
      lastEventsWithId =
          complete.length <= SMALL_EVENTS_BYTES
              ? complete
              : Arrays.copyOfRange(
                  complete, start - ID_FIELD.length, endOfLine(complete, start) + 1);
    }
    return complete;
  }

  private byte[] appendToNothing(byte[] bytes) {
    int end = scanner.scan(bytes, 0, bytes.length);
    // Endpoints usually write whole events, so the input rarely has to be split.
    if (end == bytes.length) {
      return bytes;
    }
    setPartial(Arrays.copyOfRange(bytes, end, bytes.length));
    return Arrays.copyOf(bytes, end);
  }

  private byte[] appendToPartial(byte[] bytes) {
    int scannedBytes = partialBytes;
    int length = partialBytes + bytes.length;
    if (length > partial.length) {
      partial = Arrays.copyOf(partial, capacityFor(length));
    }
    System.arraycopy(bytes, 0, partial, partialBytes, bytes.length);
    partialBytes = length;
    int end = scanner.scan(partial, scannedBytes, length);
    if (end == 0) {
      return EMPTY;
    }
    byte[] all = partial;
    // Not longer than the bytes that were appended.
    setPartial(Arrays.copyOfRange(all, end, length));
    return Arrays.copyOf(all, end);
  }

  /** Returns whether the incomplete event is longer than any may be. */
  boolean isTooLong() {
    return partialBytes > MAX_EVENT_BYTES;
  }

  /** Returns the number of buffered bytes of an incomplete event. */
  int partialBytes() {
    return partialBytes;
  }

  private int capacityFor(int length) {
    return Math.max(length, 2 * partial.length);
  }

  /**
   * Returns how many bytes are buffered at most while so many more are appended, including the
   * buffer that is replaced if it is too small.
   */
  int bytesToAppend(int moreBytes) {
    if (partialBytes == 0) {
      // Bytes that have arrived in one piece are not refused, as most are whole events.
      return longIdBytes();
    }
    int length = partialBytes + moreBytes;
    int replaced = length <= partial.length ? 0 : capacityFor(length);
    return longIdBytes() + partial.length + replaced;
  }

  /** Returns the size of the buffer for an incomplete event, and of a long event id. */
  int bufferBytes() {
    return partial.length + longIdBytes();
  }

  /** Returns how many events, rather than comments, the latest input completed. */
  int completedEvents() {
    return scanner.completedEvents();
  }

  /**
   * Returns the buffered bytes of an incomplete event and clears the buffer, as the input of
   * another attempt follows.
   */
  byte[] takePartial() {
    byte[] bytes = Arrays.copyOf(partial, partialBytes);
    setPartial(EMPTY);
    scanner = new EventScanner();
    return bytes;
  }

  /** Replaces the buffer with bytes that {@link #takePartial} returned before. */
  void restorePartial(byte[] bytes) {
    setPartial(bytes);
    scanner = new EventScanner();
    scanner.scan(bytes, 0, bytes.length);
  }

  private void setPartial(byte[] bytes) {
    partial = bytes;
    partialBytes = bytes.length;
  }

  /** Returns the id of the last complete event that had one. */
  Optional<String> lastId() {
    int start = startOfLastId(lastEventsWithId);
    if (start < 0) {
      return Optional.empty();
    }
    int end = endOfLine(lastEventsWithId, start);
    return Optional.of(new String(lastEventsWithId, start, end - start, UTF_8).strip());
  }

  private static int endOfLine(byte[] events, int start) {
    int end = start;
    while (!isLineEnd(events[end])) {
      end++;
    }
    return end;
  }

  private int longIdBytes() {
    return lastEventsWithId.length <= SMALL_EVENTS_BYTES ? 0 : lastEventsWithId.length;
  }

  /** Returns the index at which the value of the last id field starts, or -1 if there is none. */
  private static int startOfLastId(byte[] complete) {
    int start = EventScanner.startsWithMark(complete) ? EventScanner.MARK_BYTES : 0;
    for (int i = complete.length - ID_FIELD.length; i >= 0; i--) {
      boolean startsLine = i == start || (i > 0 && isLineEnd(complete[i - 1]));
      if (startsLine
          && Arrays.equals(complete, i, i + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
        return i + ID_FIELD.length;
      }
    }
    return -1;
  }

  private static boolean isLineEnd(byte value) {
    return value == '\n' || value == '\r';
  }
}
