package org.vaneworks.testlib;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.store.PlatformStore;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.coordination.store.StoreException;
import org.vaneworks.coordination.store.StorePurpose;

/**
 * An in-memory implementation of the platform's key-value store, with fault injection.
 *
 * <p>Thread-safe; futures are completed without holding a lock.
 */
public final class StoreCore implements PlatformStore {
  /** Maximum length of a value, the same as the platform's limit. */
  private static final int MAX_VALUE = 1 << 20;

  private record Watch(String key, long after, CompletableFuture<Optional<StoreEntry>> answer) {}

  private final Executor executor;

  @GuardedBy("this")
  private final Map<String, StoreEntry> entries = new HashMap<>();

  @GuardedBy("this")
  private final List<Watch> watches = new ArrayList<>();

  @GuardedBy("this")
  private final Map<String, Long> calls = new TreeMap<>();

  private volatile boolean down;
  private volatile Duration delay = Duration.ZERO;
  private volatile int answersToLose;
  private volatile String keySuffixOfLostAnswers = "";

  private StoreCore(Executor executor) {
    this.executor = executor;
  }

  /** Returns an empty store. */
  public static StoreCore create(Executor executor) {
    return new StoreCore(executor);
  }

  /** Sets whether the store is down and fails every call. */
  public void setDown(boolean isDown) {
    down = isDown;
    if (isDown) {
      failWatches();
    }
  }

  private void failWatches() {
    List<Watch> failed;
    synchronized (this) {
      failed = List.copyOf(watches);
      watches.clear();
    }
    failed.forEach(watch -> watch.answer().completeExceptionally(unavailable()));
  }

  /** Delays every answer. */
  public void delayAnswers(Duration answerDelay) {
    delay = answerDelay;
  }

  /** Loses the answers to the next writes, which still take effect. */
  public void loseAnswers(int count) {
    loseAnswers(count, "");
  }

  /** Loses the answers to the next writes of keys with a suffix; the writes still take effect. */
  public void loseAnswers(int count, String keySuffix) {
    answersToLose = count;
    keySuffixOfLostAnswers = keySuffix;
  }

  /** Returns the number of calls by kind. */
  public synchronized ImmutableMap<String, Long> calls() {
    return ImmutableMap.copyOf(calls);
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> read(String key, StorePurpose purpose) {
    if (!count("read")) {
      return CompletableFuture.failedFuture(unavailable());
    }
    return delayed(find(key));
  }

  private synchronized Optional<StoreEntry> find(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  @Override
  public CompletableFuture<Optional<Long>> compareAndSwap(
      String key, long expectedRevision, String value, StorePurpose purpose) {
    if (!count("write")) {
      return CompletableFuture.failedFuture(unavailable());
    }
    if (value.length() > MAX_VALUE) {
      return CompletableFuture.failedFuture(
          StoreException.withoutEffect("value of " + key + " is over " + MAX_VALUE));
    }
    Optional<Long> written = write(key, expectedRevision, value);
    if (answersToLose > 0 && key.endsWith(keySuffixOfLostAnswers)) {
      answersToLose--;
      return CompletableFuture.failedFuture(StoreException.unknownEffect("no answer"));
    }
    return delayed(written);
  }

  private Optional<Long> write(String key, long expectedRevision, String value) {
    List<Watch> triggered = new ArrayList<>();
    StoreEntry next;
    synchronized (this) {
      long revision = find(key).map(StoreEntry::revision).orElse(0L);
      if (revision != expectedRevision) {
        return Optional.empty();
      }
      next = new StoreEntry(key, revision + 1, value);
      entries.put(key, next);
      for (Watch watch : List.copyOf(watches)) {
        if (watch.key().equals(key) && next.revision() > watch.after()) {
          watches.remove(watch);
          triggered.add(watch);
        }
      }
    }
    triggered.forEach(watch -> watch.answer().complete(Optional.of(next)));
    return Optional.of(next.revision());
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> watch(
      String key, long afterRevision, Duration wait) {
    if (!count("watch")) {
      return CompletableFuture.failedFuture(unavailable());
    }
    Watch watch = new Watch(key, afterRevision, new CompletableFuture<>());
    synchronized (this) {
      Optional<StoreEntry> present = find(key);
      if (present.isPresent() && present.get().revision() > afterRevision) {
        return delayed(present);
      }
      watches.add(watch);
    }
    executor.schedule(() -> expire(watch), wait);
    return watch.answer();
  }

  private void expire(Watch watch) {
    synchronized (this) {
      watches.remove(watch);
    }
    watch.answer().complete(Optional.empty());
  }

  private synchronized boolean count(String kind) {
    calls.merge(kind, 1L, Long::sum);
    return !down;
  }

  private <T> CompletableFuture<T> delayed(T value) {
    if (delay.isZero()) {
      return CompletableFuture.completedFuture(value);
    }
    CompletableFuture<T> answer = new CompletableFuture<>();
    executor.schedule(() -> answer.complete(value), delay);
    return answer;
  }

  private static StoreException unavailable() {
    return StoreException.withoutEffect("the store is down");
  }
}
