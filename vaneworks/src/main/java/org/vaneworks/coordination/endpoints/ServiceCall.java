package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A call of a plain service.
 *
 * @param method HTTP method
 * @param path path and query below the service
 * @param body body, empty if none
 * @param requestId names the request, for the service's own log
 */
public record ServiceCall(String method, String path, String body, String requestId) {
  /** Checks that every part is given. */
  public ServiceCall {
    checkNotNull(method);
    checkNotNull(path);
    checkNotNull(body);
  }
}
