package org.vaneworks.tests.shared;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.SharedStoreException;
import org.vaneworks.coordination.shared.SharedStoreException.Kind;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreEraTracker;
import org.vaneworks.coordination.shared.StoreSnapshot;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.StorePosition;

/**
 * An in-memory shared store on a simulated clock, which can be made unavailable, lose responses,
 * lose its history, and be restored from a backup.
 */
public final class InMemorySharedStore implements SharedStore {
  private record Lease(Duration lifetime, long renewedAt) {}

  private record Stored(StoredItem item, long lease) {}

  /** The whole state of the store. */
  private record Backup(
      Map<String, Stored> items,
      List<StoreChanges.Change> history,
      Map<Long, Lease> leases,
      long revision,
      long nextLease) {}

  private final Executor clock;
  private final Map<String, Stored> items = new TreeMap<>();
  private final List<StoreChanges.Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new TreeMap<>();
  final List<String> calls = new ArrayList<>();
  private long revision;
  private long nextLease = 1;
  public boolean down;
  public boolean losesAnswers;
  private boolean historyLost;
  private long era = 1;
  private long historyFrom;

  /** Whether the history before the latest restore is lost, so that watches from there fail. */
  public boolean backupsHaveNoHistory;

  private final StoreEraTracker eras = StoreEraTracker.create();
  private Backup backup;

  public InMemorySharedStore(Executor clock) {
    this.clock = clock;
  }

  public void put(String key, String value) {
    store(key, value, 0);
  }

  public void forgetHistory() {
    historyLost = true;
  }

  public boolean has(String key) {
    expireLeases();
    return items.containsKey(key);
  }

  /** Returns the value of a key; empty if it is absent. */
  public Optional<String> valueOf(String key) {
    expireLeases();
    return Optional.ofNullable(items.get(key)).map(stored -> stored.item().value());
  }

  /** Returns all keys. */
  public ImmutableList<String> keys() {
    expireLeases();
    return ImmutableList.copyOf(items.keySet());
  }

  private void store(String key, String value, long lease) {
    revision++;
    Stored before = items.get(key);
    StorePosition created = before == null ? position() : before.item().createdAt();
    StoredItem item = new StoredItem(key, value, position(), created);
    items.put(key, new Stored(item, lease));
    history.add(new StoreChanges.Change(item, false));
  }

  public void remove(String key) {
    revision++;
    items.remove(key);
    history.add(
        new StoreChanges.Change(new StoredItem(key, "", position(), StorePosition.START), true));
  }

  /** Removes all keys under a prefix. */
  public void removeAll(String prefix) {
    List<String> keys = items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    keys.forEach(this::remove);
  }

  /** Returns the number of calls received. */
  public int calls() {
    return calls.size();
  }

  /** Returns the number of calls that write. */
  public long writes() {
    return calls.stream().filter(call -> !call.equals("list") && !call.equals("watch")).count();
  }

  /** Saves the current state for {@link #restoreBackup}. */
  public void takeBackup() {
    expireLeases();
    backup =
        new Backup(
            new TreeMap<>(items),
            new ArrayList<>(history),
            new TreeMap<>(leases),
            revision,
            nextLease);
  }

  /** Saves an empty state for {@link #restoreBackup}. */
  public void takeEmptyBackup() {
    backup = new Backup(new TreeMap<>(), new ArrayList<>(), new TreeMap<>(), 0, 1);
  }

  /**
   * Restores the backup: later writes are lost, and their revisions and lease ids are used again.
   * Leases in the backup start with their full lifetime.
   */
  public void restoreBackup() {
    if (backup == null) {
      return;
    }
    long now = clock.currentTime(TimeUnit.NANOSECONDS);
    items.clear();
    items.putAll(backup.items());
    history.clear();
    if (!backupsHaveNoHistory) {
      history.addAll(backup.history());
    }
    leases.clear();
    backup.leases().forEach((id, lease) -> leases.put(id, new Lease(lease.lifetime(), now)));
    revision = backup.revision();
    nextLease = backup.nextLease();
    historyFrom = backupsHaveNoHistory ? revision : 0;
    era++;
  }

  /** Returns the current era: one more than the number of restores. */
  public long era() {
    return era;
  }

  /** Stored positions have era 0; responses carry the current era. */
  private StorePosition position() {
    return new StorePosition(0, revision);
  }

  private StorePosition withEra(StorePosition position) {
    return new StorePosition(era, position.revision());
  }

  private StoredItem withEra(StoredItem item) {
    return new StoredItem(
        item.key(), item.value(), withEra(item.changedAt()), withEra(item.createdAt()));
  }

  private void expireLeases() {
    long now = clock.currentTime(TimeUnit.NANOSECONDS);
    Set<Long> expired = new HashSet<>();
    leases.forEach(
        (id, lease) -> {
          if (now - lease.renewedAt() > lease.lifetime().toNanos()) {
            expired.add(id);
          }
        });
    expired.forEach(this::end);
  }

  private void end(long lease) {
    leases.remove(lease);
    List<String> keys =
        items.values().stream()
            .filter(stored -> stored.lease() == lease)
            .map(stored -> stored.item().key())
            .toList();
    keys.forEach(this::remove);
  }

  private <T> CompletableFuture<T> answer(String call, java.util.function.Supplier<T> work) {
    calls.add(call);
    expireLeases();
    if (down) {
      return failed(Kind.WITHOUT_EFFECT);
    }
    eras.accepts(OptionalLong.of(era));
    T result = work.get();
    return losesAnswers ? failed(Kind.UNKNOWN_EFFECT) : CompletableFuture.completedFuture(result);
  }

  private static <T> CompletableFuture<T> failed(Kind kind) {
    return CompletableFuture.failedFuture(SharedStoreException.of(kind, kind.name()));
  }

  @Override
  public void onNewEra(LongConsumer listener) {
    eras.onChange(listener);
  }

  @Override
  public CompletableFuture<StoreSnapshot> list(String prefix) {
    return answer(
        "list",
        () -> {
          historyLost = false;
          return new StoreSnapshot(
              items.values().stream()
                  .map(stored -> withEra(stored.item()))
                  .filter(item -> item.key().startsWith(prefix))
                  .collect(ImmutableList.toImmutableList()),
              withEra(position()));
        });
  }

  @Override
  public CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait) {
    calls.add("watch");
    CompletableFuture<StoreChanges> answer = new CompletableFuture<>();
    long until = clock.currentTime(TimeUnit.NANOSECONDS) + wait.toNanos();
    completeWatch(prefix, after, until, answer);
    return answer;
  }

  private void completeWatch(
      String prefix, StorePosition after, long until, CompletableFuture<StoreChanges> answer) {
    expireLeases();
    boolean unknown = after.revision() > revision || after.revision() < historyFrom;
    if (!down) {
      eras.accepts(OptionalLong.of(era));
    }
    if (down || historyLost || unknown) {
      Kind kind = down ? Kind.WITHOUT_EFFECT : Kind.HISTORY_LOST;
      answer.completeExceptionally(SharedStoreException.of(kind, kind.name()));
      return;
    }
    ImmutableList<StoreChanges.Change> changes =
        history.stream()
            .filter(change -> change.item().changedAt().revision() > after.revision())
            .filter(change -> change.item().key().startsWith(prefix))
            .map(change -> new StoreChanges.Change(withEra(change.item()), change.removed()))
            .collect(ImmutableList.toImmutableList());
    if (!changes.isEmpty() || clock.currentTime(TimeUnit.NANOSECONDS) >= until) {
      answer.complete(new StoreChanges(changes, withEra(position())));
      return;
    }
    clock.schedule(() -> completeWatch(prefix, after, until, answer), 5, TimeUnit.MILLISECONDS);
  }

  @Override
  public CompletableFuture<Optional<StorePosition>> create(String key, String value, long lease) {
    return answer(
        "create",
        () -> {
          if (items.containsKey(key) || !leases.containsKey(lease)) {
            return Optional.empty();
          }
          store(key, value, lease);
          return Optional.of(withEra(position()));
        });
  }

  @Override
  public CompletableFuture<Long> openLease(Duration lifetime) {
    return answer(
        "lease",
        () -> {
          leases.put(nextLease, new Lease(lifetime, clock.currentTime(TimeUnit.NANOSECONDS)));
          return nextLease++;
        });
  }

  @Override
  public CompletableFuture<Boolean> renew(long lease) {
    return answer(
        "renew",
        () -> {
          Lease known = leases.get(lease);
          if (known != null) {
            long now = clock.currentTime(TimeUnit.NANOSECONDS);
            leases.put(lease, new Lease(known.lifetime(), now));
          }
          return known != null;
        });
  }

  @Override
  public CompletableFuture<Void> endLease(long lease) {
    return answer(
        "end",
        () -> {
          end(lease);
          return null;
        });
  }
}
