package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestContent;

/**
 * One start of a request: the request is sent to an endpoint or is assigned another path.
 *
 * <p>At most one crash is attributed to a start. A request that crashes endpoints does so one
 * endpoint at a time, at each of its starts; if several engines of its path crash together, there
 * is another cause. Confined to the node's event loop.
 */
public final class RequestStart {
  private final RequestContent content;
  private final ImmutableList<PromptPart> parts;
  private boolean crashAttributed;

  private RequestStart(RequestContent content, ImmutableList<PromptPart> parts) {
    this.content = checkNotNull(content);
    this.parts = checkNotNull(parts);
  }

  /** Returns a start to which no crash is attributed yet, of a request without shared parts. */
  public static RequestStart of(RequestContent content) {
    return of(content, ImmutableList.of());
  }

  /**
   * Returns a start to which no crash is attributed yet.
   *
   * @param parts the parts of the prompt that other requests may share
   */
  public static RequestStart of(RequestContent content, ImmutableList<PromptPart> parts) {
    return new RequestStart(content, parts);
  }

  /** Returns whether the request has a content. */
  boolean has(RequestContent other) {
    return content.equals(other);
  }

  /** Returns the crash of an endpoint that had just begun the request. */
  EndpointCrash crashOf(String incarnationId) {
    return new EndpointCrash(content, parts, incarnationId);
  }

  /** Attributes a crash to this start; returns false if one was attributed before. */
  boolean claimCrash() {
    boolean first = !crashAttributed;
    crashAttributed = true;
    return first;
  }
}
