package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.List;

/**
 * The calls that arrived at one engine, checked against the backoffs that it requested of nodes.
 *
 * <p>The guarantee: from {@link #NODE_REACTION_MILLIS} after the engine requested a backoff of a
 * node until the end of the backoff, it gets at most {@link #MAX_CALLS} calls of that node. A node
 * that restarts meanwhile is exempt.
 */
final class EngineBackoffs {
  private static final int NODE_REACTION_MILLIS = 500;
  private static final int MAX_CALLS = 2;

  /** A backoff that the engine requested of a node, and the calls that it got during it. */
  private static final class NodeBackoff {
    private final int node;
    private final long fromMillis;
    private final long toMillis;
    private int calls;
    private boolean exempt;

    NodeBackoff(int node, long fromMillis, long toMillis) {
      this.node = node;
      this.fromMillis = fromMillis;
      this.toMillis = toMillis;
    }

    void recordCall(int caller, long atMillis) {
      if (caller == node && atMillis > fromMillis && atMillis < toMillis) {
        calls++;
      }
    }

    int excess() {
      return exempt ? 0 : Math.max(0, calls - MAX_CALLS);
    }
  }

  private final List<NodeBackoff> backoffs = new ArrayList<>();
  private int calls;

  /** Records that the engine rejected a call of a node with a backoff. */
  void recordBackoff(int node, long atMillis, int lengthMillis) {
    backoffs.add(new NodeBackoff(node, atMillis + NODE_REACTION_MILLIS, atMillis + lengthMillis));
  }

  /** Records a request, a status call or an order of a node. */
  void recordCall(int node, long atMillis) {
    calls++;
    backoffs.forEach(backoff -> backoff.recordCall(node, atMillis));
  }

  /** Records a restart of a node, which no longer knows of backoffs requested before. */
  void recordRestart(int node, long atMillis) {
    backoffs.stream()
        .filter(backoff -> backoff.node == node && atMillis < backoff.toMillis)
        .forEach(backoff -> backoff.exempt = true);
  }

  /** Returns how many backoffs the engine has requested. */
  int requestedCount() {
    return backoffs.size();
  }

  /** Returns the number of calls that arrived at the engine. */
  int calls() {
    return calls;
  }

  /** Returns by how much the guarantee was exceeded in the worst backoff; 0 if never. */
  int excess() {
    return backoffs.stream().mapToInt(NodeBackoff::excess).max().orElse(0);
  }
}
