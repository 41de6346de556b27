package org.vaneworks.coordination.membership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.HostPort;

/**
 * A client that sends requests to peers.
 *
 * <p>A failed future carries a {@link PeerException}.
 */
@FunctionalInterface
public interface PeerLink {
  /**
   * Sends a request at most once.
   *
   * @param limit timeout of the request
   * @return the reply
   */
  CompletableFuture<PeerMessage> ask(HostPort peer, PeerMessage request, Duration limit);
}
