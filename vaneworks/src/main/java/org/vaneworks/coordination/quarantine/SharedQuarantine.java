package org.vaneworks.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
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
import org.vaneworks.state.RequestContent;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Keeps the quarantines of all nodes alike, by way of the shared store.
 *
 * <p>A request that ends endpoints comes back at any node, also at one that has just started. So
 * each node writes the ends that it saw, and all count all of them; what is held back is written
 * once, under a lease that bounds it. Only what had just begun at an endpoint that ended is
 * written, by one call a node and end; a calm fleet writes nothing. Confined to the node's event
 * loop.
 */
public final class SharedQuarantine implements PrefixFollower.Listener {
  private static final String ENDS = "ends/";
  private static final String HELD = "held/";

  /** Requests that are lost with one endpoint are written together. */
  private static final Duration GATHER = Duration.ofMillis(20);

  /** A node in touch with the store has to know of an end within three seconds. */
  private static final Duration RETRY = Duration.ofMillis(500);

  /** Nodes that follow the store know an end within a second or two; a start reads older ones. */
  private static final Duration ENDS_KEPT = Duration.ofMinutes(4);

  /** After this, others write what the node that saw the last end has not written. */
  private static final Duration WRITTEN_WITHIN = Duration.ofSeconds(2);

  /** After an outage of the store, in which leases may run out, keys that go say nothing. */
  private static final Duration AFTER_SILENCE = Duration.ofSeconds(5);

  /** Ends that wait to be written while the store is away; some 60 bytes each. */
  private static final int MOST_UNWRITTEN = 1000;

  private final Executor clock;
  private final Random random;
  private final SharedStore store;
  private final String prefix;
  private final String node;
  private final Quarantine quarantine;
  private final EndedEndpoints endpoints;
  private final Set<EndpointEnd> unwritten = new LinkedHashSet<>();

  /** What this node wrote, and when: it alone can write it again. */
  private final Map<EndpointEnd, Long> writtenAt = new LinkedHashMap<>();

  private final Set<RequestContent> heldInStore = new HashSet<>();
  private final Set<String> takenKeys = new HashSet<>();
  private OptionalLong lease = OptionalLong.empty();
  private long leaseOpenedAt;
  private long storeSilentAt = Long.MIN_VALUE / 2;
  private boolean writing;
  private int written;

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
    endpoints = EndedEndpoints.watch(clock, fleet, this::seen);
  }

  /**
   * Returns a quarantine that holds nothing and writes nothing before an endpoint ends.
   *
   * @param prefix of its keys in the store
   * @param node names this run of this node; no two runs share it
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

  /** Returns what is held back. */
  public Quarantine quarantine() {
    return quarantine;
  }

  /** Returns the observer that is to be told of requests that lost their endpoint. */
  public EndedEndpoints endpoints() {
    return endpoints;
  }

  private void seen(EndpointEnd end) {
    if (quarantine.noteEnd(end)) {
      // This node completed the proof, so it is the one to write it.
      writeHeld(end.content());
    }
    if (unwritten.size() < MOST_UNWRITTEN && unwritten.add(end)) {
      writeLater(GATHER);
    }
  }

  private void writeLater(Duration wait) {
    if (!writing) {
      writing = true;
      clock.schedule(this::writeEnds, wait.toNanos(), NANOSECONDS);
    }
  }

  private void writeEnds() {
    boolean young = now() - leaseOpenedAt < ENDS_KEPT.dividedBy(2).toNanos();
    if (lease.isPresent() && young) {
      writeEnds(lease.getAsLong());
      return;
    }
    Async.onDone(
        store.openLease(ENDS_KEPT),
        clock,
        (opened, failure) -> {
          if (failure != null) {
            writeAgain();
            return;
          }
          lease = OptionalLong.of(opened);
          leaseOpenedAt = now();
          writeEnds(opened);
        });
  }

  private void writeEnds(long underLease) {
    ImmutableList<EndpointEnd> ends = ImmutableList.copyOf(unwritten);
    // A call whose answer was lost may still be done: each has a key of its own, and ends that
    // are written twice count once.
    String key = prefix + ENDS + node + "/" + written++;
    Async.onDone(
        store.create(key, EndpointEnd.write(ends), underLease),
        clock,
        (created, failure) -> {
          if (failure != null) {
            dropLeaseIfOver(failure);
            writeAgain();
            return;
          }
          unwritten.removeAll(ends);
          noteWritten(ends);
          writing = false;
          if (!unwritten.isEmpty()) {
            writeLater(GATHER);
          }
        });
  }

  private void noteWritten(ImmutableList<EndpointEnd> ends) {
    ends.forEach(end -> writtenAt.put(end, now()));
    while (writtenAt.size() > MOST_UNWRITTEN) {
      writtenAt.remove(writtenAt.keySet().iterator().next());
    }
  }

  private void dropLeaseIfOver(Throwable failure) {
    if (failure instanceof SharedStoreException e
        && e.kind() == SharedStoreException.Kind.LEASE_OVER) {
      lease = OptionalLong.empty();
    }
  }

  private void writeAgain() {
    writing = false;
    writeLater(RETRY);
  }

  /** Writes that a content is held back, unless the store says so already. */
  private void writeHeld(RequestContent content) {
    if (heldInStore.contains(content) || !quarantine.holds(content)) {
      return;
    }
    Async.onDone(
        Async.compose(
            store.openLease(Quarantine.HELD_FOR),
            (opened, failure) ->
                failure == null
                    ? store.create(prefix + HELD + content, "", opened)
                    : CompletableFuture.failedFuture(failure)),
        clock,
        (created, failure) -> {
          if (failure != null) {
            clock.schedule(() -> writeHeld(content), RETRY.toNanos(), NANOSECONDS);
          }
        });
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    ImmutableList<RequestContent> before = ImmutableList.copyOf(heldInStore);
    heldInStore.clear();
    Set<String> keys = new HashSet<>();
    for (StoredItem item : items) {
      keys.add(item.key());
      take(item);
    }
    takenKeys.retainAll(keys);
    before.stream().filter(content -> !heldInStore.contains(content)).forEach(this::gone);
  }

  /** Tells again what a store that has come back from a copy may have forgotten. */
  @Override
  public void newEra(long era) {
    storeSilentAt = now();
    lease = OptionalLong.empty();
    long oldest = now() - ENDS_KEPT.toNanos();
    writtenAt.values().removeIf(at -> at < oldest);
    unwritten.addAll(writtenAt.keySet());
    if (!unwritten.isEmpty()) {
      EventLog.info(Event.QUARANTINE_TOLD_AGAIN, "ends", unwritten.size(), "era", era);
      writeLater(GATHER);
    }
  }

  @Override
  public void unavailable(StoreOutage silence) {
    storeSilentAt = now();
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (change.removed()) {
      removed(change.item());
    } else {
      take(change.item());
    }
  }

  private void take(StoredItem item) {
    String name = item.key().substring(prefix.length());
    try {
      if (name.startsWith(HELD)) {
        takeHeld(new RequestContent(name.substring(HELD.length())));
      } else if (name.startsWith(ENDS) && takenKeys.add(item.key())) {
        // Once only: what was answered since has cleared it.
        EndpointEnd.read(item.value()).forEach(this::heard);
      }
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.STORE_VALUE_UNREADABLE, "key", item.key(), "cause", e.getMessage());
    }
  }

  private void takeHeld(RequestContent content) {
    heldInStore.add(content);
    quarantine.hold(content, "the store holds it");
  }

  private void heard(EndpointEnd end) {
    if (quarantine.noteEnd(end)) {
      writeHeldLater(end.content());
    }
  }

  private void removed(StoredItem item) {
    takenKeys.remove(item.key());
    String name = item.key().substring(prefix.length());
    if (!name.startsWith(HELD)) {
      return;
    }
    try {
      RequestContent content = new RequestContent(name.substring(HELD.length()));
      heldInStore.remove(content);
      gone(content);
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.STORE_VALUE_UNREADABLE, "key", item.key(), "cause", e.getMessage());
    }
  }

  private void gone(RequestContent content) {
    if (now() - storeSilentAt < AFTER_SILENCE.toNanos()) {
      writeHeldLater(content);
    } else {
      quarantine.release(content, "the store no longer holds it");
    }
  }

  /** Writes that a content is held back, unless another node has done so by then. */
  private void writeHeldLater(RequestContent content) {
    long spread = (long) (WRITTEN_WITHIN.toNanos() * random.nextDouble());
    clock.schedule(() -> writeHeld(content), WRITTEN_WITHIN.toNanos() + spread, NANOSECONDS);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
