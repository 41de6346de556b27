package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.List;

/**
 * The calls that reached one engine, and which nodes it asked for none.
 *
 * <p>What the engine is promised: at most {@link #MOST_CALLS} calls of a node from {@link
 * #LEARNT_AFTER_MILLIS} after it asked that node until the end of the time that it asked for. A
 * node that starts again meanwhile is excused.
 */
final class EngineBackoffs {
  private static final int LEARNT_AFTER_MILLIS = 500;
  private static final int MOST_CALLS = 2;

  /** A time that the engine asked a node for, and the calls that it got in it all the same. */
  private static final class Asked {
    private final int node;
    private final long fromMillis;
    private final long toMillis;
    private int calls;
    private boolean excused;

    Asked(int node, long fromMillis, long toMillis) {
      this.node = node;
      this.fromMillis = fromMillis;
      this.toMillis = toMillis;
    }

    void called(int caller, long atMillis) {
      if (caller == node && atMillis > fromMillis && atMillis < toMillis) {
        calls++;
      }
    }

    int excess() {
      return excused ? 0 : Math.max(0, calls - MOST_CALLS);
    }
  }

  private final List<Asked> all = new ArrayList<>();
  private int calls;

  /** Notes that the engine turned a call of a node away and asked for no more. */
  void asked(int node, long atMillis, int lengthMillis) {
    all.add(new Asked(node, atMillis + LEARNT_AFTER_MILLIS, atMillis + lengthMillis));
  }

  /** Notes a request, a question or an order of a node. */
  void called(int node, long atMillis) {
    calls++;
    all.forEach(asked -> asked.called(node, atMillis));
  }

  /** Notes that a node started again: it knows nothing of what it was asked. */
  void nodeStarted(int node, long atMillis) {
    all.stream()
        .filter(asked -> asked.node == node && atMillis < asked.toMillis)
        .forEach(asked -> asked.excused = true);
  }

  /** Returns how often the engine asked for a time without calls. */
  int timesAsked() {
    return all.size();
  }

  /** Returns the calls that reached the engine. */
  int calls() {
    return calls;
  }

  /** Returns how many calls were too many in the worst of these times; 0 if none. */
  int excess() {
    return all.stream().mapToInt(Asked::excess).max().orElse(0);
  }
}
