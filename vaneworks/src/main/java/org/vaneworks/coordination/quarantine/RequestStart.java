package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

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
  private boolean crashAttributed;

  private RequestStart(RequestContent content) {
    this.content = checkNotNull(content);
  }

  /** Returns a start to which no crash is attributed yet. */
  public static RequestStart of(RequestContent content) {
    return new RequestStart(content);
  }

  RequestContent content() {
    return content;
  }

  /** Attributes a crash to this start; returns false if one was attributed before. */
  boolean claimCrash() {
    boolean first = !crashAttributed;
    crashAttributed = true;
    return first;
  }
}
