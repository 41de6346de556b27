package org.vaneworks.state.entry;

/** How often the requests of a route may run, and whether their answers are streams. */
public enum CallKind {
  /** May run any number of times. */
  SAFE,
  /** May run at most once. */
  UNSAFE,
  /** Answered with a stream of events; may run at most once. */
  STREAM,
  /** Answered with a stream of events that another run may resume after any complete event. */
  RESUMABLE_STREAM;

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return this == SAFE || this == RESUMABLE_STREAM;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streamed() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
