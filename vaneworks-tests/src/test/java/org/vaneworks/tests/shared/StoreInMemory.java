package org.vaneworks.tests.shared;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.vaneworks.coordination.shared.SharedStore;
import org.vaneworks.coordination.shared.SharedStoreException;
import org.vaneworks.coordination.shared.SharedStoreException.Kind;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreView;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.StorePosition;

/** The shared store under a paused clock, with outages, lost answers and forgotten history. */
public final class StoreInMemory implements SharedStore {
  private record Lease(Duration lifetime, long renewedAt) {}

  private record Stored(StoredItem item, long lease) {}

  private final Executor clock;
  private final Map<String, Stored> items = new TreeMap<>();
  private final List<StoreChanges.Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new TreeMap<>();
  final List<String> calls = new ArrayList<>();
  private long revision;
  private long nextLease = 1;
  public boolean down;
  public boolean losesAnswers;
  private boolean forgot;

  public StoreInMemory(Executor clock) {
    this.clock = clock;
  }

  public void put(String key, String value) {
    store(key, value, 0);
  }

  public void forgetHistory() {
    forgot = true;
  }

  public boolean has(String key) {
    lapse();
    return items.containsKey(key);
  }

  private void store(String key, String value, long lease) {
    revision++;
    Stored before = items.get(key);
    StorePosition created = before == null ? position() : before.item().createdAt();
    StoredItem item = new StoredItem(key, value, position(), created, lease);
    items.put(key, new Stored(item, lease));
    history.add(new StoreChanges.Change(item, false));
  }

  public void remove(String key) {
    revision++;
    items.remove(key);
    history.add(
        new StoreChanges.Change(new StoredItem(key, "", position(), StorePosition.START, 0), true));
  }

  /** Removes all keys under a prefix. */
  public void removeAll(String prefix) {
    List<String> keys = items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    keys.forEach(this::remove);
  }

  /** Returns how many calls asked for a change. */
  public long writes() {
    return calls.stream().filter(call -> !call.equals("list") && !call.equals("watch")).count();
  }

  private StorePosition position() {
    return new StorePosition(0, revision);
  }

  private void lapse() {
    long now = clock.currentTime(TimeUnit.NANOSECONDS);
    Set<Long> over = new HashSet<>();
    leases.forEach(
        (id, lease) -> {
          if (now - lease.renewedAt() > lease.lifetime().toNanos()) {
            over.add(id);
          }
        });
    over.forEach(this::end);
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
    lapse();
    if (down) {
      return failed(Kind.WITHOUT_EFFECT);
    }
    T result = work.get();
    return losesAnswers ? failed(Kind.UNKNOWN_EFFECT) : CompletableFuture.completedFuture(result);
  }

  private static <T> CompletableFuture<T> failed(Kind kind) {
    return CompletableFuture.failedFuture(SharedStoreException.of(kind, kind.name()));
  }

  @Override
  public CompletableFuture<StoreView> list(String prefix) {
    return answer(
        "list",
        () -> {
          forgot = false;
          return new StoreView(
              items.values().stream()
                  .map(Stored::item)
                  .filter(item -> item.key().startsWith(prefix))
                  .collect(ImmutableList.toImmutableList()),
              position());
        });
  }

  @Override
  public CompletableFuture<StoreChanges> watch(String prefix, StorePosition after, Duration wait) {
    calls.add("watch");
    CompletableFuture<StoreChanges> answer = new CompletableFuture<>();
    long until = clock.currentTime(TimeUnit.NANOSECONDS) + wait.toNanos();
    look(prefix, after, until, answer);
    return answer;
  }

  private void look(
      String prefix, StorePosition after, long until, CompletableFuture<StoreChanges> answer) {
    lapse();
    if (down || forgot) {
      Kind kind = down ? Kind.WITHOUT_EFFECT : Kind.HISTORY_LOST;
      answer.completeExceptionally(SharedStoreException.of(kind, kind.name()));
      return;
    }
    ImmutableList<StoreChanges.Change> changes =
        history.stream()
            .filter(change -> change.item().changedAt().isAfter(after))
            .filter(change -> change.item().key().startsWith(prefix))
            .collect(ImmutableList.toImmutableList());
    if (!changes.isEmpty() || clock.currentTime(TimeUnit.NANOSECONDS) >= until) {
      answer.complete(new StoreChanges(changes, position()));
      return;
    }
    clock.schedule(() -> look(prefix, after, until, answer), 5, TimeUnit.MILLISECONDS);
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
          return Optional.of(position());
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
