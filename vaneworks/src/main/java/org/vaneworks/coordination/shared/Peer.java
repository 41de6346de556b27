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

  // Written out: generated ones are linked by method handles, whose classes each start makes anew.

  @Override
  public boolean equals(Object other) {
    return other instanceof Peer that
        && address.equals(that.address)
        && box.equals(that.box)
        && dataCentre.equals(that.dataCentre);
  }

  @Override
  public int hashCode() {
    return 31 * box.hashCode() + address.hashCode();
  }
}
