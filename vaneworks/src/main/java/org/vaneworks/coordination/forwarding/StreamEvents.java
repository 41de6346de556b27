package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;
import org.vaneworks.coordination.forwarding.PreviousAttempts.PreviousAttempt;
import org.vaneworks.state.HostPort;

/**
 * The events of the stream that one caller receives, whichever attempts deliver them.
 *
 * <p>Bounds the memory of an incomplete event, the number of events, and the comments between two
 * of them, which keep a connection in use but deliver nothing. Confined to the node's event loop.
 */
final class StreamEvents {
  /** Events that a stream may have for each token of the longest response. */
  private static final int EVENTS_PER_TOKEN = 2;

  /** Events that a stream may have in addition. */
  private static final int EXTRA_EVENTS = 64;

  /** Bytes of comments that may arrive without an event in between. */
  private static final int MAX_COMMENT_BYTES = 64 << 10;

  private static final byte[] EMPTY = {};
  private static final Optional<AttemptFailure> EVENT_TOO_LONG =
      Optional.of(AttemptFailure.EVENT_TOO_LONG);
  private static final Optional<AttemptFailure> STREAM_TOO_LONG =
      Optional.of(AttemptFailure.STREAM_TOO_LONG);

  private final CallerResponse response;
  private final PreviousAttempts previous;
  private final long maxEvents;
  private final EventSplitter splitter = new EventSplitter();
  private long events;

  /** Bytes of comments since the last event. */
  private long commentBytes;

  private Optional<AttemptFailure> excess = Optional.empty();

  /**
   * Creates an empty stream.
   *
   * @param response has the memory for incomplete events
   * @param previous attempts whose incomplete events are kept as well
   * @param maxAnswerTokens how many tokens the response has at most, if that is known
   */
  StreamEvents(CallerResponse response, PreviousAttempts previous, OptionalInt maxAnswerTokens) {
    this.response = checkNotNull(response);
    this.previous = checkNotNull(previous);
    this.maxEvents =
        maxAnswerTokens.isPresent()
            ? (long) EVENTS_PER_TOKEN * maxAnswerTokens.getAsInt() + EXTRA_EVENTS
            : Long.MAX_VALUE;
  }

  /**
   * Appends bytes of the current attempt; returns the complete events that are available, possibly
   * none. They must not be passed on if there is an {@link #excess}.
   *
   * @param endpoint the address from which the bytes arrived
   */
  byte[] append(HostPort endpoint, byte[] bytes) {
    excess = Optional.empty();
    if (!hold(endpoint, splitter.bytesToAppend(bytes.length))) {
      excess = EVENT_TOO_LONG;
      return EMPTY;
    }
    byte[] complete = splitter.append(bytes);
    events += splitter.completedEvents();
    if (!hold(endpoint, splitter.bufferBytes()) || splitter.isTooLong()) {
      excess = EVENT_TOO_LONG;
    } else if (events > maxEvents) {
      excess = STREAM_TOO_LONG;
    }
    countComments(complete.length);
    return complete;
  }

  private void countComments(int bytes) {
    commentBytes = hasCompletedEvent() ? 0 : commentBytes + bytes;
    if (commentBytes > MAX_COMMENT_BYTES) {
      excess = EVENT_TOO_LONG;
    }
  }

  private boolean hold(HostPort endpoint, int bytes) {
    return response.holdPartialEvent(endpoint, bytes + previous.eventBytes());
  }

  /** Returns why the attempt must end after the latest bytes, if it must. */
  Optional<AttemptFailure> excess() {
    return excess;
  }

  /** Returns whether the latest bytes completed an event, rather than comments. */
  boolean hasCompletedEvent() {
    return splitter.completedEvents() > 0;
  }

  /** Returns what is known of the size of the stream, for logs. */
  String size() {
    return String.format(
        "%d events, %d bytes of an incomplete one, %d of comments",
        events, splitter.partialBytes(), commentBytes);
  }

  /** Returns the number of buffered bytes of an incomplete event. */
  int partialBytes() {
    return splitter.partialBytes();
  }

  /** Returns the incomplete event and clears it, as the input of another attempt follows. */
  byte[] takePartial() {
    commentBytes = 0;
    return splitter.takePartial();
  }

  /**
   * Drops the incomplete event of an attempt that has ended; returns whether there was one.
   *
   * @param endpoint the address from which it arrived
   */
  boolean dropPartial(HostPort endpoint) {
    boolean partial = takePartial().length > 0;
    var unused = hold(endpoint, 0);
    return partial;
  }

  /** Continues the incomplete event of a previous attempt. */
  void restorePartial(PreviousAttempt resumed) {
    splitter.restorePartial(resumed.partOfEvent());
  }

  /** Returns the id of the last complete event that had one. */
  Optional<String> lastId() {
    return splitter.lastId();
  }
}
