package org.vaneworks.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.vaneworks.state.AdvertisedRateLimit;

/**
 * The requests that arrived at one engine, checked against the rate limit that it advertises.
 *
 * <p>The guarantee: from {@link #PROPAGATION_MILLIS} after the engine first advertised a limit, it
 * gets in any four seconds at most one and a half times what the limit allows, plus five requests.
 * Only requests of nodes count that passed on an answer with a limit at least half a second before.
 */
final class EngineArrivals {
  private static final int PROPAGATION_MILLIS = 3000;
  private static final int WINDOW_MILLIS = 4000;
  private static final int NODE_REACTION_MILLIS = 500;
  private static final double MAX_LIMIT_FACTOR = 1.5;
  private static final int EXTRA_REQUESTS = 5;
  private static final int STEP_MILLIS = 100;

  private record Arrival(long atMillis, boolean senderKnewLimit) {}

  /** A limit that the engine advertises from some time on. */
  private record AdvertisedLimit(long fromMillis, AdvertisedRateLimit limit) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<AdvertisedLimit> advertised =
      new ArrayList<>(List.of(new AdvertisedLimit(0, AdvertisedRateLimit.none())));
  private final Map<Integer, Long> informedAt = new HashMap<>();

  AdvertisedRateLimit limit() {
    return advertised.get(advertised.size() - 1).limit();
  }

  /** Sets the limit that the engine advertises from a time on. */
  void advertise(AdvertisedRateLimit next, long atMillis) {
    if (!next.isLimited()) {
      informedAt.clear();
    }
    advertised.add(new AdvertisedLimit(atMillis, next));
  }

  /** Records a request from a node. */
  void recordArrival(int node, long atMillis) {
    Long informed = informedAt.get(node);
    arrivals.add(
        new Arrival(atMillis, informed != null && informed + NODE_REACTION_MILLIS <= atMillis));
  }

  /** Records that a node passed on an answer of the engine. */
  void recordAnswer(int node, long atMillis) {
    if (limit().isLimited()) {
      informedAt.putIfAbsent(node, atMillis);
    }
  }

  /** Records a restart of a node, which is exempt until it gets an answer with a limit again. */
  void recordRestart(int node) {
    informedAt.remove(node);
  }

  /** Returns the number of requests that arrived between two times, the second one exclusive. */
  long between(long fromMillis, long toMillis) {
    return arrivals.stream()
        .filter(arrival -> arrival.atMillis() >= fromMillis && arrival.atMillis() < toMillis)
        .count();
  }

  /** Returns by how much the guarantee was exceeded in the worst window up to now; 0 if never. */
  long excess(long nowMillis) {
    long worst = 0;
    for (long end = 0; end <= nowMillis; end += STEP_MILLIS) {
      if (hasPropagated(end)) {
        worst = Math.max(worst, countInWindow(end) - allowedInWindow(end));
      }
    }
    return worst;
  }

  /** Returns whether some limit was advertised for the whole propagation time before a time. */
  private boolean hasPropagated(long end) {
    return inForce(end - PROPAGATION_MILLIS, end).stream()
        .allMatch(entry -> entry.limit().isLimited());
  }

  /** Returns the limits that were advertised at any time after the first and up to the second. */
  private List<AdvertisedLimit> inForce(long from, long to) {
    List<AdvertisedLimit> found = new ArrayList<>();
    for (int i = 0; i < advertised.size(); i++) {
      boolean started = advertised.get(i).fromMillis() <= to;
      boolean superseded = i + 1 < advertised.size() && advertised.get(i + 1).fromMillis() <= from;
      if (started && !superseded) {
        found.add(advertised.get(i));
      }
    }
    return found;
  }

  private long countInWindow(long end) {
    return arrivals.stream()
        .filter(arrival -> arrival.atMillis() > end - WINDOW_MILLIS && arrival.atMillis() <= end)
        .filter(Arrival::senderKnewLimit)
        .count();
  }

  /**
   * Returns the allowance by the largest limit that nodes may use; a change takes time to spread.
   */
  private long allowedInWindow(long end) {
    double perSecond =
        inForce(end - WINDOW_MILLIS - PROPAGATION_MILLIS, end).stream()
            .filter(entry -> entry.limit().isLimited())
            .mapToDouble(entry -> entry.limit().perSecond())
            .max()
            .orElse(0);
    return (long) (MAX_LIMIT_FACTOR * perSecond * WINDOW_MILLIS / 1000) + EXTRA_REQUESTS;
  }
}
