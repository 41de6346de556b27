package org.vaneworks.coordination.forwarding;

import java.io.IOException;
import java.util.Optional;

/** Reports that the connection ended without an error, but before the response was complete. */
final class TruncatedResponseException extends IOException {
  private static final long serialVersionUID = 1;

  TruncatedResponseException(String message) {
    super(message);
  }

  /**
   * Returns why a response that has ended is incomplete, if its framing shows that. Peers state the
   * ends of their responses. The close of a connection marks the end of a stream only after a
   * complete event, as a lost endpoint closes it as well.
   *
   * @param partialEventBytes the number of bytes received after the last complete event
   */
  static Optional<TruncatedResponseException> of(
      BodyDelimiter delimiter, RunningAttempt attempt, int partialEventBytes) {
    if (delimiter != BodyDelimiter.CONNECTION_CLOSE) {
      return Optional.empty();
    }
    if (attempt.endpoint().isPeer()) {
      return Optional.of(new TruncatedResponseException("closed by the peer without an end"));
    }
    if (!attempt.isStream()) {
      return Optional.empty();
    }
    if (partialEventBytes > 0) {
      return Optional.of(new TruncatedResponseException("closed inside an event"));
    }
    return attempt.hasEvents()
        ? Optional.empty()
        : Optional.of(new TruncatedResponseException("closed before the first event"));
  }
}
