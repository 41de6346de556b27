package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a node tells the peer that it forwards a caller's request to.
 *
 * <p>The peer runs the request at most once; whether it runs again is decided by the sender.
 *
 * @param token proves to the peer that the sender reads the same store
 * @param service the service that the sender selected among those of the route
 * @param continues whether the caller has already received a part of the response
 */
public record PeerHop(String token, String service, boolean continues) {
  /** Checks that no component is null. */
  public PeerHop {
    checkNotNull(token);
    checkNotNull(service);
  }
}
