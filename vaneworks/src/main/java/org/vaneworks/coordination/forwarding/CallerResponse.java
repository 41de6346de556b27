package org.vaneworks.coordination.forwarding;

import org.vaneworks.state.Refusal;

/** The answer to a caller. */
public interface CallerResponse {
  /** Passes on an endpoint's head. */
  void head(ResponseHead head);

  /**
   * Passes on a part of the body.
   *
   * @return whether the caller keeps up; if not, {@link CallerResponse.Listener#drained} is called
   *     later
   */
  boolean data(byte[] bytes);

  /** Ends a whole answer. */
  void end();

  /** Breaks off an answer whose head was passed on, so that it can't look whole. */
  void abort();

  /** Answers with a refusal; no head was passed on. */
  void refuse(Refusal refusal);

  /** Is told how the caller takes its answer. */
  interface Listener {
    /** The caller has read what was waiting for it. */
    void drained();

    /** The caller closed its connection. */
    void disconnected();
  }
}
