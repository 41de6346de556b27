package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one incarnation of an endpoint; a restart of its process begins another incarnation.
 *
 * @param box name of the box in the platform's list
 * @param incarnation id that the endpoint gives to this incarnation
 */
public record EndpointId(String box, String incarnation) {
  /** Checks that both components are given. */
  public EndpointId {
    checkArgument(!box.isEmpty(), "an endpoint's box must be named");
    checkArgument(!incarnation.isEmpty(), "the incarnation of endpoint %s must be given", box);
  }

  @Override
  public String toString() {
    return box + "/" + incarnation;
  }
}
