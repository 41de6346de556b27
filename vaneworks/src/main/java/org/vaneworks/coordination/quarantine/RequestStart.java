package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.RequestContent;

/**
 * One start of a request: sent to an endpoint, or given another path.
 *
 * <p>At most one end is put down to it. What a request does to endpoints shows one after the other,
 * at each start of it; several engines of its path that end together have a cause of their own.
 * Confined to the node's event loop.
 */
public final class RequestStart {
  private final RequestContent content;
  private boolean putDown;

  private RequestStart(RequestContent content) {
    this.content = checkNotNull(content);
  }

  /** Returns a start of a request to which no end is put down yet. */
  public static RequestStart of(RequestContent content) {
    return new RequestStart(content);
  }

  RequestContent content() {
    return content;
  }

  /** Takes the one end that may be put down to it; returns false if it was taken before. */
  boolean takeEnd() {
    boolean first = !putDown;
    putDown = true;
    return first;
  }
}
