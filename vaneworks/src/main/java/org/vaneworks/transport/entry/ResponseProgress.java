package org.vaneworks.transport.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * How much of a response was passed on, for log lines about the end of its connection.
 *
 * @param requestId the caller's id of the request; empty if it is not known
 * @param passedBytes bytes of the body that were passed to the connection
 * @param bufferedBytes bytes of the body that were received and not yet passed to the connection
 * @param endpointEnded whether the endpoint's part, or the node's refusal, is complete
 */
record ResponseProgress(
    String requestId, long passedBytes, long bufferedBytes, boolean endpointEnded) {
  /** Progress on a connection without any request. */
  static final ResponseProgress NONE = new ResponseProgress("", 0, 0, true);

  ResponseProgress {
    checkNotNull(requestId);
    checkArgument(passedBytes >= 0, "passedBytes: %s", passedBytes);
    checkArgument(bufferedBytes >= 0, "bufferedBytes: %s", bufferedBytes);
  }
}
