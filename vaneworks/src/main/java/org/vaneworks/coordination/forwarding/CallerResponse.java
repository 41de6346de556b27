package org.vaneworks.coordination.forwarding;

import org.vaneworks.state.HostPort;
import org.vaneworks.state.Refusal;

/** The response to a caller. */
public interface CallerResponse {
  /** Sends the head of an endpoint's response. */
  void head(ResponseHead head);

  /**
   * Sends the head of a stream that another endpoint may continue. Its length is not passed on, as
   * another endpoint may send events of other lengths.
   */
  void streamHead(ResponseHead head);

  /**
   * Sends a part of the body.
   *
   * @return whether the caller keeps up; if not, the sender pauses until {@link
   *     CallerResponse.Listener#drained} is called later
   */
  boolean data(byte[] bytes);

  /**
   * Records how many bytes of an incomplete event the sender buffers; replaces the previous number.
   *
   * @param endpoint the address from which the bytes arrive
   * @return whether the node has memory for them; if not, the sender must not buffer more
   */
  default boolean holdPartialEvent(HostPort endpoint, int bytes) {
    return true;
  }

  /** Completes the response. */
  void end();

  /** Aborts a response whose head was sent, such that the caller can tell that it is incomplete. */
  void abort();

  /** Responds with a refusal. Must not be called after {@link #head} or {@link #streamHead}. */
  void refuse(Refusal refusal);

  /** Receives events of the caller's connection. */
  interface Listener {
    /** Called when all buffered data has been read by the caller. */
    void drained();

    /** Called when the caller has closed its connection. */
    void disconnected();
  }
}
