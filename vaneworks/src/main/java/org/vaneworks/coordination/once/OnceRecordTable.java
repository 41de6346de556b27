package org.vaneworks.coordination.once;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;

/**
 * The records of requests that run at most once. Only the node that holds the record of a request
 * may run it.
 *
 * <p>A record is created before anything is sent and is kept as long as its ticket or claim could
 * be used, so a second run can't start. Thread-safe; futures are completed without holding the
 * lock.
 */
public final class OnceRecordTable {
  /** The decision whether a request is to be run. */
  public sealed interface Decision {
    /** The request must be run, and its outcome passed to {@link #finish}. */
    record Start() implements Decision {}

    /**
     * The request must not be run.
     *
     * @param outcome completes with the outcome of the existing run, or with a refusal
     */
    record Wait(CompletableFuture<OnceOutcome> outcome) implements Decision {}
  }

  private static final class Entry {
    private final String bodyHash;
    private final long createdAt;
    private CompletableFuture<OnceOutcome> outcome = new CompletableFuture<>();
    private boolean running = true;

    Entry(String bodyHash, long createdAt) {
      this.bodyHash = bodyHash;
      this.createdAt = createdAt;
    }

    /** Returns whether nothing ran, so that the request may be started again. */
    boolean mayRestart() {
      return !running && !outcome.isDone();
    }
  }

  private final Executor clock;
  private final OnceLimits limits;

  @GuardedBy("this")
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  @GuardedBy("this")
  private long bytes;

  /** Creates an empty table. */
  public OnceRecordTable(Executor clock, OnceLimits limits) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
  }

  /**
   * Decides whether a request is to be run, and records its start if so.
   *
   * @param bodyHash hash of the work, which must equal that of the first request
   * @param mayCreate whether a missing record proves that the request never ran
   */
  public synchronized Decision start(String recordId, String bodyHash, boolean mayCreate) {
    Entry entry = entries.get(recordId);
    if (entry == null) {
      return mayCreate ? create(recordId, bodyHash) : refuse(recordGone());
    }
    if (!entry.bodyHash.equals(bodyHash)) {
      return refuse(Refusal.nothingSent(Reason.KEY_REUSED, "the first request had another body"));
    }
    if (entry.mayRestart()) {
      entry.running = true;
      return new Decision.Start();
    }
    return new Decision.Wait(entry.outcome);
  }

  /** Returns the outcome of a request that runs or has run; empty if it may be started. */
  public synchronized Optional<CompletableFuture<OnceOutcome>> find(
      String recordId, String bodyHash) {
    return Optional.ofNullable(entries.get(recordId))
        .filter(entry -> entry.bodyHash.equals(bodyHash) && !entry.mayRestart())
        .map(entry -> entry.outcome);
  }

  @GuardedBy("this")
  private Decision create(String recordId, String bodyHash) {
    removeExpired();
    if (entries.size() >= limits.maxRecords() || bytes >= limits.maxBytes()) {
      return refuse(
          Refusal.nothingSent(Reason.RECORDS_FULL, entries.size() + " records")
              .withRetryAfter(Duration.ofSeconds(5)));
    }
    entries.put(recordId, new Entry(bodyHash, now()));
    return new Decision.Start();
  }

  private static Decision refuse(Refusal refusal) {
    return new Decision.Wait(CompletableFuture.completedFuture(new OnceOutcome.Refused(refusal)));
  }

  private static Refusal recordGone() {
    return Refusal.mayHaveRun(Reason.RECORD_GONE, "no record of it is left");
  }

  /**
   * Records the outcome of a request that was started. If no part of it ran, the request may be
   * started again.
   */
  public void finish(String recordId, OnceOutcome outcome) {
    CompletableFuture<OnceOutcome> waiters;
    synchronized (this) {
      Entry entry = entries.get(recordId);
      checkState(entry != null && entry.running, "record %s was not started", recordId);
      entry.running = false;
      waiters = entry.outcome;
      if (outcome.isNotRun()) {
        entry.outcome = new CompletableFuture<>();
      } else {
        bytes += outcome.size();
      }
    }
    waiters.complete(outcome);
  }

  /** Deletes a record whose claim was won by another node; no other node knows its identifier. */
  public synchronized void discard(String recordId) {
    entries.remove(recordId);
  }

  @GuardedBy("this")
  private void removeExpired() {
    long oldestUnexpired = now() - limits.recordRetention().toNanos();
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (entry.createdAt - oldestUnexpired > 0) {
        return;
      }
      if (!entry.running) {
        bytes -= entry.outcome.isDone() ? entry.outcome.join().size() : 0;
        oldest.remove();
      }
    }
  }

  /** Returns the records for a hand-over. Must be called only after all requests have ended. */
  public synchronized ImmutableList<OnceRecord> records() {
    ImmutableList.Builder<OnceRecord> records = ImmutableList.builder();
    entries.forEach(
        (id, entry) -> {
          Optional<OnceOutcome> outcome =
              entry.outcome.isDone() ? Optional.of(entry.outcome.join()) : Optional.empty();
          records.add(new OnceRecord(id, entry.bodyHash, outcome));
        });
    return records.build();
  }

  /** Adds the records of another node that are not in the table yet. */
  public synchronized void addAll(Iterable<OnceRecord> records) {
    for (OnceRecord record : records) {
      if (!entries.containsKey(record.recordId())) {
        Entry entry = new Entry(record.bodyHash(), now());
        entry.running = false;
        record.outcome().ifPresent(entry.outcome::complete);
        bytes += record.outcome().map(OnceOutcome::size).orElse(0);
        entries.put(record.recordId(), entry);
      }
    }
  }

  /** Returns the number of records. */
  public synchronized int size() {
    return entries.size();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
