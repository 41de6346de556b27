package org.vaneworks.coordination.forwarding;

/** Sends requests to endpoints, each attempt at most once. */
public interface EndpointTransport {
  /**
   * Sends an attempt.
   *
   * <p>The listener is called on the node's event loop, later or before this returns.
   */
  EndpointCall send(Attempt attempt, Listener listener);

  /** An attempt on its way. */
  interface EndpointCall {
    /**
     * Returns whether any of the request may have reached the endpoint; false until there is a
     * connection for it.
     */
    boolean mayHaveArrived();

    /** Breaks it off; the connection is closed, so the endpoint stops work. */
    void cancel();

    /** Reads the rest of the answer without reporting it, so that its connection can be kept. */
    void discard();

    /** Reads no further until {@link #resume}. */
    void pause();

    /** Reads on. */
    void resume();
  }

  /** Is told what becomes of an attempt. Nothing follows {@link #end} or {@link #failed}. */
  interface Listener {
    /** Takes the head of the answer. */
    void head(ResponseHead head);

    /** Takes a part of the body. */
    void data(byte[] bytes);

    /** Takes note that the answer is whole. */
    void end();

    /**
     * Takes note that there is no whole answer.
     *
     * @param neverSent whether it is known that no byte of the request left this node
     */
    void failed(boolean neverSent, Throwable cause);
  }
}
