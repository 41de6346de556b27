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
 * The one memory of whether a request ran; only the node that holds it may run the request.
 *
 * <p>A record is made before anything is sent and is never unmade while its ticket or claim could
 * still be used, so a second run can't start. Thread-safe; futures are completed with no lock held.
 */
public final class OnceBook {
  /** What the book says to one who wants to run a request. */
  public sealed interface Opening {
    /** Run it, and tell the book how it ended. */
    record Start() implements Opening {}

    /** Don't run it; this is, or will be, its outcome. */
    record Wait(CompletableFuture<OnceOutcome> outcome) implements Opening {}
  }

  private static final class Entry {
    private final String bodyHash;
    private final long madeAt;
    private CompletableFuture<OnceOutcome> outcome = new CompletableFuture<>();
    private boolean running = true;

    Entry(String bodyHash, long madeAt) {
      this.bodyHash = bodyHash;
      this.madeAt = madeAt;
    }

    /** Nothing ran, and the request may still run. */
    boolean isReleased() {
      return !running && !outcome.isDone();
    }
  }

  private final Executor clock;
  private final OnceLimits limits;

  @GuardedBy("this")
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  @GuardedBy("this")
  private long bytes;

  /** Creates an empty book. */
  public OnceBook(Executor clock, OnceLimits limits) {
    this.clock = checkNotNull(clock);
    this.limits = checkNotNull(limits);
  }

  /**
   * Asks whether to run a request.
   *
   * @param mayCreate whether a missing record proves that the request never ran
   */
  public synchronized Opening open(String recordId, String bodyHash, boolean mayCreate) {
    Entry entry = entries.get(recordId);
    if (entry == null) {
      return mayCreate ? create(recordId, bodyHash) : refuse(gone());
    }
    if (!entry.bodyHash.equals(bodyHash)) {
      return refuse(Refusal.nothingSent(Reason.KEY_REUSED, "the first request had another body"));
    }
    if (entry.isReleased()) {
      entry.running = true;
      return new Opening.Start();
    }
    return new Opening.Wait(entry.outcome);
  }

  @GuardedBy("this")
  private Opening create(String recordId, String bodyHash) {
    forgetOld();
    if (entries.size() >= limits.maxRecords() || bytes >= limits.maxBytes()) {
      return refuse(
          Refusal.nothingSent(Reason.RECORDS_FULL, entries.size() + " records")
              .withRetryAfter(Duration.ofSeconds(5)));
    }
    entries.put(recordId, new Entry(bodyHash, now()));
    return new Opening.Start();
  }

  private static Opening refuse(Refusal refusal) {
    return new Opening.Wait(CompletableFuture.completedFuture(new OnceOutcome.Refused(refusal)));
  }

  private static Refusal gone() {
    return Refusal.mayHaveRun(Reason.RECORD_GONE, "no record of it is left");
  }

  /** Takes the outcome of a request that was started; one that did not run may run later. */
  public void finish(String recordId, OnceOutcome outcome) {
    CompletableFuture<OnceOutcome> waiting;
    synchronized (this) {
      Entry entry = entries.get(recordId);
      checkState(entry != null && entry.running, "record %s was not started", recordId);
      entry.running = false;
      waiting = entry.outcome;
      if (outcome.isNotRun()) {
        entry.outcome = new CompletableFuture<>();
      } else {
        bytes += outcome.size();
      }
    }
    waiting.complete(outcome);
  }

  /** Unmakes a record whose claim went to another; nobody else knows its name. */
  public synchronized void discard(String recordId) {
    entries.remove(recordId);
  }

  @GuardedBy("this")
  private void forgetOld() {
    long old = now() - limits.recordRetention().toNanos();
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (entry.madeAt - old > 0) {
        return;
      }
      if (!entry.running) {
        bytes -= entry.outcome.isDone() ? entry.outcome.join().size() : 0;
        oldest.remove();
      }
    }
  }

  /** Returns the records to hand over; to be called once nothing runs any more. */
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

  /** Takes another node's records in. */
  public synchronized void adopt(Iterable<OnceRecord> records) {
    for (OnceRecord record : records) {
      Entry entry = new Entry(record.bodyHash(), now());
      entry.running = false;
      record.outcome().ifPresent(entry.outcome::complete);
      bytes += record.outcome().map(OnceOutcome::size).orElse(0);
      entries.putIfAbsent(record.recordId(), entry);
    }
  }

  /** Returns how many records are held. */
  public synchronized int size() {
    return entries.size();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
