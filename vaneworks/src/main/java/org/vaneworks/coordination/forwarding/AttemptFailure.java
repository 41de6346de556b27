package org.vaneworks.coordination.forwarding;

/** Why an attempt ended without a whole answer. */
enum AttemptFailure {
  /** The endpoint answered that it did not run the request. */
  ENDPOINT_REFUSED("endpoint-refused", false),
  /** The endpoint answered with a failure. */
  ENDPOINT_ERROR("endpoint-error", false),
  /** The endpoint answered a request for the rest of a stream with a failure. */
  RESUME_REFUSED("resume-refused", false),
  /** The answer belongs to another request. */
  MISMATCHED_RESPONSE("foreign-answer", false),
  /** There was no connection to send on. */
  NOT_CONNECTED("not-connected", false),
  /** The connection broke. */
  CONNECTION_LOST("connection-lost", false),
  /** A later run of the endpoint's process showed. */
  ENDPOINT_RESTARTED("endpoint-restarted", false),
  /** The first engine gives no sign of life. */
  ENGINE_SUSPECTED("engine-suspected", true),
  /** A later engine is lost, and the first one says that it does not run the request. */
  REQUEST_UNKNOWN("request-unknown", false),
  /** A later engine is lost, and the first one takes no other path. */
  PATH_LOST("path-lost", true),
  /** A later engine is lost, and the request must not be begun elsewhere. */
  QUARANTINED("held-back", true),
  /** The endpoint that the request was to leave answered first. */
  SUPERSEDED("outrun", true),
  /** The caller's or the route's time is over. */
  DEADLINE_EXCEEDED("time-up", true);

  private final String code;
  private final boolean endedByNode;

  AttemptFailure(String code, boolean endedByNode) {
    this.code = code;
    this.endedByNode = endedByNode;
  }

  /** Returns the code that logs and meters use. */
  String code() {
    return code;
  }

  /** Returns whether the endpoint had not ended the attempt as this node did. */
  boolean endedByNode() {
    return endedByNode;
  }
}
