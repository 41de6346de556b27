package org.vaneworks.daemon.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that reached one engine from nodes that it had told that it leaves.
 *
 * <p>A node that starts again knows nothing of that until it is told once more.
 */
final class EngineDrain {
  /** What a node sent before it was told is there by then. */
  private static final int ON_THE_WAY_MILLIS = 5;

  private final Map<Integer, Long> toldAt = new HashMap<>();
  private boolean leaving;
  private int late;

  /** The engine says from now on that it leaves. */
  void leaves() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Notes that a node passed an answer on that said so. */
  void answered(int node, long atMillis) {
    toldAt.putIfAbsent(node, atMillis);
  }

  /** Notes that a request came from a node. */
  void arrived(int node, long atMillis) {
    Long told = toldAt.get(node);
    if (told != null && atMillis > told + ON_THE_WAY_MILLIS) {
      late++;
    }
  }

  void nodeStarted(int node) {
    toldAt.remove(node);
  }

  /** Returns the requests from nodes that had been told. */
  int late() {
    return late;
  }
}
