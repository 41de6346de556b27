package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is remembered of endpoints beyond the list: the newest run of each, and which went lately.
 *
 * <p>News of a former run may come late, and a store that comes back from an older copy names
 * endpoints that have gone since. Confined to the node's event loop.
 */
final class FormerEndpoints {
  /** Four times the endpoints of the largest fleet that is planned for; some 1 MB. */
  private static final int MOST_KNOWN = 10_000;

  /** A store comes back from a copy that is some seconds old; generous. */
  private static final Duration OLDEST_COPY = Duration.ofMinutes(2);

  private final Executor clock;
  private final Map<String, Incarnation> newestRuns = new LinkedHashMap<>();
  private final Map<String, Long> goneAt = new LinkedHashMap<>();

  /** Went before the newest copy of the store was read, and have not been listed since. */
  private final Set<String> goneBeforeCopy = new HashSet<>();

  /** What the copy says of some of them. */
  private final Map<String, FleetEndpoint> namedByCopy = new LinkedHashMap<>();

  FormerEndpoints(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Returns the newest run that was told under an id, also of an endpoint that is gone. */
  Incarnation newestRun(String id) {
    return newestRuns.getOrDefault(id, Incarnation.UNTOLD);
  }

  /** Notes a run, if it is told. */
  void noteRun(String id, Incarnation run) {
    if (run.isTold()) {
      newestRuns.put(id, run);
      forgetOldest(newestRuns);
    }
  }

  /** Notes that an endpoint went. */
  void noteGone(String id) {
    goneAt.put(id, clock.currentTime(NANOSECONDS));
    forgetOldest(goneAt);
  }

  /** Notes that an endpoint has listed itself. */
  void noteListed(String id) {
    goneAt.remove(id);
    noteUnlisted(id);
  }

  /** Notes that an endpoint's entry went. */
  void noteUnlisted(String id) {
    goneBeforeCopy.remove(id);
    namedByCopy.remove(id);
  }

  /** Takes note that the store has come back from an older copy. */
  void noteNewEra() {
    long oldest = clock.currentTime(NANOSECONDS) - OLDEST_COPY.toNanos();
    goneAt.values().removeIf(at -> at < oldest);
    goneBeforeCopy.addAll(goneAt.keySet());
    namedByCopy.clear();
  }

  /** Returns whether an endpoint that the copy names had gone before. */
  boolean wentBeforeCopy(String id) {
    return goneBeforeCopy.contains(id);
  }

  /** Keeps what the copy says of an endpoint that had gone. */
  void keep(FleetEndpoint namedByCopyOnly) {
    namedByCopy.put(namedByCopyOnly.id(), namedByCopyOnly);
  }

  /** Returns the endpoints that had gone and whose entry of the copy still stands. */
  ImmutableList<FleetEndpoint> stillNamed() {
    return ImmutableList.copyOf(namedByCopy.values());
  }

  private static void forgetOldest(Map<String, ?> byId) {
    if (byId.size() > MOST_KNOWN) {
      byId.remove(byId.keySet().iterator().next());
    }
  }
}
