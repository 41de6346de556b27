package org.vaneworks.coordination.forwarding;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.RequestStart;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.RequestTrait;

/**
 * Quarantine checks for one request, and reports of endpoints lost while they ran it.
 *
 * <p>The content digest is computed lazily: no body is hashed before an endpoint is lost during
 * some request. Confined to the node's event loop.
 */
final class RequestQuarantine {
  private final ForwardContext context;
  private final CallerRequest request;
  private final String service;
  private final Optional<String> workspace;
  private Optional<RequestContent> content = Optional.empty();
  private Optional<ImmutableList<PromptPart>> parts = Optional.empty();
  private Optional<RequestStart> start = Optional.empty();

  RequestQuarantine(
      ForwardContext context, CallerRequest request, String service, Optional<String> workspace) {
    this.context = context;
    this.request = request;
    this.service = service;
    this.workspace = workspace;
  }

  private RequestContent content() {
    if (content.isEmpty()) {
      content = Optional.of(request.content(workspace));
    }
    return content.get();
  }

  private ImmutableList<PromptPart> parts() {
    if (parts.isEmpty()) {
      parts =
          Optional.of(
              request.sharedPromptParts().stream()
                  .map(id -> PromptPart.of(service, id))
                  .distinct()
                  .collect(ImmutableList.toImmutableList()));
    }
    return parts.get();
  }

  /** Returns whether the request has a content or a part of the prompt. */
  boolean has(RequestTrait trait) {
    return trait instanceof PromptPart part ? parts().contains(part) : content().equals(trait);
  }

  /** Returns whether the request is quarantined and must not be sent. */
  boolean isQuarantined() {
    return quarantinedTrait().isPresent();
  }

  /** Returns the trait for which the request is quarantined, if it is. */
  private Optional<RequestTrait> quarantinedTrait() {
    return firstTrait(context.quarantine()::isQuarantined);
  }

  /** Returns whether one more crash would quarantine the request. */
  boolean isOneCrashFromQuarantine() {
    return firstTrait(context.quarantine()::isOneCrashFromQuarantine).isPresent();
  }

  private Optional<RequestTrait> firstTrait(Predicate<RequestTrait> condition) {
    if (context.quarantine().isEmpty()) {
      return Optional.empty();
    }
    return Stream.<RequestTrait>concat(parts().stream(), Stream.of(content()))
        .filter(condition)
        .findFirst();
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
      start = Optional.of(RequestStart.of(content(), parts()));
    }
    context.crashDetector().recordLoss(endpoint, start.get(), sinceFirstPart.orElse(sinceSent));
  }

  /** Records that an endpoint continued the request after it had begun to answer it. */
  void recordSurvival() {
    context.quarantine().recordSurvival(parts());
    recordAnswer();
  }

  /** Records that an endpoint completed the request. */
  void recordAnswer() {
    if (context.crashDetector().hasRecentLosses()) {
      context.crashDetector().recordAnswer(content());
    }
    if (!context.quarantine().isEmpty()) {
      context.quarantine().recordAnswer(content());
    }
  }

  /** Returns the refusal of a quarantined request that was never sent. */
  Refusal refusal() {
    RequestTrait trait = quarantinedTrait().orElseGet(this::content);
    String kind = trait instanceof PromptPart ? "prompt part " : "content ";
    return Refusal.nothingSent(Reason.QUARANTINED, kind + trait)
        .withRetryAfter(context.quarantine().remaining(trait));
  }
}
