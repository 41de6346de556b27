package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A call to a plain service.
 *
 * @param method HTTP method
 * @param path path and query, relative to the service
 * @param body request body; empty if none
 * @param requestId id of the request, for the service's own log
 */
public record ServiceCall(String method, String path, String body, String requestId) {
  /** Checks that method, path and body are given. */
  public ServiceCall {
    checkNotNull(method);
    checkNotNull(path);
    checkNotNull(body);
  }
}
