package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.EndpointId;

/**
 * A notice that an endpoint is leaving, sent by the first node that learns of it.
 *
 * @param endpoint the endpoint that is leaving
 */
public record EndpointHint(EndpointId endpoint) {
  /** Checks that the endpoint is given. */
  public EndpointHint {
    checkNotNull(endpoint);
  }
}
