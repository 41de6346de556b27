package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The signals about itself that an endpoint attaches to a response, decoded from the wire.
 *
 * @param limit rate of requests that the endpoint accepts from all nodes together
 * @param backoff time during which the node that gets the response should not call the endpoint
 * @param leaving whether the endpoint is about to stop
 */
public record EndpointSignal(AdvertisedRateLimit limit, RequestedBackoff backoff, boolean leaving) {
  /** The signal of a response without a limit, a backoff or a notice of leaving. */
  public static final EndpointSignal NONE =
      new EndpointSignal(AdvertisedRateLimit.none(), RequestedBackoff.none(), false);

  /** Checks that the limit and the backoff are given. */
  public EndpointSignal {
    checkNotNull(limit);
    checkNotNull(backoff);
  }

  /** Returns a copy with another limit. */
  public EndpointSignal withLimit(AdvertisedRateLimit newLimit) {
    return new EndpointSignal(newLimit, backoff, leaving);
  }

  /** Returns a copy with another backoff. */
  public EndpointSignal withBackoff(RequestedBackoff newBackoff) {
    return new EndpointSignal(limit, newBackoff, leaving);
  }

  /** Returns a copy that marks the endpoint as leaving. */
  public EndpointSignal asLeaving() {
    return new EndpointSignal(limit, backoff, true);
  }
}
