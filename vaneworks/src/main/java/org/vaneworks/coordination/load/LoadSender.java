package org.vaneworks.coordination.load;

import org.vaneworks.state.HostPort;

/** Sends a report to a peer; it may be lost on the way, a newer one follows. */
@FunctionalInterface
public interface LoadSender {
  /** Sends without waiting; returns how many bytes the report takes. */
  int send(HostPort peer, LoadReport report);

  /** Hands over the reports that have come since; one that hands over each at once does nothing. */
  default void collect() {}
}
