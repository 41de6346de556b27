package org.vaneworks.coordination.forwarding;

/** The reason why an attempt ended without a complete response. */
enum AttemptFailure {
  /** The endpoint answered that it did not run the request. */
  ENDPOINT_REFUSED("endpoint-refused", false),
  /** The endpoint answered with a status that callers take for a refusal, but may have run it. */
  UNPROVEN_REFUSAL("unproven-refusal", false),
  /** The peer did not run the request, which its endpoints had rejected; another one may. */
  REJECTED_AT_PEER("rejected-at-peer", false),
  /** The peer did not take the request; another one may. */
  PEER_DECLINED("peer-declined", false),
  /** The peer responded that the request may have run, but failed. */
  PEER_FAILED("peer-failed", false),
  /** The peer sent nothing for long. */
  PEER_SILENT("peer-silent", true),
  /** This node is isolated from all endpoints. */
  NODE_ISOLATED("node-isolated", true),
  /** The endpoint responded with a server error. */
  ENDPOINT_ERROR("endpoint-error", false),
  /** The endpoint refused to resume a stream. */
  RESUME_REFUSED("resume-refused", false),
  /** The response belongs to another request. */
  MISMATCHED_RESPONSE("foreign-answer", false),
  /** An event of the stream is longer than any may be. */
  EVENT_TOO_LONG("event-too-long", true),
  /** The stream has more events than its request allows. */
  STREAM_TOO_LONG("stream-too-long", true),
  /** No connection to the endpoint could be opened. */
  NOT_CONNECTED("not-connected", false),
  /** The connection was lost. */
  CONNECTION_LOST("connection-lost", false),
  /** The connection ended without an error inside the response. */
  RESPONSE_TRUNCATED("response-truncated", false),
  /** The endpoint's process restarted. */
  ENDPOINT_RESTARTED("endpoint-restarted", false),
  /** The first engine of the path does not respond to probes. */
  ENGINE_SUSPECTED("engine-suspected", true),
  /** A later engine was lost, and the first one does not know the request. */
  REQUEST_UNKNOWN("request-unknown", false),
  /** A later engine was lost, and the first one accepted no other path. */
  PATH_LOST("path-lost", true),
  /** A later engine was lost, and the request is quarantined, so it must not start elsewhere. */
  QUARANTINED("held-back", true),
  /** The previous attempt produced data again before its replacement did. */
  SUPERSEDED("outrun", true),
  /** The caller's or the route's deadline passed. */
  DEADLINE_EXCEEDED("time-up", true),
  /** The node has to end. */
  NODE_STOPPED("node-stopped", true),
  /** An exception of this node. */
  INTERNAL("internal", true);

  private final String code;
  private final boolean endedByNode;

  AttemptFailure(String code, boolean endedByNode) {
    this.code = code;
    this.endedByNode = endedByNode;
  }

  /** Returns the reason for an attempt whose sending or response failed. */
  static AttemptFailure of(boolean neverSent, Throwable cause) {
    if (neverSent) {
      return NOT_CONNECTED;
    }
    return cause instanceof TruncatedResponseException ? RESPONSE_TRUNCATED : CONNECTION_LOST;
  }

  /** Returns the code for logs and metrics. */
  String code() {
    return code;
  }

  /**
   * Returns whether the request arrived at an endpoint, which did not run it. Such arrivals count
   * towards the retry budget.
   */
  boolean isRejection() {
    return this == ENDPOINT_REFUSED || this == REJECTED_AT_PEER;
  }

  /** Returns whether this node ended the attempt while the endpoint had not. */
  boolean endedByNode() {
    return endedByNode;
  }
}
