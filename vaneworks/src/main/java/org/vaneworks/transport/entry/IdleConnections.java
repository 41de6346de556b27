package org.vaneworks.transport.entry;

/**
 * Counts the idle connections to one endpoint.
 *
 * <p>Confined to the node's event loop.
 */
final class IdleConnections {
  private int count;

  IdleConnections() {}

  void add() {
    count++;
  }

  void remove() {
    count--;
  }

  /** Returns whether any connection is idle. */
  boolean exist() {
    return count > 0;
  }
}
