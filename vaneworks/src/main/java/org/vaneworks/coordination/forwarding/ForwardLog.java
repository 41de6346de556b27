package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableList;
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

/** Logs and counts forwarding decisions; each log line names its request. */
final class ForwardLog {
  private ForwardLog() {}

  static void refused(
      CallerRequest request, Refusal refusal, RequestProgress progress, Counters counters) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name().toLowerCase(Locale.ROOT));
    logWithProgress(
        Event.REQUEST_REFUSED,
        progress,
        "request",
        request.id(),
        "reason",
        refusal.reason().code(),
        "verdict",
        refusal.verdict(),
        "detail",
        refusal.detail());
  }

  /** Logs an event of a request together with its progress. */
  private static void logWithProgress(Event event, RequestProgress progress, Object... pairs) {
    Object[] progressPairs = {
      "lastSentTo",
      progress.lastSentTo().map(Object::toString).orElse(""),
      "sends",
      progress.sends(),
      "afterMs",
      progress.sinceArrival().toMillis(),
      "noProgressMs",
      progress.sinceProgress().toMillis()
    };
    EventLog.info(event, ObjectArrays.concat(pairs, progressPairs, Object.class));
  }

  /** Logs that a step of a request has thrown an exception. */
  static void failedInside(CallerRequest request, RuntimeException cause) {
    EventLog.error(Event.REQUEST_FAILED_INSIDE, cause, "request", request.id());
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
   * Logs that a request is sent again.
   *
   * @param sends the number of sends before
   * @param triedAt the endpoint of the attempt that ended
   * @param afterMillis the time since the request arrived
   */
  static void sentAgain(
      CallerRequest request,
      AttemptFailure failure,
      int sends,
      String triedAt,
      long afterMillis,
      Object cause,
      Counters counters) {
    counters.count(Metric.RETRIES, failure.code());
    EventLog.info(
        Event.REQUEST_SENT_AGAIN,
        "request",
        request.id(),
        "reason",
        failure.code(),
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
   * Logs that an endpoint was lost while it had a request.
   *
   * @param promptParts the parts of its prompt that other requests may share
   * @param sinceSent the time since the request was sent there
   * @param sinceFirstPart the time since the first part of its response; empty if there was none
   */
  static void lostEndpoint(
      CallerRequest request,
      RequestContent content,
      ImmutableList<String> promptParts,
      TrackedEndpoint endpoint,
      Duration sinceSent,
      Optional<Duration> sinceFirstPart) {
    EventLog.info(
        Event.REQUEST_LOST_ENDPOINT,
        "request",
        request.id(),
        "content",
        content,
        "promptParts",
        String.join(",", promptParts),
        "endpoint",
        endpoint,
        "sentMsAgo",
        sinceSent.toMillis(),
        "firstPartMsAgo",
        sinceFirstPart.map(Duration::toMillis).orElse(-1L));
  }

  /**
   * Logs that a response had neither a length nor chunks and ended with its connection.
   *
   * @param partialEventBytes the number of bytes after the last complete event of a stream
   * @param truncated whether the response is known to be incomplete
   */
  static void endedWithConnection(
      CallerRequest request, RunningAttempt attempt, int partialEventBytes, boolean truncated) {
    EventLog.info(
        Event.RESPONSE_ENDED_WITH_CONNECTION,
        "request",
        request.id(),
        "endpoint",
        attempt.endpoint(),
        "receivedBytes",
        attempt.receivedBytes(),
        "partialEventBytes",
        partialEventBytes,
        "truncated",
        truncated);
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
   * Logs that a request stays at an endpoint that does not respond.
   *
   * @param failure the failure that triggered the failover
   * @param denial why there is no other attempt
   */
  static void stayed(
      CallerRequest request,
      AttemptFailure failure,
      ResendDenial denial,
      RequestProgress progress,
      Counters counters) {
    counters.count(Metric.STAYS, failure.code() + "/" + denial.code());
    logWithProgress(
        Event.REQUEST_STAYS,
        progress,
        "request",
        request.id(),
        "reason",
        failure.code(),
        "noOther",
        denial.code());
  }

  /**
   * Logs that a response was aborted after its head had been sent to the caller.
   *
   * @param failure the failure of the last attempt
   * @param denial why there is no other attempt
   */
  static void aborted(
      CallerRequest request,
      AttemptFailure failure,
      ResendDenial denial,
      String cause,
      RequestProgress progress,
      Counters counters) {
    counters.count(Metric.REFUSALS, "cut");
    counters.count(Metric.CUTS, failure.code() + "/" + denial.code());
    logWithProgress(
        Event.STREAM_FAILED,
        progress,
        "request",
        request.id(),
        "reason",
        failure.code(),
        "endedBy",
        failure.endedByNode() ? "node" : "endpoint",
        "noOther",
        denial.code(),
        "cause",
        cause);
  }
}
