package org.vaneworks.coordination.fleet;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.HostPort;

/** Opens connections in order to find out whether this node can reach an address. */
@FunctionalInterface
public interface ConnectionProbe {
  /**
   * Opens a new connection, and closes it without sending anything.
   *
   * @return a future that completes on the node's event loop once the connection is established,
   *     and fails if it is refused or not established within the timeout
   */
  CompletableFuture<?> connect(HostPort address, Duration timeout);
}
