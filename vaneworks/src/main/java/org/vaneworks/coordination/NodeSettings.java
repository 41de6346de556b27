package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * What a node is told of itself.
 *
 * @param name the box's name
 * @param incarnation names this run of the node
 * @param peerAddress where peers reach it
 * @param dataCentre where its box stands
 * @param routing how routes are chosen and requests admitted
 * @param endpointLimits bounds on the use of one endpoint
 * @param pipelineLimits bounds on one stream
 * @param stopTimes how long the parts of a planned stop take
 */
public record NodeSettings(
    String name,
    String incarnation,
    HostPort peerAddress,
    String dataCentre,
    RoutingSettings routing,
    EndpointLimits endpointLimits,
    PipelineLimits pipelineLimits,
    StopTimes stopTimes) {
  /** Checks that every part is given. */
  public NodeSettings {
    checkArgument(!name.isEmpty(), "the node must be named");
    checkArgument(!incarnation.isEmpty(), "the incarnation must be given");
    checkNotNull(peerAddress);
    checkNotNull(routing);
    checkNotNull(endpointLimits);
    checkNotNull(pipelineLimits);
    checkNotNull(stopTimes);
  }

  /** Returns the name that is unique among all runs of all nodes. */
  public String identity() {
    return name + "~" + incarnation;
  }
}
