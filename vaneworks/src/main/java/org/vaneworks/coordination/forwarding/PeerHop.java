package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * What a node tells the peer that it forwards a caller's request to.
 *
 * <p>The peer runs the request at most once; whether it runs again is decided by the sender.
 *
 * @param token proves to the peer that the sender reads the same store
 * @param service the service that the sender selected among those of the route
 * @param continues whether the caller has already received a part of the response
 * @param waited how long the caller has waited when the hop is sent: since its last part of the
 *     response if {@code continues}, else since its request; zero if the sender does not tell
 */
public record PeerHop(String token, String service, boolean continues, Duration waited) {
  /** Checks that no component is null, and that the wait is not negative. */
  public PeerHop {
    checkNotNull(token);
    checkNotNull(service);
    checkArgument(!waited.isNegative(), "waited %s", waited);
  }
}
