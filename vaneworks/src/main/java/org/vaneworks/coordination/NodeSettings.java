package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * The settings of a node.
 *
 * @param name name of the box that the node runs on
 * @param incarnation identifier of this run of the node
 * @param ticketSecret key that signs the tickets of this run
 * @param peerAddress address at which peers reach the node
 * @param dataCentre data centre of the box
 * @param limits limits that the node operates under
 */
public record NodeSettings(
    String name,
    String incarnation,
    String ticketSecret,
    HostPort peerAddress,
    String dataCentre,
    NodeLimits limits) {
  /** Checks that the components are given. */
  public NodeSettings {
    checkArgument(!name.isEmpty(), "name must not be empty");
    checkArgument(!incarnation.isEmpty(), "incarnation must not be empty");
    checkArgument(!ticketSecret.isEmpty(), "ticketSecret must not be empty");
    checkNotNull(peerAddress);
    checkNotNull(dataCentre);
    checkNotNull(limits);
  }

  /** Returns an identifier that is unique among all runs of all nodes. */
  public String identity() {
    return name + "~" + incarnation;
  }

  @Override
  public String toString() {
    return "NodeSettings[" + identity() + "]";
  }
}
