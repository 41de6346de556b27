package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.EndpointId;

/**
 * News of an endpoint that leaves, from the first node that heard of it.
 *
 * @param endpoint which one
 */
public record EndpointHint(EndpointId endpoint) {
  /** Checks that the endpoint is given. */
  public EndpointHint {
    checkNotNull(endpoint);
  }
}
