package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.SharedStoreException;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreOutage;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.PromptPart;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Shares crashes and quarantines between all nodes through the shared store.
 *
 * <p>A request that crashes endpoints may be retried at any node, including one that has just
 * started. Each node therefore writes the crashes that it detected, and every node counts the
 * crashes of all nodes. A quarantine is written once, under a lease that limits its duration; a
 * node that has seen requests with a quarantined part run objects, which ends the quarantine. Only
 * requests that had just begun at a crashed endpoint are written, with one call per node and crash;
 * without crashes nothing is written.
 *
 * <p>What was read together is evaluated together. Crashes that a node finds in the store when it
 * starts were judged by the nodes that saw them; it adopts their quarantines and decides only once
 * another endpoint crashes. So that nodes which start know what speaks for a request, each node
 * tells, with the crashes that it writes, with which parts of these prompts its requests have run.
 * Confined to the node's event loop.
 */
public final class SharedQuarantine implements PrefixFollower.Listener {
  private static final String CRASHES_PREFIX = "ends/";
  private static final String QUARANTINED_PREFIX = "held/";

  /** Keys under which nodes tell of requests that ran with a part that is or may be suspected. */
  private static final String SURVIVALS_PREFIX = "sound/";

  /**
   * Delay before crashes are written, so that the requests lost with one endpoint are written
   * together.
   */
  private static final Duration BATCH_DELAY = Duration.ofMillis(20);

  /**
   * Delay before a failed write is retried; a node that is connected to the store has to learn of a
   * crash within three seconds.
   */
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /**
   * Lifetime of crashes in the store. Nodes that watch the store learn of a crash within a second
   * or two; a node that starts reads older ones.
   */
  private static final Duration CRASH_LIFETIME = Duration.ofMinutes(4);

  /**
   * Time after which other nodes write a quarantine that the node which detected the last crash has
   * not written.
   */
  private static final Duration WRITE_DELAY_OF_OTHERS = Duration.ofSeconds(2);

  /**
   * Maximum delay before a node objects to a quarantine, so that the first objection makes those of
   * other nodes needless.
   */
  private static final Duration MAX_OBJECTION_DELAY = Duration.ofMillis(300);

  /**
   * Time after a store outage during which removed keys are not taken as released quarantines,
   * because leases may expire in an outage.
   */
  private static final Duration OUTAGE_GRACE_PERIOD = Duration.ofSeconds(5);

  /**
   * Maximum number of crashes that wait to be written while the store is unavailable, about 60
   * bytes each.
   */
  private static final int MAX_UNWRITTEN = 1000;

  /**
   * Time for which a survival that some node told is not told again with crashes of its part. Nodes
   * remember it for longer.
   */
  private static final Duration SURVIVAL_RENEWAL = CRASH_LIFETIME.dividedBy(2);

  /** Maximum number of survivals in one value, about 90 bytes each. */
  private static final int MAX_SURVIVALS = 100;

  /** Maximum number of crashes in one value; with many parts of prompts a crash takes 5 KB. */
  private static final int MAX_WRITTEN_TOGETHER = 100;

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final String prefix;
  private final String node;
  private final Quarantine quarantine;
  private final CrashDetector crashDetector;
  private final Set<EndpointCrash> unwritten = new LinkedHashSet<>();

  /**
   * The crashes that this node wrote and the time of each write; only this node can write them
   * again.
   */
  private final Map<EndpointCrash, Long> writtenAt = new LinkedHashMap<>();

  private final Set<RequestTrait> quarantinedInStore = new HashSet<>();

  /** The leases of the quarantines that this node wrote. */
  private final Map<RequestTrait, Long> ownLeases = new HashMap<>();

  private final Set<String> appliedKeys = new HashSet<>();

  /** When some node last told that requests with a part ran; the oldest comes first. */
  private final Map<PromptPart, Long> survivalsToldAt = new LinkedHashMap<>();

  /** What was read from the store and is not evaluated yet. */
  private final List<EndpointCrash> readCrashes = new ArrayList<>();

  private final List<Survival> readSurvivals = new ArrayList<>();
  private final Set<RequestTrait> readQuarantines = new LinkedHashSet<>();

  /** Whether all items in the store were read once. */
  private boolean started;

  /** Parts for which an objection is being written. */
  private final Set<PromptPart> objections = new HashSet<>();

  private OptionalLong lease = OptionalLong.empty();
  private long leaseOpenedAt;
  private long storeOutageAt = Long.MIN_VALUE / 2;
  private boolean writing;
  private int writeCount;

  private SharedQuarantine(
      Executor clock,
      Random random,
      SharedStore store,
      String prefix,
      String node,
      Fleet fleet,
      Counters counters) {
    this.clock = checkNotNull(clock);
    this.random = checkNotNull(random);
    this.store = checkNotNull(store);
    this.prefix = checkNotNull(prefix);
    this.node = checkNotNull(node);
    quarantine = Quarantine.create(clock, counters);
    quarantine.onDisproved(this::quarantineDisproved);
    crashDetector = CrashDetector.watch(clock, fleet, this::crashesDetected);
  }

  /**
   * Returns an empty quarantine that writes nothing until an endpoint crashes.
   *
   * @param prefix prefix of its keys in the store
   * @param node unique id of this run of the node
   */
  public static SharedQuarantine create(
      Executor clock,
      Random random,
      SharedStore store,
      String prefix,
      String node,
      Fleet fleet,
      Counters counters) {
    return new SharedQuarantine(clock, random, store, prefix, node, fleet, counters);
  }

  /** Returns the quarantined requests of this node. */
  public Quarantine quarantine() {
    return quarantine;
  }

  /** Returns the detector to notify of requests that lost their endpoint. */
  public CrashDetector crashDetector() {
    return crashDetector;
  }

  private void crashesDetected(ImmutableList<EndpointCrash> crashes) {
    // This node detected the crash that led to the quarantines, so it writes them.
    quarantine.recordCrashes(crashes).forEach(this::writeQuarantine);
    for (EndpointCrash crash : crashes) {
      if (unwritten.size() < MAX_UNWRITTEN && unwritten.add(crash)) {
        scheduleWrite(BATCH_DELAY);
      }
    }
  }

  private void scheduleWrite(Duration delay) {
    if (!writing) {
      writing = true;
      clock.schedule(this::writeCrashes, delay.toNanos(), NANOSECONDS);
    }
  }

  private void writeCrashes() {
    boolean leaseIsFresh = now() - leaseOpenedAt < CRASH_LIFETIME.dividedBy(2).toNanos();
    if (lease.isPresent() && leaseIsFresh) {
      writeCrashes(lease.getAsLong());
      return;
    }
    Async.onDone(
        store.openLease(CRASH_LIFETIME),
        clock,
        (leaseId, failure) -> {
          if (failure != null) {
            retryWrite();
            return;
          }
          lease = OptionalLong.of(leaseId);
          leaseOpenedAt = now();
          writeCrashes(leaseId);
        });
  }

  private void writeCrashes(long leaseId) {
    ImmutableList<EndpointCrash> crashes =
        unwritten.stream().limit(MAX_WRITTEN_TOGETHER).collect(ImmutableList.toImmutableList());
    // Survivals come first, so that no node reads the crashes without them.
    CompletableFuture<?> survivalsWritten = writeSurvivals(survivalsToTell(crashes), leaseId);
    // A call whose answer was lost may still take effect, so each call uses its own key; a crash
    // that is written twice counts once.
    String key = prefix + CRASHES_PREFIX + node + "/" + writeCount++;
    Async.onDone(
        Async.compose(
            survivalsWritten,
            (written, failure) ->
                failure == null
                    ? store.create(key, EndpointCrash.write(crashes), leaseId)
                    : CompletableFuture.failedFuture(failure)),
        clock,
        (created, failure) -> {
          if (failure != null) {
            dropLeaseIfExpired(failure);
            retryWrite();
            return;
          }
          unwritten.removeAll(crashes);
          recordWritten(crashes);
          writing = false;
          if (!unwritten.isEmpty()) {
            scheduleWrite(BATCH_DELAY);
          }
        });
  }

  /**
   * Returns the parts of crashed requests that ran at this node, except those of which a node told
   * lately.
   */
  private ImmutableList<Survival> survivalsToTell(ImmutableList<EndpointCrash> crashes) {
    long renewedBefore = now() - SURVIVAL_RENEWAL.toNanos();
    return crashes.stream()
        .flatMap(crash -> crash.parts().stream())
        .distinct()
        .filter(part -> survivalsToldAt.getOrDefault(part, Long.MIN_VALUE) < renewedBefore)
        .flatMap(part -> survivalOf(part).stream())
        .limit(MAX_SURVIVALS)
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<Survival> survivalOf(PromptPart part) {
    return quarantine.sinceOwnSurvival(part).map(age -> new Survival(part, age));
  }

  private CompletableFuture<?> writeSurvivals(ImmutableList<Survival> survivals, long leaseId) {
    if (survivals.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    String key = prefix + SURVIVALS_PREFIX + node + "/" + writeCount++;
    return store.create(key, Survival.write(survivals), leaseId);
  }

  private void recordWritten(ImmutableList<EndpointCrash> crashes) {
    crashes.forEach(crash -> writtenAt.put(crash, now()));
    while (writtenAt.size() > MAX_UNWRITTEN) {
      writtenAt.remove(writtenAt.keySet().iterator().next());
    }
  }

  private void dropLeaseIfExpired(Throwable failure) {
    if (failure instanceof SharedStoreException e
        && e.kind() == SharedStoreException.Kind.LEASE_OVER) {
      lease = OptionalLong.empty();
    }
  }

  private void retryWrite() {
    writing = false;
    scheduleWrite(RETRY_DELAY);
  }

  /** Writes a quarantine unless the store contains it already. */
  private void writeQuarantine(RequestTrait trait) {
    if (quarantinedInStore.contains(trait) || !quarantine.isQuarantined(trait)) {
      return;
    }
    Async.onDone(
        Async.compose(
            store.openLease(Quarantine.QUARANTINE_DURATION),
            (leaseId, failure) ->
                failure == null
                    ? store
                        .create(prefix + QUARANTINED_PREFIX + trait, "", leaseId)
                        .thenApply(created -> leaseId)
                    : CompletableFuture.failedFuture(failure)),
        clock,
        (leaseId, failure) -> {
          if (failure != null) {
            clock.schedule(() -> writeQuarantine(trait), RETRY_DELAY.toNanos(), NANOSECONDS);
            return;
          }
          ownLeases.put(trait, leaseId);
          if (!quarantine.isQuarantined(trait)) {
            endOwnLease(trait);
          }
        });
  }

  private void quarantineDisproved(RequestTrait trait) {
    endOwnLease(trait);
    if (trait instanceof PromptPart part) {
      scheduleObjection(part);
    }
  }

  /** Removes a quarantine that this node wrote from the store. */
  private void endOwnLease(RequestTrait trait) {
    Long leaseId = ownLeases.remove(trait);
    if (leaseId == null) {
      return;
    }
    Async.onDone(
        store.endLease(leaseId),
        clock,
        (ended, failure) -> {
          if (failure != null) {
            // The lease expires by itself, and nodes ignore a quarantine that is disproved.
            EventLog.warn(
                Event.STORE_FAILED,
                "prefix",
                prefix,
                "cause",
                String.valueOf(failure.getMessage()));
          }
        });
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    ImmutableList<RequestTrait> previous = ImmutableList.copyOf(quarantinedInStore);
    quarantinedInStore.clear();
    Set<String> keys = new HashSet<>();
    for (StoredItem item : items) {
      keys.add(item.key());
      read(item);
    }
    evaluate();
    appliedKeys.retainAll(keys);
    previous.stream()
        .filter(trait -> !quarantinedInStore.contains(trait))
        .forEach(this::quarantineRemoved);
  }

  /**
   * Writes this node's recent crashes again, since a store that was restored from a backup may have
   * lost them.
   */
  @Override
  public void newEra(long era) {
    storeOutageAt = now();
    lease = OptionalLong.empty();
    long oldest = now() - CRASH_LIFETIME.toNanos();
    writtenAt.values().removeIf(at -> at < oldest);
    unwritten.addAll(writtenAt.keySet());
    if (!unwritten.isEmpty()) {
      EventLog.info(Event.QUARANTINE_TOLD_AGAIN, "ends", unwritten.size(), "era", era);
      scheduleWrite(BATCH_DELAY);
    }
  }

  @Override
  public void unavailable(StoreOutage outage) {
    storeOutageAt = now();
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (change.removed()) {
      itemRemoved(change.item());
    } else {
      read(change.item());
    }
  }

  @Override
  public void upToDate() {
    evaluate();
  }

  private void read(StoredItem item) {
    String name = item.key().substring(prefix.length());
    try {
      if (name.startsWith(QUARANTINED_PREFIX)) {
        RequestTrait trait = RequestTrait.parse(name.substring(QUARANTINED_PREFIX.length()));
        quarantinedInStore.add(trait);
        readQuarantines.add(trait);
      } else if (name.startsWith(CRASHES_PREFIX) && appliedKeys.add(item.key())) {
        // Each key is applied once only: later answers may have cleared its contents.
        readCrashes.addAll(EndpointCrash.read(item.value()));
      } else if (name.startsWith(SURVIVALS_PREFIX) && appliedKeys.add(item.key())) {
        readSurvivals.addAll(Survival.read(item.value()));
      }
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.STORE_VALUE_UNREADABLE, "key", item.key(), "cause", e.getMessage());
    }
  }

  /**
   * Evaluates all that was read together, as what was written later may speak against what was
   * written before. Survivals come first and quarantines of other nodes second, since both explain
   * crashes.
   */
  private void evaluate() {
    readSurvivals.forEach(this::recordTold);
    quarantine.recordSurvivalsElsewhere(readSurvivals).forEach(this::writeQuarantineLater);
    readSurvivals.clear();
    if (!started) {
      quarantine.recordJudgedCrashes(readCrashes);
      readCrashes.clear();
      started = true;
    }
    readQuarantines.forEach(this::applyQuarantine);
    readQuarantines.clear();
    quarantine.recordCrashes(readCrashes).forEach(this::writeQuarantineLater);
    readCrashes.clear();
  }

  private void recordTold(Survival survival) {
    survivalsToldAt.remove(survival.part());
    survivalsToldAt.put(survival.part(), now());
    if (survivalsToldAt.size() > PartEvidence.MAX_PARTS) {
      survivalsToldAt.remove(survivalsToldAt.keySet().iterator().next());
    }
  }

  private void applyQuarantine(RequestTrait trait) {
    quarantine.adopt(trait);
    if (trait instanceof PromptPart part && !quarantine.isQuarantined(part)) {
      scheduleObjection(part);
    }
  }

  private void scheduleObjection(PromptPart part) {
    long delay = (long) (MAX_OBJECTION_DELAY.toNanos() * random.nextDouble());
    clock.schedule(() -> writeObjection(part), delay, NANOSECONDS);
  }

  /** Tells the other nodes that requests ran with a part that one of them quarantined. */
  private void writeObjection(PromptPart part) {
    Optional<Survival> survival = survivalOf(part);
    if (!quarantinedInStore.contains(part)
        || quarantine.isQuarantined(part)
        || survival.isEmpty()
        || objections.contains(part)) {
      return;
    }
    objections.add(part);
    Async.onDone(
        Async.compose(
            store.openLease(Quarantine.QUARANTINE_DURATION),
            (leaseId, failure) ->
                failure == null
                    ? writeSurvivals(ImmutableList.of(survival.get()), leaseId)
                    : CompletableFuture.failedFuture(failure)),
        clock,
        (created, failure) -> {
          objections.remove(part);
          if (failure != null) {
            clock.schedule(() -> writeObjection(part), RETRY_DELAY.toNanos(), NANOSECONDS);
          }
        });
  }

  private void itemRemoved(StoredItem item) {
    appliedKeys.remove(item.key());
    String name = item.key().substring(prefix.length());
    if (!name.startsWith(QUARANTINED_PREFIX)) {
      return;
    }
    try {
      RequestTrait trait = RequestTrait.parse(name.substring(QUARANTINED_PREFIX.length()));
      quarantinedInStore.remove(trait);
      readQuarantines.remove(trait);
      quarantineRemoved(trait);
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.STORE_VALUE_UNREADABLE, "key", item.key(), "cause", e.getMessage());
    }
  }

  private void quarantineRemoved(RequestTrait trait) {
    ownLeases.remove(trait);
    if (now() - storeOutageAt < OUTAGE_GRACE_PERIOD.toNanos()) {
      writeQuarantineLater(trait);
    } else {
      quarantine.release(trait, "removed from the store");
    }
  }

  /** Writes a quarantine after a delay, unless another node has done so by then. */
  private void writeQuarantineLater(RequestTrait trait) {
    long jitter = (long) (WRITE_DELAY_OF_OTHERS.toNanos() * random.nextDouble());
    clock.schedule(
        () -> writeQuarantine(trait), WRITE_DELAY_OF_OTHERS.toNanos() + jitter, NANOSECONDS);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
