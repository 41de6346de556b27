package org.vaneworks.telemetry;

/** The node's meters with their names and descriptions. */
public enum Metric {
  REFUSALS("vaneworks.refusals", "final answers other than success, by reason"),
  VERDICTS("vaneworks.verdicts", "final answers other than success, by verdict"),
  CUTS(
      "vaneworks.cuts",
      "answers broken off after their head, by the end of the attempt and what forbade another"),
  STAYS(
      "vaneworks.stays",
      "requests that remain at a silent endpoint, by what would have ended the attempt and what"
          + " forbade another"),
  CALLER_CLOSES(
      "vaneworks.caller.closes", "connections of callers that were closed, by who did and when"),
  RETRIES("vaneworks.retries", "parts sent again to another endpoint, by reason"),
  ENDPOINT_RESPONSES(
      "vaneworks.endpoint.responses",
      "endpoint responses that ended without an error, by what delimited their bodies"),
  QUEUE_STARTS(
      "vaneworks.queue.starts", "starts at endpoints, by whether the request waited for capacity"),
  DROPPED_ANSWERS("vaneworks.dropped.answers", "endpoint answers not used, by reason"),
  REQUESTS("vaneworks.requests", "requests taken in, by kind"),
  TOKENS("vaneworks.tokens", "tokens accepted, by model"),
  HOP_CALLS("vaneworks.hop.calls", "calls to engines, by outcome"),
  STORE_CALLS("vaneworks.store.calls", "calls to the platform's store, by purpose"),
  STORE_FAILURES("vaneworks.store.failures", "failed calls to the store, by purpose"),
  REJECTED_CONFIGURATIONS(
      "vaneworks.configurations.rejected",
      "configurations that were rejected, by what became of their keys"),
  STORE_ERAS("vaneworks.store.eras", "times that the store came back from an older copy"),
  ORDERS("vaneworks.orders", "orders to engines, by outcome"),
  EJECTIONS("vaneworks.ejections", "endpoints ejected, by cause"),
  REACHABILITY_CHECKS(
      "vaneworks.reachability.checks",
      "checks whether this node can open a connection to any endpoint, by result"),
  ENDPOINT_ENTRIES("vaneworks.endpoint.entries", "entries of endpoints not taken, by cause"),
  ENDPOINT_LIMITS(
      "vaneworks.endpoint.limits", "limits of requests that endpoints named, by what changed"),
  ENDPOINT_BACKOFFS("vaneworks.endpoint.backoffs", "times that endpoints asked for no calls"),
  BACKOFF_CALLS(
      "vaneworks.backoff.calls", "calls to endpoints that had asked for none, by purpose"),
  ENGINE_QUESTIONS("vaneworks.engine.questions", "reports asked of engines, by purpose"),
  UNCOUNTED_SILENCES(
      "vaneworks.uncounted.silences",
      "silences that were not counted as this node was late itself, by how they were found"),
  PEER_MESSAGES("vaneworks.peer.messages", "messages to peers, by type"),
  PEER_BYTES("vaneworks.peer.bytes", "bytes to and from peers, by direction"),
  PEER_HOPS(
      "vaneworks.peer.hops", "requests forwarded to peers and taken from peers, by what happened"),
  FULL_LINKS(
      "vaneworks.full.links",
      "links between data centres that a request could not cross for want of room, by what was"
          + " searched"),
  LOAD_REPORTS("vaneworks.load.reports", "reports of load between nodes, by outcome"),
  QUARANTINE("vaneworks.quarantine", "requests under which endpoints ended, by step"),
  SUSPENSIONS("vaneworks.suspensions", "times that the box may have slept, by the time of day"),
  TICKETS("vaneworks.tickets", "ticketed requests, by outcome"),
  CLAIMS("vaneworks.claims", "keyed requests, by outcome"),
  FIRST_TOKEN("vaneworks.first.token", "time to the first token"),
  BETWEEN_TOKENS("vaneworks.between.tokens", "time between tokens"),
  RECOVERY("vaneworks.recovery", "time from the loss of a hop to the next accepted token"),
  REQUEST_TIME("vaneworks.request.time", "time from a request to the end of its whole answer"),
  DETECTION_TIME(
      "vaneworks.detection.time", "time from a request's last progress to its engine's suspicion"),
  LATE_CHECKS(
      "vaneworks.late.checks", "by how much looks at a request's progress came later than due"),
  STORE_TIME("vaneworks.store.time", "time of a call to the platform's store that does not wait"),
  ORDER_TIME("vaneworks.order.time", "time from an order to its answer"),
  PLACEMENT_TIME(
      "vaneworks.placement.time", "time from a decision on an engine's layers until it is listed");

  private final String meter;
  private final String text;

  Metric(String meter, String text) {
    this.meter = meter;
    this.text = text;
  }

  /** Returns the meter's name in Micrometer's dotted notation. */
  public String meter() {
    return meter;
  }

  /** Returns the meter's description. */
  public String text() {
    return text;
  }
}
