package org.vaneworks.coordination.forwarding;

/** Why a request is not sent again. */
enum ResendDenial {
  /** Part of the answer has reached the caller, and the rest can't be asked for. */
  NOT_RESUMABLE("not-resumable"),
  /** It may have run, and must not run twice. */
  NOT_REPEATABLE("not-repeatable"),
  /** It may have run on as many endpoints as its route allows. */
  ATTEMPTS_EXHAUSTED("attempts-used"),
  /** It was turned away by as many endpoints as one request may ask. */
  SENDS_EXHAUSTED("sends-used"),
  /** Its time is over. */
  DEADLINE_EXCEEDED("time-used"),
  /** Endpoints ended under requests of the same content. */
  QUARANTINED("quarantined"),
  /** The node's part of the fleet's repeated sends is spent. */
  BUDGET_EXHAUSTED("budget-spent"),
  /** No other endpoint has room in time. */
  NO_CAPACITY("no-room");

  private final String code;

  ResendDenial(String code) {
    this.code = code;
  }

  /** Returns the code that logs and meters use. */
  String code() {
    return code;
  }
}
