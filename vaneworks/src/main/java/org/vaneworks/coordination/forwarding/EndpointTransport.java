package org.vaneworks.coordination.forwarding;

import org.vaneworks.state.HostPort;

/** Sends requests to endpoints; each attempt is sent at most once. */
public interface EndpointTransport {
  /**
   * Sends an attempt.
   *
   * <p>The listener is called on the node's event loop, possibly before this method returns.
   */
  EndpointCall send(Attempt attempt, Listener listener);

  /**
   * Returns whether a connection to an address is open and idle, so that the next attempt probably
   * needs no new one. Called for each candidate of a choice, so it must be cheap.
   */
  default boolean hasIdleConnection(HostPort address) {
    return false;
  }

  /** An attempt in progress. */
  interface EndpointCall {
    /**
     * Returns whether any part of the request may have reached the endpoint; false until a
     * connection is available.
     */
    boolean mayHaveArrived();

    /** Cancels the attempt and closes its connection, which makes the endpoint stop work on it. */
    void cancel();

    /** Reads and drops the rest of the response, so that the connection can be reused. */
    void discard();

    /** Stops reading until {@link #resume} is called. */
    void pause();

    /** Resumes reading. */
    void resume();
  }

  /** Receives the events of an attempt; {@link #end} or {@link #failed} is the last one. */
  interface Listener {
    /** Called with the head of the response. */
    void head(ResponseHead head);

    /** Called with a part of the body. */
    void data(byte[] bytes);

    /**
     * Called at the end of the response.
     *
     * @param delimiter what marked the end; after {@link BodyDelimiter#CONNECTION_CLOSE} the
     *     response may be incomplete
     */
    void end(BodyDelimiter delimiter);

    /**
     * Called when the attempt failed without the end of a response.
     *
     * @param neverSent whether it is certain that no byte of the request left this node
     */
    void failed(boolean neverSent, Throwable cause);
  }
}
