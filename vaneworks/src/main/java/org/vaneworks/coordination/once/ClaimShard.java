package org.vaneworks.coordination.once;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StoreException;
import org.vaneworks.coordination.store.StorePurpose;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * One shard of the claims, as its present writer sees it.
 *
 * <p>Claims that come while a write is on its way are folded into the next one, so writes don't
 * grow with requests. The store's compare-and-swap decides; any number of nodes may believe that
 * they are the writer. Thread-safe; futures are completed with no lock held.
 */
public final class ClaimShard {
  /** Least time between two writes of one shard. */
  private static final Duration WRITE_EVERY = Duration.ofMillis(100);

  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);
  private static final int MAX_DOCUMENT = 900_000;

  private record Wanted(Claim claim, long until, CompletableFuture<Claim> held) {}

  private final String key;
  private final Executor executor;
  private final PlatformStore store;
  private final ClaimFormat format;
  private final OnceLimits limits;

  @GuardedBy("this")
  private final List<Wanted> pending = new ArrayList<>();

  @GuardedBy("this")
  private final Map<String, Long> firstSeen = new HashMap<>();

  @GuardedBy("this")
  private Map<String, Claim> known = new LinkedHashMap<>();

  @GuardedBy("this")
  private long revision = -1;

  @GuardedBy("this")
  private boolean busy;

  @GuardedBy("this")
  private long lastWrite;

  /** Creates the writer of one shard; it writes nothing before the first claim. */
  public ClaimShard(
      String key, Executor executor, PlatformStore store, ClaimFormat format, OnceLimits limits) {
    this.key = key;
    this.executor = executor;
    this.store = store;
    this.format = format;
    this.limits = limits;
    this.lastWrite = now() - WRITE_EVERY.toNanos();
  }

  /**
   * Claims a key.
   *
   * @param limit how long to go on trying
   * @return the claim in force for the key, this one or an earlier one
   */
  public CompletableFuture<Claim> claim(Claim claim, Duration limit) {
    Wanted wanted = new Wanted(claim, now() + limit.toNanos(), new CompletableFuture<>());
    synchronized (this) {
      // A claim once seen stays in force until it is old, also while the store can't be asked.
      Claim seen = withoutOld().get(claim.key());
      if (seen != null) {
        return CompletableFuture.completedFuture(seen);
      }
      pending.add(wanted);
    }
    writeSoon();
    return wanted.held();
  }

  private void writeSoon() {
    long wait;
    synchronized (this) {
      if (busy || pending.isEmpty()) {
        return;
      }
      busy = true;
      wait = Math.max(0, lastWrite + WRITE_EVERY.toNanos() - now());
    }
    executor.schedule(this::round, Duration.ofNanos(wait));
  }

  private void round() {
    boolean mustRead;
    synchronized (this) {
      lastWrite = now();
      mustRead = revision < 0;
    }
    if (mustRead) {
      read();
    } else {
      write();
    }
  }

  private void read() {
    Async.onDone(
        store.read(key, StorePurpose.CLAIM),
        executor,
        (entry, failure) -> {
          if (failure != null) {
            failed(failure);
          } else {
            learn(entry);
            write();
          }
        });
  }

  private synchronized void learn(Optional<StoreEntry> entry) {
    revision = entry.map(StoreEntry::revision).orElse(0L);
    known = new LinkedHashMap<>();
    if (entry.isPresent()) {
      for (Claim claim : format.decodeClaims(entry.get().value())) {
        known.put(claim.key(), claim);
        firstSeen.putIfAbsent(claim.claimId(), now());
      }
    }
  }

  private void write() {
    Map<String, Claim> next;
    List<Wanted> batch;
    long expected;
    boolean same;
    synchronized (this) {
      batch = List.copyOf(pending);
      next = withoutOld();
      batch.forEach(wanted -> next.putIfAbsent(wanted.claim().key(), wanted.claim()));
      expected = revision;
      same = next.equals(known);
    }
    if (same) {
      settled(batch, next);
      return;
    }
    String text = format.encodeClaims(ImmutableList.copyOf(next.values()));
    if (text.length() > MAX_DOCUMENT) {
      refuse(batch, Refusal.nothingSent(Reason.RECORDS_FULL, key + " is full"));
      return;
    }
    Async.onDone(
        store.compareAndSwap(key, expected, text, StorePurpose.CLAIM),
        executor,
        (swapped, failure) -> written(batch, next, swapped, failure));
  }

  /**
   * A claim is old once this node itself has seen it for the whole retention: no clocks are
   * compared, and a change of writer can only make a claim last longer.
   */
  @GuardedBy("this")
  private Map<String, Claim> withoutOld() {
    long old = now() - limits.claimRetention().toNanos();
    Map<String, Claim> young = new LinkedHashMap<>();
    known.forEach(
        (hash, claim) -> {
          if (firstSeen.getOrDefault(claim.claimId(), now()) - old > 0) {
            young.put(hash, claim);
          }
        });
    return young;
  }

  private void written(
      List<Wanted> batch, Map<String, Claim> next, Optional<Long> swapped, Throwable failure) {
    if (failure != null) {
      failed(failure);
      return;
    }
    if (swapped.isEmpty()) {
      // Another writer got in first: read again and fold anew.
      readAgain();
      return;
    }
    synchronized (this) {
      revision = swapped.get();
      known = next;
      next.values().forEach(claim -> firstSeen.putIfAbsent(claim.claimId(), now()));
      firstSeen.keySet().retainAll(next.values().stream().map(Claim::claimId).toList());
    }
    settled(batch, next);
  }

  private void readAgain() {
    synchronized (this) {
      revision = -1;
      lastWrite = now();
    }
    read();
  }

  private void settled(List<Wanted> batch, Map<String, Claim> inForce) {
    synchronized (this) {
      pending.removeAll(batch);
      busy = false;
    }
    batch.forEach(wanted -> wanted.held().complete(inForce.get(wanted.claim().key())));
    writeSoon();
  }

  /**
   * Tries again what has time left. What the store holds now is not known: a write that failed may
   * have taken effect, which reading back shows by the claims' own names.
   */
  private void failed(Throwable failure) {
    List<Wanted> late = new ArrayList<>();
    synchronized (this) {
      revision = -1;
      for (Wanted wanted : List.copyOf(pending)) {
        if (wanted.until() - now() <= 0) {
          pending.remove(wanted);
          late.add(wanted);
        }
      }
      busy = false;
    }
    if (failure instanceof StoreException store && store.mayHaveWritten()) {
      EventLog.info(Event.CLAIM_SETTLED, "shard", key, "step", "reading back");
    }
    RuntimeException unavailable =
        Refusal.mayHaveRun(Reason.STORE_UNAVAILABLE, "the claim could not be settled in time")
            .withRetryAfter(Duration.ofSeconds(1))
            .toException();
    late.forEach(wanted -> wanted.held().completeExceptionally(unavailable));
    executor.schedule(this::writeSoon, RETRY_PAUSE);
  }

  private void refuse(List<Wanted> batch, Refusal refusal) {
    synchronized (this) {
      pending.removeAll(batch);
      busy = false;
    }
    batch.forEach(wanted -> wanted.held().completeExceptionally(refusal.toException()));
    writeSoon();
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }
}
