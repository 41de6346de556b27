package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.boxes.Box.Role;
import org.vaneworks.coordination.boxes.BoxList;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.store.StoreException;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Keeps the endpoint table true to the platform's box list and the endpoints' own reports.
 *
 * <p>An endpoint gets no new work as soon as any source says that it leaves. Thread-safe.
 */
public final class EndpointMonitor {
  private static final long MILLIS_PER_SECOND = 1000;
  private static final Duration LIST_EVERY = Duration.ofSeconds(1);
  private static final Duration LIST_SELDOM = Duration.ofSeconds(10);
  private static final Duration LIST_LIMIT = Duration.ofSeconds(1);
  private static final Duration STATUS_EVERY = Duration.ofSeconds(1);

  /**
   * Status calls a second at most, so that their cost does not grow with the fleet; the calls of
   * requests show an endpoint's health sooner than its status does.
   */
  private static final int STATUS_CALLS_PER_SECOND = 20;

  private static final Duration STATUS_LIMIT = Duration.ofMillis(800);

  /** How many lists in a row must lack a box before it counts as gone: the list lags. */
  private static final int MISSES_UNTIL_GONE = 3;

  private static final class Watched {
    private final Box box;
    private Optional<EndpointId> known = Optional.empty();
    private int misses;

    Watched(Box box) {
      this.box = box;
    }
  }

  private final Executor executor;
  private final BoxList list;
  private final EndpointClient client;
  private final EndpointTable table;
  private final Random random;
  private final BooleanSupplier readsOften;
  private final Consumer<ImmutableList<Box>> onBoxes;

  @GuardedBy("this")
  private final Map<HostPort, Watched> watched = new HashMap<>();

  private volatile boolean stopped;
  private volatile Runnable onUsable = () -> {};

  private EndpointMonitor(
      Executor executor,
      BoxList list,
      EndpointClient client,
      EndpointTable table,
      Random random,
      BooleanSupplier readsOften,
      Consumer<ImmutableList<Box>> onBoxes) {
    this.executor = checkNotNull(executor);
    this.list = checkNotNull(list);
    this.client = checkNotNull(client);
    this.table = checkNotNull(table);
    this.random = checkNotNull(random);
    this.readsOften = checkNotNull(readsOften);
    this.onBoxes = checkNotNull(onBoxes);
  }

  /**
   * Returns a monitor that is yet to be started.
   *
   * @param readsOften whether this node is among those that read the list often; the others hear of
   *     leaving endpoints from them
   * @param onBoxes is told of each list that was read
   */
  public static EndpointMonitor create(
      Executor executor,
      BoxList list,
      EndpointClient client,
      EndpointTable table,
      Random random,
      BooleanSupplier readsOften,
      Consumer<ImmutableList<Box>> onBoxes) {
    return new EndpointMonitor(executor, list, client, table, random, readsOften, onBoxes);
  }

  /** Sets what runs when an endpoint was found, for requests that wait. */
  public void onUsable(Runnable listener) {
    onUsable = checkNotNull(listener);
  }

  /** Starts to poll. */
  public void start() {
    executor.execute(this::readList);
  }

  /** Stops to poll. */
  public void stop() {
    stopped = true;
  }

  private void readList() {
    if (stopped) {
      return;
    }
    RuntimeException late = StoreException.withoutEffect("the box list did not answer in time");
    Async.onDone(
        Async.withTimeout(executor, LIST_LIMIT, list.boxes(), late),
        executor,
        (boxes, failure) -> {
          if (failure == null) {
            listed(boxes);
          } else {
            EventLog.warn(Event.BOX_LIST_FAILED, "cause", failure.getMessage());
          }
          boolean often = readsOften.getAsBoolean() || failure != null;
          executor.schedule(this::readList, jittered(often ? LIST_EVERY : LIST_SELDOM));
        });
  }

  private void listed(ImmutableList<Box> boxes) {
    onBoxes.accept(boxes);
    Set<HostPort> present = new HashSet<>();
    for (Box box : boxes) {
      if (box.role() == Role.ENDPOINT) {
        present.add(box.address());
        noteBox(box);
      }
    }
    dropMissing(present);
  }

  private void noteBox(Box box) {
    Watched watch;
    boolean added;
    synchronized (this) {
      added = !watched.containsKey(box.address());
      watch = watched.computeIfAbsent(box.address(), address -> new Watched(box));
      watch.misses = 0;
    }
    if (added) {
      pollStatus(watch);
    }
    if (box.leaving()) {
      stateOf(watch).ifPresent(state -> table.leaving(state, "box list"));
    }
  }

  private void dropMissing(Set<HostPort> present) {
    Set<EndpointId> gone = new HashSet<>();
    Set<HostPort> unlisted = new HashSet<>();
    synchronized (this) {
      for (Watched watch : ImmutableList.copyOf(watched.values())) {
        if (!present.contains(watch.box.address()) && ++watch.misses >= MISSES_UNTIL_GONE) {
          watched.remove(watch.box.address());
          unlisted.add(watch.box.address());
          watch.known.ifPresent(gone::add);
        }
      }
    }
    gone.forEach(table::remove);
    unlisted.forEach(client::forget);
  }

  private synchronized Optional<EndpointState> stateOf(Watched watch) {
    return watch.known.flatMap(table::find);
  }

  private synchronized boolean isWatched(Watched watch) {
    return watched.get(watch.box.address()) == watch;
  }

  private void pollStatus(Watched watch) {
    if (stopped || !isWatched(watch)) {
      return;
    }
    long sentAt = executor.currentTime(NANOSECONDS);
    RuntimeException late = StoreException.withoutEffect("no status in time");
    Async.onDone(
        Async.withTimeout(executor, STATUS_LIMIT, client.status(watch.box.address()), late),
        executor,
        (status, failure) -> {
          if (failure == null) {
            described(watch, status, Duration.ofNanos(executor.currentTime(NANOSECONDS) - sentAt));
          } else {
            stateOf(watch).ifPresent(table::doubt);
          }
          executor.schedule(() -> pollStatus(watch), jittered(statusEvery()));
        });
  }

  private void described(Watched watch, EndpointStatus status, Duration roundTrip) {
    EndpointId id = status.endpoint().id();
    Optional<EndpointId> before;
    synchronized (this) {
      before = watch.known;
      watch.known = Optional.of(id);
    }
    before.filter(old -> !old.equals(id)).ifPresent(table::remove);
    EndpointState state = table.add(status.endpoint());
    state.statusAnswered(status, roundTrip);
    if (status.leaving() || watch.box.leaving()) {
      table.leaving(state, "status");
    }
    if (state.isUsable()) {
      onUsable.run();
    }
  }

  private synchronized Duration statusEvery() {
    Duration affordable =
        Duration.ofMillis(MILLIS_PER_SECOND * watched.size() / STATUS_CALLS_PER_SECOND);
    return affordable.compareTo(STATUS_EVERY) > 0 ? affordable : STATUS_EVERY;
  }

  private Duration jittered(Duration base) {
    return Duration.ofNanos((long) (base.toNanos() * (0.8 + random.nextDouble() * 0.4)));
  }
}
