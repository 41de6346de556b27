package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body response body; empty if none
 * @param endStated whether the service stated the end of the body; if not, a part may be missing
 */
public record ServiceReply(int status, String contentType, String body, boolean endStated) {
  /** Checks that every part is given. */
  public ServiceReply {
    checkNotNull(contentType);
    checkNotNull(body);
  }

  /** Creates an answer whose end was stated. */
  public ServiceReply(int status, String contentType, String body) {
    this(status, contentType, body, true);
  }
}
