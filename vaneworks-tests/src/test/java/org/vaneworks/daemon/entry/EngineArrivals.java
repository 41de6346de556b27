package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vaneworks.state.AdvertisedRateLimit;

/**
 * The requests that reached one engine, and which nodes were told how many it takes.
 *
 * <p>What the engine is promised: from {@link #LEARNT_AFTER_MILLIS} after it first named its limit
 * on, at most one and a half times what that allows in any four seconds, and five requests more,
 * from nodes that have passed on an answer with its limit half a second before or earlier.
 */
final class EngineArrivals {
  private static final int LEARNT_AFTER_MILLIS = 3000;
  private static final int WINDOW_MILLIS = 4000;
  private static final int TOLD_BEFORE_MILLIS = 500;
  private static final double MOST_TIMES_LIMIT = 1.5;
  private static final int SLACK = 5;
  private static final int STEP_MILLIS = 100;

  private record Arrival(long atMillis, boolean fromNodeThatWasTold) {}

  /** What the engine says from some time on. */
  private record Statement(long fromMillis, AdvertisedRateLimit limit) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Statement> statements =
      new ArrayList<>(List.of(new Statement(0, AdvertisedRateLimit.none())));
  private final Map<Integer, Long> toldAt = new HashMap<>();

  AdvertisedRateLimit limit() {
    return statements.get(statements.size() - 1).limit();
  }

  /** Names a limit from now on, or none any more. */
  void limit(AdvertisedRateLimit stated, long atMillis) {
    if (!stated.isLimited()) {
      toldAt.clear();
    }
    statements.add(new Statement(atMillis, stated));
  }

  /** Notes that a request came from a node. */
  void arrived(int node, long atMillis) {
    Long told = toldAt.get(node);
    arrivals.add(new Arrival(atMillis, told != null && told + TOLD_BEFORE_MILLIS <= atMillis));
  }

  /** Notes that a node passed an answer on. */
  void answered(int node, long atMillis) {
    if (limit().isLimited()) {
      toldAt.putIfAbsent(node, atMillis);
    }
  }

  /** Notes that a node started again: it knows nothing, and is excused until it is told. */
  void nodeStarted(int node) {
    toldAt.remove(node);
  }

  /** Returns the requests that came from that time on, before another. */
  long between(long fromMillis, long toMillis) {
    return arrivals.stream()
        .filter(arrival -> arrival.atMillis() >= fromMillis && arrival.atMillis() < toMillis)
        .count();
  }

  /** Returns how many requests were too many in the worst four seconds up to now; 0 if none. */
  long excess(long nowMillis) {
    long worst = 0;
    for (long end = 0; end <= nowMillis; end += STEP_MILLIS) {
      if (isLearnt(end)) {
        worst = Math.max(worst, counted(end) - allowed(end));
      }
    }
    return worst;
  }

  /** Returns whether a limit was in force all the time in which nodes could learn of it. */
  private boolean isLearnt(long end) {
    return inForce(end - LEARNT_AFTER_MILLIS, end).stream()
        .allMatch(stated -> stated.limit().isLimited());
  }

  /** Returns the statements that counted at any moment after the first time, up to the second. */
  private List<Statement> inForce(long from, long to) {
    List<Statement> found = new ArrayList<>();
    for (int i = 0; i < statements.size(); i++) {
      boolean begun = statements.get(i).fromMillis() <= to;
      boolean over = i + 1 < statements.size() && statements.get(i + 1).fromMillis() <= from;
      if (begun && !over) {
        found.add(statements.get(i));
      }
    }
    return found;
  }

  private long counted(long end) {
    return arrivals.stream()
        .filter(arrival -> arrival.atMillis() > end - WINDOW_MILLIS && arrival.atMillis() <= end)
        .filter(Arrival::fromNodeThatWasTold)
        .count();
  }

  /** By the largest limit of those that nodes may still have: a new one takes as long to learn. */
  private long allowed(long end) {
    double perSecond =
        inForce(end - WINDOW_MILLIS - LEARNT_AFTER_MILLIS, end).stream()
            .filter(stated -> stated.limit().isLimited())
            .mapToDouble(stated -> stated.limit().perSecond())
            .max()
            .orElse(0);
    return (long) (MOST_TIMES_LIMIT * perSecond * WINDOW_MILLIS / 1000) + SLACK;
  }
}
