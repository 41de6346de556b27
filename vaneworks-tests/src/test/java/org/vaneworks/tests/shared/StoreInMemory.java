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
import org.vaneworks.coordination.shared.StoreEras;
import org.vaneworks.coordination.shared.StoreView;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.StorePosition;

/** The shared store under a paused clock, with outages, lost answers and forgotten history. */
public final class StoreInMemory implements SharedStore {
  private record Lease(Duration lifetime, long renewedAt) {}

  private record Stored(StoredItem item, long lease) {}

  /** All that the store keeps. */
  private record Copy(
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
  private boolean forgot;
  private long era = 1;
  private long historyFrom;

  /** Whether the history before the newest return is gone too, as told to watches. */
  public boolean copiesHaveNoHistory;

  private final StoreEras eras = StoreEras.create();
  private Copy copy;

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

  /** Returns what a key holds. */
  public Optional<String> valueOf(String key) {
    lapse();
    return Optional.ofNullable(items.get(key)).map(stored -> stored.item().value());
  }

  /** Returns all keys. */
  public ImmutableList<String> keys() {
    lapse();
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

  /** Returns how many calls came. */
  public int calls() {
    return calls.size();
  }

  /** Returns how many calls asked for a change. */
  public long writes() {
    return calls.stream().filter(call -> !call.equals("list") && !call.equals("watch")).count();
  }

  /** Keeps all that is there now for {@link #comeBackFromCopy}. */
  public void takeCopy() {
    lapse();
    copy =
        new Copy(
            new TreeMap<>(items),
            new ArrayList<>(history),
            new TreeMap<>(leases),
            revision,
            nextLease);
  }

  /** Keeps an empty store for {@link #comeBackFromCopy}. */
  public void copyNothing() {
    copy = new Copy(new TreeMap<>(), new ArrayList<>(), new TreeMap<>(), 0, 1);
  }

  /**
   * Goes back to the copy: what was written since is gone, and its numbers are given out again.
   * Leases of the copy are renewed by that, as their time counts anew.
   */
  public void comeBackFromCopy() {
    if (copy == null) {
      return;
    }
    long now = clock.currentTime(TimeUnit.NANOSECONDS);
    items.clear();
    items.putAll(copy.items());
    history.clear();
    if (!copiesHaveNoHistory) {
      history.addAll(copy.history());
    }
    leases.clear();
    copy.leases().forEach((id, lease) -> leases.put(id, new Lease(lease.lifetime(), now)));
    revision = copy.revision();
    nextLease = copy.nextLease();
    historyFrom = copiesHaveNoHistory ? revision : 0;
    era++;
  }

  /** Returns how often it came back from a copy, and one. */
  public long era() {
    return era;
  }

  /** The store itself numbers without an era; whoever reads adds that of the answer. */
  private StorePosition position() {
    return new StorePosition(0, revision);
  }

  private StorePosition told(StorePosition position) {
    return new StorePosition(era, position.revision());
  }

  private StoredItem told(StoredItem item) {
    return new StoredItem(item.key(), item.value(), told(item.changedAt()), told(item.createdAt()));
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
  public CompletableFuture<StoreView> list(String prefix) {
    return answer(
        "list",
        () -> {
          forgot = false;
          return new StoreView(
              items.values().stream()
                  .map(stored -> told(stored.item()))
                  .filter(item -> item.key().startsWith(prefix))
                  .collect(ImmutableList.toImmutableList()),
              told(position()));
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
    boolean unknown = after.revision() > revision || after.revision() < historyFrom;
    if (!down) {
      eras.accepts(OptionalLong.of(era));
    }
    if (down || forgot || unknown) {
      Kind kind = down ? Kind.WITHOUT_EFFECT : Kind.HISTORY_LOST;
      answer.completeExceptionally(SharedStoreException.of(kind, kind.name()));
      return;
    }
    ImmutableList<StoreChanges.Change> changes =
        history.stream()
            .filter(change -> change.item().changedAt().revision() > after.revision())
            .filter(change -> change.item().key().startsWith(prefix))
            .map(change -> new StoreChanges.Change(told(change.item()), change.removed()))
            .collect(ImmutableList.toImmutableList());
    if (!changes.isEmpty() || clock.currentTime(TimeUnit.NANOSECONDS) >= until) {
      answer.complete(new StoreChanges(changes, told(position())));
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
          return Optional.of(told(position()));
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
