package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.Endpoint;

/**
 * An endpoint's status report; its load figures lag.
 *
 * @param endpoint the endpoint's own description
 * @param leaving whether it accepts no new work
 * @param running number of sessions that it held when the report was made
 * @param queued number of calls that were queued when the report was made
 * @param reportSequence sequence number of the load report, which identifies a repeated report
 */
public record EndpointStatus(
    Endpoint endpoint, boolean leaving, int running, int queued, long reportSequence) {
  /** Checks that the endpoint is given. */
  public EndpointStatus {
    checkNotNull(endpoint);
  }
}
