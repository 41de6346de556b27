package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an endpoint says of itself on one answer, decoded from the wire.
 *
 * @param limit how many requests a second it takes from all nodes together
 * @param backoff how long it wants no calls from the node that it answers
 * @param leaving whether it will end soon
 */
public record EndpointStatement(StatedLimit limit, StatedBackoff backoff, boolean leaving) {
  /** Says nothing. */
  public static final EndpointStatement NONE =
      new EndpointStatement(StatedLimit.none(), StatedBackoff.none(), false);

  /** Checks that every part is given. */
  public EndpointStatement {
    checkNotNull(limit);
    checkNotNull(backoff);
  }

  /** Returns this statement with another limit. */
  public EndpointStatement withLimit(StatedLimit stated) {
    return new EndpointStatement(stated, backoff, leaving);
  }

  /** Returns this statement with another backoff. */
  public EndpointStatement withBackoff(StatedBackoff stated) {
    return new EndpointStatement(limit, stated, leaving);
  }

  /** Returns this statement of an endpoint that will end soon. */
  public EndpointStatement thatLeaves() {
    return new EndpointStatement(limit, backoff, true);
  }
}
