package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ObjectArrays;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestContent;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/** The log lines and counters of decisions on a request; each line names the request. */
final class ForwardLog {
  private ForwardLog() {}

  static void refused(CallerRequest request, Refusal refusal, Trail trail, Counters counters) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name().toLowerCase(Locale.ROOT));
    withTrail(
        Event.REQUEST_REFUSED,
        trail,
        "request",
        request.id(),
        "reason",
        refusal.reason().code(),
        "verdict",
        refusal.verdict(),
        "detail",
        refusal.detail());
  }

  /** Writes a line of a request with how far it came. */
  private static void withTrail(Event event, Trail trail, Object... pairs) {
    Object[] way = {
      "lastSentTo",
      trail.lastSentTo().map(Object::toString).orElse(""),
      "sends",
      trail.sends(),
      "afterMs",
      trail.sinceArrival().toMillis(),
      "noProgressMs",
      trail.sinceProgress().toMillis()
    };
    EventLog.info(event, ObjectArrays.concat(pairs, way, Object.class));
  }

  static void sent(CallerRequest request, Attempt attempt, int sends) {
    EventLog.debug(
        Event.REQUEST_SENT,
        "request",
        request.id(),
        "endpoint",
        attempt.endpoint().id(),
        "path",
        attempt.path().orElse(""),
        "send",
        sends,
        "remainingMs",
        attempt.remaining().toMillis(),
        "resumeAfter",
        attempt.resumeAfter().orElse(""));
  }

  /**
   * Notes that a request is sent again.
   *
   * @param sends how often it was sent before
   * @param triedAt the endpoint of the attempt that is over
   * @param afterMillis since the request came
   */
  static void sentAgain(
      CallerRequest request,
      AttemptEnd end,
      int sends,
      String triedAt,
      long afterMillis,
      Object cause,
      Counters counters) {
    counters.count(Metric.RETRIES, end.code());
    EventLog.info(
        Event.REQUEST_SENT_AGAIN,
        "request",
        request.id(),
        "reason",
        end.code(),
        "sends",
        sends,
        "triedAt",
        triedAt,
        "afterMs",
        afterMillis,
        "cause",
        cause);
  }

  /**
   * Notes that an endpoint was lost while it had a request.
   *
   * @param sinceSent since the request was sent there
   * @param sincePart since the first part of its answer; empty if there was none
   */
  static void lostEndpoint(
      CallerRequest request,
      RequestContent content,
      TrackedEndpoint endpoint,
      Duration sinceSent,
      Optional<Duration> sincePart) {
    EventLog.info(
        Event.REQUEST_LOST_ENDPOINT,
        "request",
        request.id(),
        "content",
        content,
        "endpoint",
        endpoint,
        "sentMsAgo",
        sinceSent.toMillis(),
        "firstPartMsAgo",
        sincePart.map(Duration::toMillis).orElse(-1L));
  }

  static void pathChanged(CallerRequest request, String cause, Object outcome, String path) {
    EventLog.info(
        Event.PATH_REPLACED,
        "request",
        request.id(),
        "cause",
        cause,
        "outcome",
        outcome,
        "path",
        path);
  }

  /**
   * Notes that a request remains at an endpoint that gives no sign of life.
   *
   * @param end what would have ended the attempt
   * @param denial why there is no other attempt
   */
  static void stays(
      CallerRequest request, AttemptEnd end, Denial denial, Trail trail, Counters counters) {
    counters.count(Metric.STAYS, end.code() + "/" + denial.code());
    withTrail(
        Event.REQUEST_STAYS,
        trail,
        "request",
        request.id(),
        "reason",
        end.code(),
        "noOther",
        denial.code());
  }

  /**
   * Notes that an answer was broken off after its head had reached the caller.
   *
   * @param end of the last attempt
   * @param denial why there is no other attempt
   */
  static void cut(
      CallerRequest request,
      AttemptEnd end,
      Denial denial,
      String cause,
      Trail trail,
      Counters counters) {
    counters.count(Metric.REFUSALS, "cut");
    counters.count(Metric.CUTS, end.code() + "/" + denial.code());
    withTrail(
        Event.STREAM_FAILED,
        trail,
        "request",
        request.id(),
        "reason",
        end.code(),
        "endedBy",
        end.endedByNode() ? "node" : "endpoint",
        "noOther",
        denial.code(),
        "cause",
        cause);
  }
}
