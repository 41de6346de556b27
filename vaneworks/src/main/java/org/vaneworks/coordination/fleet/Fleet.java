package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vaneworks.state.HostPort;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * The table of all endpoints.
 *
 * <p>An endpoint that the list stops naming gets no new work at once. Only after an outage of the
 * store it is kept for a grace period: entries lapse while endpoints can't renew them, and come
 * back soon after it. A node can't see whether the store was away for all or for itself alone, but
 * the list shows it afterwards: an entry that outlived the silence proves that the store went on
 * without this node, so whatever is missing has left. Confined to the node's event loop.
 */
public final class Fleet {
  private final Executor clock;
  private final Counters counters;
  private final Duration relistGrace;
  private final Map<String, TrackedEndpoint> byId = new LinkedHashMap<>();
  private final List<Consumer<TrackedEndpoint>> suspicionListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> removalListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> leavingListeners = new ArrayList<>();
  private long storeSilentAt = Long.MIN_VALUE / 2;
  private long revisionBeforeSilence = -1;

  private Fleet(Executor clock, Counters counters, Duration relistGrace) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    this.relistGrace = checkNotNull(relistGrace);
  }

  /**
   * Returns an empty table.
   *
   * @param relistGrace how long an endpoint whose entry may have lapsed in an outage is kept,
   *     counted from the beginning of the last call to the store that failed
   */
  public static Fleet create(Executor clock, Counters counters, Duration relistGrace) {
    return new Fleet(clock, counters, relistGrace);
  }

  /** Calls back when an endpoint becomes suspected. */
  public void onSuspicion(Consumer<TrackedEndpoint> listener) {
    suspicionListeners.add(listener);
  }

  /** Calls back when an endpoint announces that it will end. */
  public void onLeaving(Consumer<TrackedEndpoint> listener) {
    leavingListeners.add(listener);
  }

  /** Calls back when an endpoint leaves the table. */
  public void onRemoval(Consumer<TrackedEndpoint> listener) {
    removalListeners.add(listener);
  }

  /**
   * Notes that a read of the list failed.
   *
   * @param callBegunAt when the call was begun, on the clock: the store came back later than that
   * @param lastRevision the store's counter up to which the list was known before
   */
  public void noteStoreSilent(long callBegunAt, long lastRevision) {
    storeSilentAt = callBegunAt;
    if (with(Listing.KEPT).isEmpty()) {
      revisionBeforeSilence = lastRevision;
    }
  }

  /** Takes a whole list; {@link #judgeUnlisted} is to follow. */
  public void replaceAll(Collection<FleetEndpoint> listed) {
    Set<String> ids = new HashSet<>();
    for (FleetEndpoint endpoint : listed) {
      ids.add(endpoint.id());
      put(endpoint);
    }
    for (String id : ImmutableList.copyOf(byId.keySet())) {
      if (!ids.contains(id)) {
        remove(id);
      }
    }
  }

  /** Takes one new or changed entry. */
  public void put(FleetEndpoint listed) {
    TrackedEndpoint known = byId.get(listed.id());
    if (known == null) {
      byId.put(listed.id(), new TrackedEndpoint(listed));
      EventLog.info(
          Event.ENDPOINT_FOUND,
          "endpoint",
          listed.id(),
          "address",
          listed.address(),
          "serves",
          listed.service(),
          "layers",
          text(listed));
      return;
    }
    FleetEndpoint before = known.endpoint();
    known.update(listed);
    if (listed.leaving() && !before.leaving()) {
      EventLog.info(Event.ENDPOINT_LEAVING, "endpoint", listed.id());
      leavingListeners.forEach(listener -> listener.accept(known));
    } else if (!listed.layers().equals(before.layers())) {
      EventLog.info(Event.ENDPOINT_LAYERS, "endpoint", listed.id(), "layers", text(listed));
    }
  }

  private static String text(FleetEndpoint endpoint) {
    return endpoint.layers().map(Object::toString).orElse("none");
  }

  /** Takes the removal of an entry; {@link #judgeUnlisted} is to follow. */
  public void remove(String id) {
    TrackedEndpoint known = byId.get(id);
    if (known == null || known.listing() != Listing.LISTED) {
      return;
    }
    if (graceLeft() > 0) {
      known.listing(Listing.MISSING);
    } else {
      drop(known, "unlisted");
    }
  }

  /**
   * Decides on endpoints that went missing after the store was silent, once all changes up to now
   * are taken.
   */
  public void judgeUnlisted() {
    ImmutableList<TrackedEndpoint> missing = with(Listing.MISSING);
    if (missing.isEmpty()) {
      return;
    }
    if (anyOutlivedTheSilence()) {
      String cause = "unlisted while only this node had lost the store";
      with(Listing.KEPT).forEach(endpoint -> drop(endpoint, cause));
      missing.forEach(endpoint -> drop(endpoint, cause));
    } else {
      missing.forEach(this::keep);
    }
  }

  private boolean anyOutlivedTheSilence() {
    return with(Listing.LISTED).stream()
        .anyMatch(endpoint -> endpoint.endpoint().listedAt() <= revisionBeforeSilence);
  }

  private void keep(TrackedEndpoint endpoint) {
    long wait = graceLeft();
    endpoint.listing(Listing.KEPT);
    EventLog.info(
        Event.ENDPOINT_KEPT,
        "endpoint",
        endpoint.endpoint().id(),
        "forMs",
        NANOSECONDS.toMillis(wait));
    dropUnlessListed(endpoint, wait);
  }

  private void dropUnlessListed(TrackedEndpoint endpoint, long afterNanos) {
    clock.schedule(
        () -> {
          if (endpoint.listing() != Listing.KEPT) {
            return;
          }
          long left = graceLeft();
          if (left > 0) {
            dropUnlessListed(endpoint, left);
          } else {
            drop(endpoint, "unlisted after an outage of the store");
          }
        },
        afterNanos,
        NANOSECONDS);
  }

  private long graceLeft() {
    return storeSilentAt + relistGrace.toNanos() - now();
  }

  private ImmutableList<TrackedEndpoint> with(Listing listing) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.listing() == listing)
        .collect(ImmutableList.toImmutableList());
  }

  private void drop(TrackedEndpoint endpoint, String cause) {
    endpoint.listing(Listing.GONE);
    byId.remove(endpoint.endpoint().id());
    EventLog.info(Event.ENDPOINT_GONE, "endpoint", endpoint.endpoint().id(), "cause", cause);
    removalListeners.forEach(listener -> listener.accept(endpoint));
  }

  /** Believes an endpoint dead or unreachable until {@link #clear}. */
  public void suspect(TrackedEndpoint endpoint, String cause) {
    if (endpoint.suspected()) {
      return;
    }
    endpoint.suspected(true);
    counters.count(Metric.EJECTIONS, "suspected");
    EventLog.warn(
        Event.ENDPOINT_EJECTED,
        "endpoint",
        endpoint.endpoint().id(),
        "address",
        endpoint.address(),
        "cause",
        cause);
    ImmutableList.copyOf(suspicionListeners).forEach(listener -> listener.accept(endpoint));
  }

  /** Takes a suspicion back: the endpoint answered. */
  public void clear(TrackedEndpoint endpoint) {
    if (endpoint.suspected()) {
      endpoint.suspected(false);
      EventLog.info(Event.ENDPOINT_PROBED, "endpoint", endpoint.endpoint().id());
    }
  }

  /** Returns all endpoints that are listed. */
  public ImmutableList<TrackedEndpoint> all() {
    return ImmutableList.copyOf(byId.values());
  }

  /** Returns the endpoints of a service that are listed. */
  public ImmutableList<TrackedEndpoint> of(String service) {
    ImmutableList.Builder<TrackedEndpoint> found = ImmutableList.builder();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.endpoint().service().equals(service)) {
        found.add(endpoint);
      }
    }
    return found.build();
  }

  /** Returns the endpoints of a service that may get new work now. */
  public ImmutableList<TrackedEndpoint> usable(String service) {
    long now = now();
    ImmutableList.Builder<TrackedEndpoint> found = ImmutableList.builder();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.endpoint().service().equals(service) && endpoint.usable(now)) {
        found.add(endpoint);
      }
    }
    return found.build();
  }

  /** Returns the listed endpoint at an address. */
  public Optional<TrackedEndpoint> at(HostPort address) {
    return byId.values().stream().filter(e -> e.address().equals(address)).findFirst();
  }

  /** Returns whether any endpoint of a service gets new work, now or once it has room again. */
  public boolean serves(String service) {
    return of(service).stream().anyMatch(TrackedEndpoint::serving);
  }

  /**
   * Returns whether the endpoints of a service hold every layer between them, full ones included.
   */
  public boolean holdsAll(String service, int layers) {
    boolean[] held = new boolean[layers];
    for (TrackedEndpoint endpoint : of(service)) {
      if (!endpoint.serving()) {
        continue;
      }
      endpoint
          .endpoint()
          .layers()
          .ifPresent(range -> Arrays.fill(held, range.from(), Math.min(range.to(), layers), true));
    }
    for (boolean layer : held) {
      if (!layer) {
        return false;
      }
    }
    return true;
  }

  /** Returns how many endpoints are listed. */
  public int size() {
    return byId.size();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
