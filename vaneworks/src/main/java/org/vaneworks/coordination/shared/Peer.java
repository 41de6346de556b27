package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * Another live node that listens for its peers.
 *
 * @param box its box
 * @param dataCentre where the box stands; empty if it did not tell
 * @param address where it listens
 */
public record Peer(String box, String dataCentre, HostPort address) {
  /** Checks that all parts are given. */
  public Peer {
    checkNotNull(box);
    checkNotNull(dataCentre);
    checkNotNull(address);
  }
}
