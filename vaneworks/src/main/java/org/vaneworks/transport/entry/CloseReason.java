package org.vaneworks.transport.entry;

/** Who closed a caller's connection, and when; docs/METRICS.md describes them. */
enum CloseReason {
  IDLE("idle"),
  IDLE_WHILE_HELD("idle-while-held"),
  STALLED("stalled"),
  REJECTED("rejected"),
  CUT("cut"),
  LAST_ANSWER("last-answer"),
  BETWEEN_ANSWERS("between-answers"),
  CALLER_LEFT_ANSWER("caller-left-answer"),
  CALLER_LEFT("caller-left");

  private final String code;

  CloseReason(String code) {
    this.code = code;
  }

  /** Returns its name in the metrics. */
  String code() {
    return code;
  }
}
