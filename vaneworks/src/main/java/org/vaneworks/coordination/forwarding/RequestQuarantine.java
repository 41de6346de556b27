package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.RequestStart;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestContent;

/**
 * Quarantine checks for one request, and reports of endpoints lost while they ran it.
 *
 * <p>The content digest is computed lazily: no body is hashed before an endpoint is lost during
 * some request. Confined to the node's event loop.
 */
final class RequestQuarantine {
  private final ForwardContext context;
  private final CallerRequest request;
  private final Optional<String> workspace;
  private Optional<RequestContent> content = Optional.empty();
  private Optional<RequestStart> start = Optional.empty();

  RequestQuarantine(ForwardContext context, CallerRequest request, Optional<String> workspace) {
    this.context = context;
    this.request = request;
    this.workspace = workspace;
  }

  private RequestContent content() {
    if (content.isEmpty()) {
      content = Optional.of(request.content(workspace));
    }
    return content.get();
  }

  boolean hasContent(RequestContent other) {
    return content().equals(other);
  }

  /** Returns whether the request is quarantined and must not be sent. */
  boolean isQuarantined() {
    return !context.quarantine().isEmpty() && context.quarantine().isQuarantined(content());
  }

  /** Returns whether one more crash would quarantine the request. */
  boolean isOneCrashFromQuarantine() {
    return !context.quarantine().isEmpty()
        && context.quarantine().isOneCrashFromQuarantine(content());
  }

  /** Records that the request was sent, or continues over another path. */
  void recordSent() {
    start = Optional.empty();
  }

  /** Records the loss of an endpoint to which the request was sent or which was on its path. */
  void recordLoss(TrackedEndpoint endpoint, Duration sinceSent, Optional<Duration> sinceFirstPart) {
    ForwardLog.lostEndpoint(
        request, content(), request.sharedPromptParts(), endpoint, sinceSent, sinceFirstPart);
    if (start.isEmpty()) {
      start = Optional.of(RequestStart.of(content()));
    }
    context.crashDetector().recordLoss(endpoint, start.get(), sinceFirstPart.orElse(sinceSent));
  }

  /** Records that an endpoint completed the request. */
  void recordAnswer() {
    if (!context.quarantine().isEmpty()) {
      context.quarantine().recordAnswer(content());
    }
  }

  /** Returns the refusal of a quarantined request that was never sent. */
  Refusal refusal() {
    return Refusal.nothingSent(Reason.QUARANTINED, "content " + content())
        .withRetryAfter(context.quarantine().remaining(content()));
  }
}
