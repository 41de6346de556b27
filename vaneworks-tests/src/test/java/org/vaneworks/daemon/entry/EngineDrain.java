package org.vaneworks.daemon.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts requests that arrived at a leaving engine from nodes that knew that it leaves.
 *
 * <p>A node that restarts does not know until it gets an answer that says so again.
 */
final class EngineDrain {
  /** Requests that were sent before the node knew arrive within this time. */
  private static final int NETWORK_DELAY_MILLIS = 5;

  private final Map<Integer, Long> informedAt = new HashMap<>();
  private boolean leaving;
  private int lateArrivals;

  /** Makes the engine announce in its answers that it leaves. */
  void announceLeaving() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Records that a node passed on an answer that announced it. */
  void recordAnswer(int node, long atMillis) {
    informedAt.putIfAbsent(node, atMillis);
  }

  /** Records a request from a node. */
  void recordArrival(int node, long atMillis) {
    Long informed = informedAt.get(node);
    if (informed != null && atMillis > informed + NETWORK_DELAY_MILLIS) {
      lateArrivals++;
    }
  }

  void recordRestart(int node) {
    informedAt.remove(node);
  }

  /** Returns the number of requests from nodes that knew that the engine leaves. */
  int lateArrivals() {
    return lateArrivals;
  }
}
