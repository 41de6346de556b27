package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.Endpoint;

/**
 * What an endpoint reports of itself; the load lags.
 *
 * @param endpoint how it describes itself
 * @param leaving whether it wants no new work
 * @param running sessions that it held when the report was made
 * @param queued calls that waited when the report was made
 * @param reportSequence counts its load reports, so that a repeated one is known as such
 */
public record EndpointStatus(
    Endpoint endpoint, boolean leaving, int running, int queued, long reportSequence) {
  /** Checks that the endpoint is given. */
  public EndpointStatus {
    checkNotNull(endpoint);
  }
}
