package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * What a node is told of itself.
 *
 * @param name the box's name
 * @param incarnation names this run of the node
 * @param ticketSecret signs this run's tickets
 * @param peerAddress where peers reach it
 * @param dataCentre where its box stands
 * @param limits bounds on what the node does
 */
public record NodeSettings(
    String name,
    String incarnation,
    String ticketSecret,
    HostPort peerAddress,
    String dataCentre,
    NodeLimits limits) {
  /** Checks that every part is given. */
  public NodeSettings {
    checkArgument(!name.isEmpty(), "the node must be named");
    checkArgument(!incarnation.isEmpty(), "the incarnation must be given");
    checkArgument(!ticketSecret.isEmpty(), "the ticket secret must be given");
    checkNotNull(peerAddress);
    checkNotNull(dataCentre);
    checkNotNull(limits);
  }

  /** Returns the name that is unique among all runs of all nodes. */
  public String identity() {
    return name + "~" + incarnation;
  }

  @Override
  public String toString() {
    return "NodeSettings[" + identity() + "]";
  }
}
