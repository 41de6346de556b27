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
 * Keeps the endpoint table up to date from the platform's box list and the endpoints' own status.
 *
 * <p>An endpoint gets no new work as soon as any source reports that it is leaving. Thread-safe.
 */
public final class EndpointMonitor {
  private static final long MILLIS_PER_SECOND = 1000;
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration LONG_LIST_INTERVAL = Duration.ofSeconds(10);
  private static final Duration LIST_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration MIN_STATUS_INTERVAL = Duration.ofSeconds(1);

  /**
   * Maximum rate of status calls, so that their cost does not grow with the fleet. The calls of
   * requests show an endpoint's health sooner than its status does.
   */
  private static final int MAX_STATUS_CALLS_PER_SECOND = 20;

  private static final Duration STATUS_TIMEOUT = Duration.ofMillis(800);

  /**
   * Number of consecutive lists that must lack a box before it is removed, because the list lags.
   */
  private static final int MISSES_UNTIL_REMOVED = 3;

  /**
   * How long a box must be missing from the list before it is removed although its endpoint answers
   * status calls; several lists in a row may be incomplete, for example after an outage.
   */
  private static final Duration ANSWERING_RETENTION = Duration.ofSeconds(15);

  private static final class WatchedBox {
    private final Box box;
    private Optional<EndpointId> endpointId = Optional.empty();
    private int misses;
    private long missingSince;
    private boolean answers;

    WatchedBox(Box box) {
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
  private final Map<HostPort, WatchedBox> watchedBoxes = new HashMap<>();

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
   * Returns a monitor that is not started yet.
   *
   * @param readsOften whether this node is one of those that read the list at the short interval;
   *     the other nodes learn of leaving endpoints from them
   * @param onBoxes receives each list that was read
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

  /**
   * Sets a listener that runs when an endpoint becomes usable, so that waiting requests can be
   * sent.
   */
  public void onUsable(Runnable listener) {
    onUsable = checkNotNull(listener);
  }

  /** Starts polling. */
  public void start() {
    executor.execute(this::readList);
  }

  /** Stops polling. */
  public void stop() {
    stopped = true;
  }

  private void readList() {
    if (stopped) {
      return;
    }
    RuntimeException timeout = StoreException.withoutEffect("the box list did not answer in time");
    Async.onDone(
        Async.withTimeout(executor, LIST_TIMEOUT, list.boxes(), timeout),
        executor,
        (boxes, failure) -> {
          if (failure == null) {
            updateBoxes(boxes);
          } else {
            EventLog.warn(Event.BOX_LIST_FAILED, "cause", failure.getMessage());
          }
          boolean frequent = readsOften.getAsBoolean() || failure != null;
          executor.schedule(
              this::readList, jittered(frequent ? LIST_INTERVAL : LONG_LIST_INTERVAL));
        });
  }

  private void updateBoxes(ImmutableList<Box> boxes) {
    onBoxes.accept(boxes);
    Set<HostPort> present = new HashSet<>();
    for (Box box : boxes) {
      if (box.role() == Role.ENDPOINT) {
        present.add(box.address());
        updateBox(box);
      }
    }
    removeMissing(present);
  }

  private void updateBox(Box box) {
    WatchedBox watched;
    boolean added;
    synchronized (this) {
      added = !watchedBoxes.containsKey(box.address());
      watched = watchedBoxes.computeIfAbsent(box.address(), address -> new WatchedBox(box));
      watched.misses = 0;
    }
    if (added) {
      pollStatus(watched);
    }
    if (box.leaving()) {
      stateOf(watched).ifPresent(state -> table.markLeaving(state, "box list"));
    }
  }

  private void removeMissing(Set<HostPort> present) {
    Set<EndpointId> removedIds = new HashSet<>();
    Set<HostPort> unlisted = new HashSet<>();
    synchronized (this) {
      for (WatchedBox watched : ImmutableList.copyOf(watchedBoxes.values())) {
        if (!present.contains(watched.box.address()) && isToBeRemoved(watched)) {
          watchedBoxes.remove(watched.box.address());
          unlisted.add(watched.box.address());
          watched.endpointId.ifPresent(removedIds::add);
        }
      }
    }
    removedIds.forEach(table::remove);
    unlisted.forEach(client::closeConnections);
  }

  /** Counts a list that lacks the box; returns whether the box is to be removed. */
  @GuardedBy("this")
  private boolean isToBeRemoved(WatchedBox watched) {
    long now = executor.currentTime(NANOSECONDS);
    if (watched.misses == 0) {
      watched.missingSince = now;
    }
    watched.misses++;
    boolean missingForLong = now - watched.missingSince >= ANSWERING_RETENTION.toNanos();
    return watched.misses >= MISSES_UNTIL_REMOVED && (!watched.answers || missingForLong);
  }

  private synchronized Optional<EndpointState> stateOf(WatchedBox watched) {
    return watched.endpointId.flatMap(table::find);
  }

  private synchronized boolean isWatched(WatchedBox watched) {
    return watchedBoxes.get(watched.box.address()) == watched;
  }

  private void pollStatus(WatchedBox watched) {
    if (stopped || !isWatched(watched)) {
      return;
    }
    long sentAt = executor.currentTime(NANOSECONDS);
    RuntimeException timeout =
        StoreException.withoutEffect("the endpoint did not answer the status call in time");
    Async.onDone(
        Async.withTimeout(executor, STATUS_TIMEOUT, client.status(watched.box.address()), timeout),
        executor,
        (status, failure) -> {
          synchronized (this) {
            watched.answers = failure == null;
          }
          if (failure == null) {
            updateStatus(
                watched, status, Duration.ofNanos(executor.currentTime(NANOSECONDS) - sentAt));
          } else {
            stateOf(watched).ifPresent(table::recordStatusFailure);
          }
          executor.schedule(() -> pollStatus(watched), jittered(statusInterval()));
        });
  }

  private void updateStatus(WatchedBox watched, EndpointStatus status, Duration roundTrip) {
    EndpointId id = status.endpoint().id();
    Optional<EndpointId> previous;
    synchronized (this) {
      previous = watched.endpointId;
      watched.endpointId = Optional.of(id);
    }
    previous.filter(old -> !old.equals(id)).ifPresent(table::remove);
    EndpointState state = table.add(status.endpoint());
    state.recordStatus(status, roundTrip);
    if (status.leaving() || watched.box.leaving()) {
      table.markLeaving(state, "status");
    }
    if (state.isUsable()) {
      onUsable.run();
    }
  }

  private synchronized Duration statusInterval() {
    Duration limitedByRate =
        Duration.ofMillis(MILLIS_PER_SECOND * watchedBoxes.size() / MAX_STATUS_CALLS_PER_SECOND);
    return limitedByRate.compareTo(MIN_STATUS_INTERVAL) > 0 ? limitedByRate : MIN_STATUS_INTERVAL;
  }

  private Duration jittered(Duration base) {
    return Duration.ofNanos((long) (base.toNanos() * (0.8 + random.nextDouble() * 0.4)));
  }
}
