package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body response body; empty if none
 */
public record ServiceReply(int status, String contentType, String body) {
  /** Checks that every part is given. */
  public ServiceReply {
    checkNotNull(contentType);
    checkNotNull(body);
  }
}
