package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.vaneworks.state.HostPort;

/**
 * Another live node that accepts connections from its peers.
 *
 * @param box name of the box that it runs on
 * @param dataCentre data centre of the box; empty if the node did not publish it
 * @param address address on which it receives load reports
 * @param relay where it accepts requests that peers forward, if it does
 */
public record Peer(String box, String dataCentre, HostPort address, Optional<PeerRelay> relay) {
  /** Checks that no component is null. */
  public Peer {
    checkNotNull(box);
    checkNotNull(dataCentre);
    checkNotNull(address);
    checkNotNull(relay);
  }

  /** Creates a peer that accepts no forwarded requests. */
  public Peer(String box, String dataCentre, HostPort address) {
    this(box, dataCentre, address, Optional.empty());
  }

  // Written out: the generated methods of a record are linked through method handles, whose classes
  // the JVM has to generate at each start.

  @Override
  public boolean equals(Object other) {
    return other instanceof Peer that
        && address.equals(that.address)
        && box.equals(that.box)
        && dataCentre.equals(that.dataCentre)
        && relay.equals(that.relay);
  }

  @Override
  public int hashCode() {
    return 31 * box.hashCode() + address.hashCode();
  }
}
