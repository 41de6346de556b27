package org.vaneworks.state;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One run of an endpoint's process: a restarted endpoint has another incarnation.
 *
 * @param box the box's name in the platform's list
 * @param incarnation what the endpoint calls this run of itself
 */
public record EndpointId(String box, String incarnation) {
  /** Checks that both parts are given. */
  public EndpointId {
    checkArgument(!box.isEmpty(), "an endpoint's box must be named");
    checkArgument(!incarnation.isEmpty(), "the incarnation of endpoint %s must be given", box);
  }

  @Override
  public String toString() {
    return box + "/" + incarnation;
  }
}
