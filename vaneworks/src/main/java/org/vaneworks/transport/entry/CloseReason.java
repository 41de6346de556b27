package org.vaneworks.transport.entry;

/** Why and by whom a caller's connection was closed; docs/METRICS.md describes the values. */
enum CloseReason {
  /** The idle timeout expired between requests. */
  IDLE("idle"),

  /** The idle timeout expired while a response was in progress, which must not happen. */
  IDLE_DURING_RESPONSE("idle-while-held"),

  /** The caller read none of the buffered bytes within the stall timeout. */
  STALLED("stalled"),

  /** The request head was malformed, too large or too slow. */
  REJECTED("rejected"),

  /** The node closed the connection during a response. */
  ABORTED("cut"),

  /** The connection was closed after a response that announced the close. */
  LAST_RESPONSE("last-answer"),

  /** The node closed the connection between responses, for example at the caller's request. */
  BETWEEN_RESPONSES("between-answers"),

  /** The caller disconnected during a request or response. */
  DISCONNECTED_DURING_RESPONSE("caller-left-answer"),

  /** The caller disconnected between responses. */
  DISCONNECTED("caller-left");

  private final String code;

  CloseReason(String code) {
    this.code = code;
  }

  /** Returns the label value in metrics. */
  String code() {
    return code;
  }
}
