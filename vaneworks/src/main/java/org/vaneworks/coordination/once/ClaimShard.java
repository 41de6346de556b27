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
 * Writes the claims of one shard to the store.
 *
 * <p>Claims that arrive during a write are batched into the next one, so the number of writes does
 * not grow with the number of requests. Several nodes may write the same shard at the same time:
 * the store's compare-and-swap decides which write takes effect. Thread-safe; futures are completed
 * without holding the lock.
 */
public final class ClaimShard {
  /** Minimum interval between two writes of one shard. */
  private static final Duration MIN_WRITE_INTERVAL = Duration.ofMillis(100);

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final int MAX_DOCUMENT_CHARACTERS = 900_000;

  /** A claim that is not yet decided; {@code held} completes with the claim that holds the key. */
  private record PendingClaim(Claim claim, long deadline, CompletableFuture<Claim> held) {}

  private final String key;
  private final Executor executor;
  private final PlatformStore store;
  private final ClaimFormat format;
  private final OnceLimits limits;

  @GuardedBy("this")
  private final List<PendingClaim> pending = new ArrayList<>();

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

  /**
   * Creates a writer, which accesses the store for the first time on the first claim.
   *
   * @param key the store key of the shard's document
   */
  public ClaimShard(
      String key, Executor executor, PlatformStore store, ClaimFormat format, OnceLimits limits) {
    this.key = key;
    this.executor = executor;
    this.store = store;
    this.format = format;
    this.limits = limits;
    this.lastWrite = now() - MIN_WRITE_INTERVAL.toNanos();
  }

  /**
   * Claims a key.
   *
   * @param limit how long to retry
   * @return the claim that holds the key: this one or an earlier one
   */
  public CompletableFuture<Claim> claim(Claim claim, Duration limit) {
    PendingClaim pendingClaim =
        new PendingClaim(claim, now() + limit.toNanos(), new CompletableFuture<>());
    synchronized (this) {
      // A known claim holds until it expires, even while the store is unavailable.
      Claim existing = unexpired().get(claim.key());
      if (existing != null) {
        return CompletableFuture.completedFuture(existing);
      }
      pending.add(pendingClaim);
    }
    scheduleWrite();
    return pendingClaim.held();
  }

  private void scheduleWrite() {
    long wait;
    synchronized (this) {
      if (busy || pending.isEmpty()) {
        return;
      }
      busy = true;
      wait = Math.max(0, lastWrite + MIN_WRITE_INTERVAL.toNanos() - now());
    }
    executor.schedule(this::readOrWrite, Duration.ofNanos(wait));
  }

  private void readOrWrite() {
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
            onFailure(failure);
          } else {
            load(entry);
            write();
          }
        });
  }

  private synchronized void load(Optional<StoreEntry> entry) {
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
    List<PendingClaim> batch;
    long expected;
    boolean unchanged;
    synchronized (this) {
      batch = List.copyOf(pending);
      next = unexpired();
      batch.forEach(
          pendingClaim -> next.putIfAbsent(pendingClaim.claim().key(), pendingClaim.claim()));
      expected = revision;
      unchanged = next.equals(known);
    }
    if (unchanged) {
      complete(batch, next);
      return;
    }
    String text = format.encodeClaims(ImmutableList.copyOf(next.values()));
    if (text.length() > MAX_DOCUMENT_CHARACTERS) {
      fail(batch, Refusal.nothingSent(Reason.RECORDS_FULL, key + " is full"));
      return;
    }
    Async.onDone(
        store.compareAndSwap(key, expected, text, StorePurpose.CLAIM),
        executor,
        (swapped, failure) -> onWritten(batch, next, swapped, failure));
  }

  /**
   * Returns the known claims without those that expired.
   *
   * <p>A claim expires once this node has known it for the whole retention time. This compares no
   * clocks of different nodes, and a change of the writer can only extend the life of a claim.
   */
  @GuardedBy("this")
  private Map<String, Claim> unexpired() {
    long oldestUnexpired = now() - limits.claimRetention().toNanos();
    Map<String, Claim> unexpired = new LinkedHashMap<>();
    known.forEach(
        (hash, claim) -> {
          if (firstSeen.getOrDefault(claim.claimId(), now()) - oldestUnexpired > 0) {
            unexpired.put(hash, claim);
          }
        });
    return unexpired;
  }

  private void onWritten(
      List<PendingClaim> batch,
      Map<String, Claim> next,
      Optional<Long> swapped,
      Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    if (swapped.isEmpty()) {
      // Another node wrote the document first: read it again and merge the batch into it.
      reread();
      return;
    }
    synchronized (this) {
      revision = swapped.get();
      known = next;
      next.values().forEach(claim -> firstSeen.putIfAbsent(claim.claimId(), now()));
      firstSeen.keySet().retainAll(next.values().stream().map(Claim::claimId).toList());
    }
    complete(batch, next);
  }

  private void reread() {
    synchronized (this) {
      revision = -1;
      lastWrite = now();
    }
    read();
  }

  private void complete(List<PendingClaim> batch, Map<String, Claim> inForce) {
    synchronized (this) {
      pending.removeAll(batch);
      busy = false;
    }
    batch.forEach(
        pendingClaim -> pendingClaim.held().complete(inForce.get(pendingClaim.claim().key())));
    scheduleWrite();
  }

  /**
   * Retries the pending claims whose time limit has not passed, and fails the others.
   *
   * <p>A failed write may have taken effect. The next read shows whether it did, since every claim
   * has a unique identifier.
   */
  private void onFailure(Throwable failure) {
    List<PendingClaim> timedOut = new ArrayList<>();
    synchronized (this) {
      revision = -1;
      for (PendingClaim pendingClaim : List.copyOf(pending)) {
        if (pendingClaim.deadline() - now() <= 0) {
          pending.remove(pendingClaim);
          timedOut.add(pendingClaim);
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
    timedOut.forEach(pendingClaim -> pendingClaim.held().completeExceptionally(unavailable));
    executor.schedule(this::scheduleWrite, RETRY_DELAY);
  }

  private void fail(List<PendingClaim> batch, Refusal refusal) {
    synchronized (this) {
      pending.removeAll(batch);
      busy = false;
    }
    batch.forEach(pendingClaim -> pendingClaim.held().completeExceptionally(refusal.toException()));
    scheduleWrite();
  }

  private long now() {
    return executor.currentTime(NANOSECONDS);
  }
}
