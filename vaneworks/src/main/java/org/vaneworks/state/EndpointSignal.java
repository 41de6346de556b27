package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an endpoint says of itself on one answer, decoded from the wire.
 *
 * @param limit how many requests a second it takes from all nodes together
 * @param backoff how long it wants no calls from the node that it answers
 * @param leaving whether it will end soon
 */
public record EndpointSignal(AdvertisedRateLimit limit, RequestedBackoff backoff, boolean leaving) {
  /** Says nothing. */
  public static final EndpointSignal NONE =
      new EndpointSignal(AdvertisedRateLimit.none(), RequestedBackoff.none(), false);

  /** Checks that every part is given. */
  public EndpointSignal {
    checkNotNull(limit);
    checkNotNull(backoff);
  }

  /** Returns this statement with another limit. */
  public EndpointSignal withLimit(AdvertisedRateLimit stated) {
    return new EndpointSignal(stated, backoff, leaving);
  }

  /** Returns this statement with another backoff. */
  public EndpointSignal withBackoff(RequestedBackoff stated) {
    return new EndpointSignal(limit, stated, leaving);
  }

  /** Returns this statement of an endpoint that will end soon. */
  public EndpointSignal asLeaving() {
    return new EndpointSignal(limit, backoff, true);
  }
}
