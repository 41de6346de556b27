package org.vaneworks.coordination.load;

import org.vaneworks.state.HostPort;

/**
 * Sends load reports to peers, and delivers received ones. Reports may be lost, as newer ones
 * follow.
 */
@FunctionalInterface
public interface LoadSender {
  /** Sends a report without waiting and returns its size in bytes. */
  int send(HostPort peer, LoadReport report);

  /**
   * Delivers the reports received since the last call. Implementations that deliver each report
   * immediately need not override this.
   */
  default void collect() {}
}
