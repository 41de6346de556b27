package org.vaneworks.state;

import java.util.Locale;

/**
 * The reasons why a request is refused or fails; used in responses to callers and as the reason tag
 * of counters.
 *
 * <p>Each reason has the HTTP status (RFC 9110) that callers receive.
 */
public enum Reason {
  UNKNOWN_WORKSPACE(404, "no workspace of that name is configured"),
  UNKNOWN_SERVICE(404, "the workspace has no service of that name"),
  UNKNOWN_PATH(404, "nothing is served at that path"),
  METHOD_NOT_ALLOWED(405, "the method is not supported at that path"),
  MALFORMED_BODY(400, "the body is not the JSON that is expected"),
  INVALID_FIELD(400, "a field is missing or out of its bounds"),
  INVALID_HEADER(400, "a header's value is not allowed"),
  UNSUPPORTED_MEDIA_TYPE(415, "the body must be application/json"),
  BODY_TOO_LARGE(413, "the body is over its bound"),
  UNKNOWN_TICKET(409, "the ticket was not issued by this fleet"),
  KEY_REUSED(422, "the key was used before with another body"),
  QUEUE_FULL(429, "the workspace's queue is full"),
  WORKSPACE_LIMIT(429, "the workspace has as many requests in flight as its limit allows"),
  LATENCY_BOUND(429, "the predicted first token would miss its bound"),
  DEADLINE(504, "the deadline passed"),
  NO_ENDPOINT(503, "no live endpoint holds some layer range"),
  MALFORMED_HTTP(400, "the bytes are not an HTTP request"),
  TARGET_TOO_LONG(414, "the request line is over its bound"),
  HEADERS_TOO_SLOW(408, "the headers took too long"),
  UNKNOWN_KEY(401, "the key is missing or belongs to no workspace"),
  HEADERS_TOO_LARGE(431, "the headers are over their bound"),
  CONFIGURATION_STALE(503, "the configuration was not confirmed lately"),
  NOT_STARTED_IN_TIME(503, "no endpoint could begin before the time limit"),
  NOT_READY(503, "no configuration has been read yet"),
  STOPPING(503, "the node is stopping"),
  NODE_STOPPED(504, "the node had to end before an endpoint answered"),
  NODE_ISOLATED(503, "the node reaches no endpoint"),
  UNKNOWN_PEER(403, "the sender did not show that it is a node of this fleet"),
  STORE_UNAVAILABLE(503, "the platform's store does not answer"),
  ENDPOINT_LOST(502, "an endpoint was lost and the request may not be run again"),
  UNPROVEN_REFUSAL(502, "an endpoint refused, but did not state that the request has not run"),
  ENDPOINT_OVERLOADED(503, "endpoints refuse for overload"),
  RECOVERY_EXHAUSTED(502, "too many endpoints were lost under one request"),
  RETRY_BUDGET(503, "the node's retry budget is spent"),
  HOME_LOST(409, "the node that held the request's record is gone"),
  RECORD_GONE(409, "the request's record is gone; it may have run"),
  RECORDS_FULL(503, "the node holds as many records as it may"),
  NODE_MEMORY(503, "the node has no memory left for the body"),
  BODY_TOO_SLOW(408, "the body took too long"),
  QUARANTINED(503, "several endpoints ended each time they had begun this request"),
  CALLER_GONE(499, "the caller closed its connection"),
  INTERNAL(500, "the node failed");

  private final int status;
  private final String text;

  Reason(int status, String text) {
    this.status = status;
    this.text = text;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns a short human-readable explanation. */
  public String text() {
    return text;
  }

  /** Returns the name used in responses and counters, such as {@code queue-full}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
