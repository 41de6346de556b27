package org.vaneworks.transport.entry;

import java.util.HashSet;
import java.util.Set;

/** The open connections of callers. Confined to the node's event loop. */
public final class CallerConnections {
  private final Set<CallerConnection> open = new HashSet<>();

  private CallerConnections() {}

  /** Returns no connections. */
  public static CallerConnections create() {
    return new CallerConnections();
  }

  void opened(CallerConnection connection) {
    open.add(connection);
  }

  void closed(CallerConnection connection) {
    open.remove(connection);
  }

  /**
   * Returns how many have a request or an answer under way, answers included whose last bytes are
   * held for a caller that reads slowly.
   */
  public int activeCount() {
    return (int) open.stream().filter(CallerConnection::isAnswering).count();
  }
}
