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
 * Remembers the newest incarnation of each endpoint and the endpoints that were removed recently.
 *
 * <p>Information about a former incarnation may arrive late, and a store that is restored from a
 * backup may list endpoints that have been removed since. Confined to the node's event loop.
 */
final class EndpointHistory {
  /** Four times the endpoints of the largest planned fleet; takes about 1 MB. */
  private static final int MAX_ENTRIES = 10_000;

  /**
   * Upper bound on the age of the backup that a store is restored from; backups are usually some
   * seconds old.
   */
  private static final Duration MAX_BACKUP_AGE = Duration.ofMinutes(2);

  private final Executor clock;
  private final Map<String, Incarnation> newestIncarnations = new LinkedHashMap<>();
  private final Map<String, Long> removedAt = new LinkedHashMap<>();

  /**
   * Endpoints that were removed before the newest backup of the store was read and have not been
   * listed since.
   */
  private final Set<String> removedBeforeRestore = new HashSet<>();

  /** The backup's entries of endpoints in {@link #removedBeforeRestore}. */
  private final Map<String, FleetEndpoint> backupEntries = new LinkedHashMap<>();

  EndpointHistory(Executor clock) {
    this.clock = checkNotNull(clock);
  }

  /** Returns the newest known incarnation of an ID, even if the endpoint has been removed. */
  Incarnation newestIncarnation(String id) {
    return newestIncarnations.getOrDefault(id, Incarnation.UNKNOWN);
  }

  /** Records the newest incarnation of an ID, if its start time is known. */
  void recordIncarnation(String id, Incarnation incarnation) {
    if (incarnation.isKnown()) {
      newestIncarnations.put(id, incarnation);
      evictOldest(newestIncarnations);
    }
  }

  /** Records that an endpoint was removed. */
  void recordRemoval(String id) {
    removedAt.put(id, clock.currentTime(NANOSECONDS));
    evictOldest(removedAt);
  }

  /** Records that an endpoint listed itself. */
  void recordListed(String id) {
    removedAt.remove(id);
    recordUnlisted(id);
  }

  /** Records that an endpoint's entry was removed. */
  void recordUnlisted(String id) {
    removedBeforeRestore.remove(id);
    backupEntries.remove(id);
  }

  /** Records that the store was restored from a backup. */
  void recordNewEra() {
    long oldest = clock.currentTime(NANOSECONDS) - MAX_BACKUP_AGE.toNanos();
    removedAt.values().removeIf(at -> at < oldest);
    removedBeforeRestore.addAll(removedAt.keySet());
    backupEntries.clear();
  }

  /** Returns whether an endpoint had been removed before the store was restored. */
  boolean wasRemovedBeforeRestore(String id) {
    return removedBeforeRestore.contains(id);
  }

  /** Keeps the backup's entry of an endpoint that had been removed. */
  void retain(FleetEndpoint entry) {
    backupEntries.put(entry.id(), entry);
  }

  /** Returns the backup's entries of removed endpoints that have not been removed again since. */
  ImmutableList<FleetEndpoint> entriesInBackupOnly() {
    return ImmutableList.copyOf(backupEntries.values());
  }

  private static void evictOldest(Map<String, ?> byId) {
    if (byId.size() > MAX_ENTRIES) {
      byId.remove(byId.keySet().iterator().next());
    }
  }
}
