package org.vaneworks.transport.entry;

/** Why and by whom a caller's connection was closed; docs/METRICS.md describes the values. */
enum CloseReason {
  /** The idle timeout expired between requests. */
  IDLE("idle", false),

  /** The idle timeout expired while a response was in progress, which must not happen. */
  IDLE_DURING_RESPONSE("idle-while-held", false),

  /** The caller read none of the buffered bytes within the stall timeout. */
  STALLED("stalled", false),

  /** The request head was malformed, too large or too slow. */
  REJECTED("rejected", false),

  /** Memory was short, and the caller had stopped within a head or a body. */
  INPUT_GIVEN_UP("input-given-up", false),

  /** Input after a request was malformed, too large, or could not be held. */
  INPUT_REFUSED("next-refused", false),

  /** The time for a stop was over before a response was delivered. */
  STOP_EXPIRED("stop-over", false),

  /** The node closed the connection during a response. */
  ABORTED("cut", false),

  /** The connection was closed after a response that announced the close. */
  LAST_RESPONSE("last-answer", false),

  /** The node closed the connection between responses, for example at the caller's request. */
  BETWEEN_RESPONSES("between-answers", false),

  /** The caller disconnected during a request or response. */
  DISCONNECTED_DURING_RESPONSE("caller-left-answer", true),

  /** The caller disconnected between responses. */
  DISCONNECTED("caller-left", true);

  private final String code;
  private final boolean closedByCaller;

  CloseReason(String code, boolean closedByCaller) {
    this.code = code;
    this.closedByCaller = closedByCaller;
  }

  /** Returns the label value in metrics. */
  String code() {
    return code;
  }

  /** Returns whether the caller closed the connection, rather than this node. */
  boolean closedByCaller() {
    return closedByCaller;
  }
}
