package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one incarnation of an endpoint; a restart of its process begins another incarnation.
 *
 * @param box name of the box in the platform's list
 * @param incarnation id that the endpoint gives to this incarnation
 */
public record EndpointId(String box, String incarnation) {
  /** Checks that neither component is empty. */
  public EndpointId {
    checkArgument(!box.isEmpty(), "an endpoint's box must not be empty");
    checkArgument(!incarnation.isEmpty(), "the incarnation of endpoint %s must not be empty", box);
  }

  @Override
  public String toString() {
    return box + "/" + incarnation;
  }
}
