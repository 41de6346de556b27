package org.vaneworks.coordination.forwarding;

/**
 * Finds the ends of the events of a stream of server-sent events, whose input arrives in pieces.
 *
 * <p>Lines end with LF, CRLF or CR, in any mixture; an event ends with an empty line. Comments and
 * empty lines between events belong to no event. A byte order mark may precede the stream. Not
 * thread-safe.
 *
 * @see <a href="https://html.spec.whatwg.org/multipage/server-sent-events.html">Server-sent
 *     events</a>
 */
final class EventScanner {
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  /** The length of a byte order mark. */
  static final int MARK_BYTES = BYTE_ORDER_MARK.length;

  private boolean atLineStart = true;
  private boolean inComment;
  private boolean inEvent;
  private boolean afterCarriageReturn;
  private int completedEvents;

  /** The number of bytes of the byte order mark that may still precede the stream. */
  private int expectedMarkBytes = MARK_BYTES;

  /** Returns whether bytes start with a byte order mark. */
  static boolean startsWithMark(byte[] bytes) {
    return bytes.length >= MARK_BYTES
        && bytes[0] == BYTE_ORDER_MARK[0]
        && bytes[1] == BYTE_ORDER_MARK[1]
        && bytes[2] == BYTE_ORDER_MARK[2];
  }

  /**
   * Scans the next bytes of the stream.
   *
   * @return the index behind the last of them that belongs to no incomplete event; 0 if there is
   *     none
   */
  int scan(byte[] bytes, int from, int to) {
    completedEvents = 0;
    int end = 0;
    for (int i = from; i < to; i++) {
      if (scan(bytes[i])) {
        end = i + 1;
      }
    }
    return end;
  }

  /** Returns how many events, rather than comments, the bytes of the latest scan completed. */
  int completedEvents() {
    return completedEvents;
  }

  /** Returns whether no event is incomplete after this byte. */
  private boolean scan(byte next) {
    boolean endsCrLf = next == '\n' && afterCarriageReturn;
    afterCarriageReturn = next == '\r';
    if (endsCrLf) {
      return !inEvent;
    }
    if (next == '\n' || next == '\r') {
      expectedMarkBytes = 0;
      return endLine();
    }
    if (!isInMark(next) && atLineStart) {
      atLineStart = false;
      inComment = next == ':';
    }
    return false;
  }

  private boolean endLine() {
    if (atLineStart) {
      completedEvents += inEvent ? 1 : 0;
      inEvent = false;
      return true;
    }
    inEvent |= !inComment;
    atLineStart = true;
    return !inEvent;
  }

  private boolean isInMark(byte next) {
    if (expectedMarkBytes == 0) {
      return false;
    }
    int index = MARK_BYTES - expectedMarkBytes;
    if (next == BYTE_ORDER_MARK[index]) {
      expectedMarkBytes--;
      return true;
    }
    expectedMarkBytes = 0;
    return false;
  }
}
