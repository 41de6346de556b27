package org.vaneworks.coordination.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.RequestStart;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestContent;

/**
 * One request as the quarantine sees it: whether it is held back, and what it did to endpoints.
 *
 * <p>The content is worked out only once an endpoint was lost under some request, so that a calm
 * node digests no bodies. Confined to the node's event loop.
 */
final class ContentGuard {
  private final ForwardContext context;
  private final CallerRequest request;
  private final Optional<String> workspace;
  private Optional<RequestContent> content = Optional.empty();
  private Optional<RequestStart> start = Optional.empty();

  ContentGuard(ForwardContext context, CallerRequest request, Optional<String> workspace) {
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

  boolean asksFor(RequestContent other) {
    return content().equals(other);
  }

  /** Returns whether the request must not be sent now. */
  boolean isHeldBack() {
    return !context.quarantine().isEmpty() && context.quarantine().holds(content());
  }

  /** Returns whether one more end of an endpoint would hold the request back. */
  boolean isOneEndShort() {
    return !context.quarantine().isEmpty() && context.quarantine().isOneEndShort(content());
  }

  /** Notes that the request is sent, or goes on over another path. */
  void started() {
    start = Optional.empty();
  }

  /** Notes that an endpoint was lost that the request was sent to, or that ran part of its path. */
  void lost(TrackedEndpoint endpoint, Duration sinceSent, Optional<Duration> sinceFirstPart) {
    ForwardLog.lostEndpoint(request, content(), endpoint, sinceSent, sinceFirstPart);
    if (start.isEmpty()) {
      start = Optional.of(RequestStart.of(content()));
    }
    context.endedEndpoints().lost(endpoint, start.get(), sinceFirstPart.orElse(sinceSent));
  }

  /** Notes that an endpoint answered the request whole. */
  void answered() {
    if (!context.quarantine().isEmpty()) {
      context.quarantine().noteAnswered(content());
    }
  }

  /** Returns the answer to a request that was never sent because it is held back. */
  Refusal refusal() {
    return Refusal.nothingSent(Reason.QUARANTINED, "content " + content())
        .withRetryAfter(context.quarantine().remaining(content()));
  }
}
