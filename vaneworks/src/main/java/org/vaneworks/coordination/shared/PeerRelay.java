package org.vaneworks.coordination.shared;

import static com.google.common.base.Preconditions.checkNotNull;

import org.vaneworks.state.HostPort;

/**
 * Where a node accepts requests that its peers forward.
 *
 * @param address address on which it listens for them
 * @param token random text that shows that a sender reads the nodes' entries in the store; a later
 *     process of the node, or another one at the same address, has another token
 */
public record PeerRelay(HostPort address, String token) {
  /** Checks that no component is null. */
  public PeerRelay {
    checkNotNull(address);
    checkNotNull(token);
  }

  // Written out for the same reason as in Peer.

  @Override
  public boolean equals(Object other) {
    return other instanceof PeerRelay that
        && address.equals(that.address)
        && token.equals(that.token);
  }

  @Override
  public int hashCode() {
    return token.hashCode();
  }

  /** Returns the address only, as the token must not be logged. */
  @Override
  public String toString() {
    return address.toString();
  }
}
