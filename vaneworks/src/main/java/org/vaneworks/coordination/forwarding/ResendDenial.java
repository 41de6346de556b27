package org.vaneworks.coordination.forwarding;

/** The reason why a request is not sent again. */
enum ResendDenial {
  /** Part of the response has reached the caller, and the stream can't be resumed. */
  NOT_RESUMABLE("not-resumable"),
  /** The request may have run, and it is not idempotent. */
  NOT_REPEATABLE("not-repeatable"),
  /** The request may have run on as many endpoints as its route allows. */
  ATTEMPTS_EXHAUSTED("attempts-used"),
  /** The request was sent as often as any request may be. */
  SENDS_EXHAUSTED("sends-used"),
  /** The deadline of the request passed. */
  DEADLINE_EXCEEDED("time-used"),
  /** Endpoints crashed while they ran requests of the same content. */
  QUARANTINED("quarantined"),
  /** This node's share of the fleet's retry budget is exhausted. */
  BUDGET_EXHAUSTED("budget-spent"),
  /** No other endpoint has capacity in time. */
  NO_CAPACITY("no-room"),
  /** This node failed. */
  INTERNAL("internal");

  private final String code;

  ResendDenial(String code) {
    this.code = code;
  }

  /** Returns the code for logs and metrics. */
  String code() {
    return code;
  }
}
