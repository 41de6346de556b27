package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.StorePosition;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * The table of all endpoints.
 *
 * <p>An endpoint that is no longer listed immediately stops getting new work. The exception is an
 * outage of the store: entries lapse while endpoints cannot renew them and reappear soon after the
 * outage, so missing endpoints are retained for a grace period. During an outage a node cannot
 * determine whether the store is down or only unreachable from this node. Afterwards the list shows
 * it: an entry that survived the outage proves that the store kept running without this node, so
 * every missing endpoint has left.
 *
 * <p>Everything known about an endpoint applies to one incarnation of its process, and is discarded
 * when a later incarnation appears under the same ID. Information about a former incarnation that
 * arrives later is ignored. Confined to the node's event loop.
 */
public final class Fleet {
  /**
   * An entry that exists only in a restored backup of the store disappears within this time if its
   * endpoint no longer runs: after some missed renewals, or when its removal is written again.
   */
  private static final Duration BACKUP_SETTLE_TIME = Duration.ofSeconds(10);

  private final Executor clock;
  private final Counters counters;
  private final OutageGracePeriod outage;
  private final DataCentreLinks links = new DataCentreLinks();
  private final EndpointSignals signals;
  private final EndpointHistory history;
  private final Map<String, TrackedEndpoint> byId = new LinkedHashMap<>();

  /** Endpoints that were removed from the table while requests of this node ran on them, by ID. */
  private final Map<String, TrackedEndpoint> removedInUse = new HashMap<>();

  private final List<Runnable> selectionListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> suspicionListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> peerSuspicionListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> recoveryListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> removalListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> leavingListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> incarnationEndListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> processDownListeners = new ArrayList<>();

  private long backupSettledAt = Long.MAX_VALUE;

  /** When all changes of the list were last known, and when a read of it last failed. */
  private long upToDateAt = Long.MIN_VALUE;

  private long readFailedAt = Long.MIN_VALUE;

  private Fleet(Executor clock, Counters counters, Duration relistGrace) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    outage = new OutageGracePeriod(clock, relistGrace);
    signals = new EndpointSignals(clock, counters, this::sameIncarnation, this::markLeaving);
    history = new EndpointHistory(clock);
    onRemoval(signals::remove);
  }

  /**
   * Creates an empty table.
   *
   * @param relistGrace how long an endpoint whose entry may have lapsed in a store outage is
   *     retained, counted from the start of the last failed call to the store
   */
  public static Fleet create(Executor clock, Counters counters, Duration relistGrace) {
    return new Fleet(clock, counters, relistGrace);
  }

  /**
   * Registers a listener that is called before endpoints are returned for selection, so that it can
   * update the state kept with them.
   */
  public void beforeSelection(Runnable listener) {
    selectionListeners.add(listener);
  }

  /** Registers a listener that is called when an endpoint becomes suspected. */
  public void onSuspicion(Consumer<TrackedEndpoint> listener) {
    suspicionListeners.add(listener);
  }

  /** Registers a listener that is called with an endpoint that a peer suspects. */
  public void onPeerSuspicion(Consumer<TrackedEndpoint> listener) {
    peerSuspicionListeners.add(listener);
  }

  /** Registers a listener that is called when a suspected endpoint answers again. */
  public void onRecovery(Consumer<TrackedEndpoint> listener) {
    recoveryListeners.add(listener);
  }

  /** Registers a listener that is called when an endpoint announces its shutdown. */
  public void onLeaving(Consumer<TrackedEndpoint> listener) {
    leavingListeners.add(listener);
  }

  /**
   * Registers a listener that is called when an incarnation of an endpoint is known to have ended.
   * The removal listeners are called next.
   */
  public void onIncarnationEnd(Consumer<TrackedEndpoint> listener) {
    incarnationEndListeners.add(listener);
  }

  /**
   * Registers a listener that is called when an endpoint's process is known to be down, because its
   * box refused a connection or the incarnation has ended.
   */
  public void onProcessDown(Consumer<TrackedEndpoint> listener) {
    processDownListeners.add(listener);
  }

  /** Registers a listener that is called when an endpoint is removed from the table. */
  public void onRemoval(Consumer<TrackedEndpoint> listener) {
    removalListeners.add(listener);
  }

  /**
   * Records that a read of the endpoint list failed.
   *
   * @param callBegunAt when the call started, in nanoseconds on the clock; the store was
   *     unavailable until then
   * @param lastPosition position up to which the list was known before the outage; empty if it was
   *     not known
   */
  public void recordStoreFailure(long callBegunAt, Optional<StorePosition> lastPosition) {
    readFailedAt = now();
    outage.recordFailure(callBegunAt);
    if (withState(ListingState.RETAINED).isEmpty()) {
      outage.setPositionBefore(lastPosition);
    }
  }

  /**
   * Records that the store was restored from a backup; a complete list follows.
   *
   * <p>Endpoints that the backup does not list may merely not have written their entries again.
   * Endpoints that it lists may have been removed since, as this node observed.
   */
  public void recordNewEra() {
    readFailedAt = now();
    outage.recordFailure(now());
    outage.setPositionBefore(Optional.empty());
    history.recordNewEra();
    backupSettledAt = now() + BACKUP_SETTLE_TIME.toNanos();
  }

  /**
   * Replaces all entries by a complete list. The caller must call {@link #resolveMissing}
   * afterwards.
   */
  public void replaceAll(Collection<FleetEndpoint> listed) {
    Set<String> ids = new HashSet<>();
    for (FleetEndpoint endpoint : listed) {
      ids.add(endpoint.id());
      if (history.wasRemovedBeforeRestore(endpoint.id())) {
        history.retain(endpoint);
      } else {
        put(endpoint);
      }
    }
    for (String id : ImmutableList.copyOf(byId.keySet())) {
      if (!ids.contains(id)) {
        remove(id);
      }
    }
  }

  /** Processes one new or changed entry. */
  public void put(FleetEndpoint listed) {
    history.recordListed(listed.id());
    IncarnationSignals signalsOfEntry = signals.of(listed);
    if (listed.leaving()) {
      signalsOfEntry.markLeaving();
    }
    // A shutdown announcement applies to the incarnation: the entry may be older, or lack it.
    reconcileEntry(signalsOfEntry.isLeaving() ? listed.asLeaving() : listed);
  }

  private void reconcileEntry(FleetEndpoint listed) {
    String id = listed.id();
    Incarnation newest = history.newestIncarnation(id);
    if (newest.isAfter(listed.incarnation())) {
      counters.count(Metric.ENDPOINT_ENTRIES, "former-run");
    } else if (newest.isKnown() && !listed.incarnation().isKnown()) {
      counters.count(Metric.ENDPOINT_ENTRIES, "no-start");
      withdraw(id, "entry has no start time, but an earlier one had");
    } else {
      history.recordIncarnation(id, listed.incarnation());
      apply(listed);
    }
  }

  private void apply(FleetEndpoint listed) {
    TrackedEndpoint known = byId.get(listed.id());
    if (known == null) {
      addNew(listed);
    } else if (!listed.incarnation().equals(known.endpoint().incarnation())) {
      restart(known, listed);
    } else if (listed.mayBeSameIncarnation(known.endpoint())) {
      update(known, listed);
    } else {
      counters.count(Metric.ENDPOINT_ENTRIES, "other-endpoint");
      withdraw(listed.id(), "entry does not match the known incarnation");
    }
  }

  private void addNew(FleetEndpoint listed) {
    Optional<TrackedEndpoint> former =
        Optional.ofNullable(removedInUse.remove(listed.id()))
            // An endpoint without requests is no longer probed, so its suspicion would not end.
            .filter(endpoint -> endpoint.inFlight() > 0)
            .filter(endpoint -> isSameIncarnation(endpoint.endpoint(), listed));
    if (former.isPresent()) {
      relist(former.get(), listed);
    } else {
      track(listed);
    }
    EventLog.info(
        Event.ENDPOINT_FOUND,
        "endpoint",
        listed.id(),
        "address",
        listed.address(),
        "serves",
        listed.service(),
        "layers",
        layersText(listed));
  }

  private static boolean isSameIncarnation(FleetEndpoint former, FleetEndpoint listed) {
    return listed.incarnation().isKnown() && listed.mayBeSameIncarnation(former);
  }

  /** Adds an endpoint again whose entry lapsed; requests may have been running on it since. */
  private void relist(TrackedEndpoint endpoint, FleetEndpoint listed) {
    endpoint.update(listed);
    byId.put(listed.id(), endpoint);
    signals.add(endpoint);
  }

  private void track(FleetEndpoint listed) {
    TrackedEndpoint endpoint = new TrackedEndpoint(listed, signals.of(listed));
    byId.put(listed.id(), endpoint);
    signals.add(endpoint);
  }

  private void restart(TrackedEndpoint former, FleetEndpoint next) {
    track(next);
    endIncarnation(former, "endpoint restarted");
  }

  /**
   * Ends an incarnation that has been replaced in the table.
   *
   * <p>Its requests are notified only after the next incarnation is in the table, so that they can
   * choose it.
   */
  private void endIncarnation(TrackedEndpoint endpoint, String cause) {
    endpoint.markEnded();
    EventLog.warn(
        Event.ENDPOINT_RUN_ENDED,
        "endpoint",
        endpoint.endpoint().id(),
        "address",
        endpoint.address(),
        "cause",
        cause);
    processDownListeners.forEach(listener -> listener.accept(endpoint));
    incarnationEndListeners.forEach(listener -> listener.accept(endpoint));
    removalListeners.forEach(listener -> listener.accept(endpoint));
  }

  /**
   * Processes the incarnation that an endpoint reported. A later incarnation replaces the known
   * one.
   *
   * @return whether the report is from the known incarnation; otherwise its content must be ignored
   */
  public boolean reconcileIncarnation(TrackedEndpoint endpoint, Incarnation reported) {
    if (endpoint.hasEnded()) {
      return false;
    }
    Incarnation known = endpoint.endpoint().incarnation();
    if (reported.isAfter(known) && !endpoint.delisted()) {
      history.recordIncarnation(endpoint.endpoint().id(), reported);
      restart(endpoint, endpoint.endpoint().withIncarnation(reported));
      return false;
    }
    return !known.isAfter(reported);
  }

  private void update(TrackedEndpoint known, FleetEndpoint listed) {
    FleetEndpoint previous = known.endpoint();
    known.update(listed);
    if (listed.leaving() && !previous.leaving()) {
      notifyLeaving(known, "entry");
    } else if (!listed.layers().equals(previous.layers())) {
      EventLog.info(Event.ENDPOINT_LAYERS, "endpoint", listed.id(), "layers", layersText(listed));
    }
  }

  private Optional<TrackedEndpoint> sameIncarnation(FleetEndpoint endpoint) {
    return Optional.ofNullable(byId.get(endpoint.id()))
        .filter(known -> known.endpoint().incarnation().equals(endpoint.incarnation()));
  }

  private void markLeaving(TrackedEndpoint endpoint) {
    endpoint.markLeaving();
    notifyLeaving(endpoint, "answer");
  }

  private void notifyLeaving(TrackedEndpoint endpoint, String source) {
    String id = endpoint.endpoint().id();
    EventLog.info(Event.ENDPOINT_LEAVING, "endpoint", id, "toldBy", source);
    leavingListeners.forEach(listener -> listener.accept(endpoint));
  }

  /**
   * Removes an endpoint whose entry is no longer usable, even during a store outage. It gets no new
   * work until it lists itself again.
   */
  public void withdraw(String id, String cause) {
    TrackedEndpoint known = byId.get(id);
    if (known != null) {
      drop(known, cause);
    }
  }

  private static String layersText(FleetEndpoint endpoint) {
    return endpoint.layers().map(Object::toString).orElse("none");
  }

  /** Processes the removal of an entry. The caller must call {@link #resolveMissing} afterwards. */
  public void remove(String id) {
    history.recordUnlisted(id);
    TrackedEndpoint known = byId.get(id);
    if (known == null || known.listing() != ListingState.LISTED) {
      return;
    }
    if (outage.remainingNanos() > 0) {
      known.setListing(ListingState.MISSING);
    } else {
      drop(known, "unlisted");
    }
  }

  /**
   * Retains or drops the endpoints that went missing after a store outage, and adds those that only
   * a restored backup lists once they may be used. Called after all changes up to now have been
   * processed.
   */
  public void resolveMissing() {
    upToDateAt = now();
    if (now() >= backupSettledAt) {
      // This node saw them being removed, but their entries have not been removed again since.
      history.entriesInBackupOnly().forEach(this::put);
    }
    ImmutableList<TrackedEndpoint> missing = withState(ListingState.MISSING);
    if (missing.isEmpty()) {
      return;
    }
    if (anySurvivedOutage()) {
      String cause = "unlisted while only this node was disconnected from the store";
      withState(ListingState.RETAINED).forEach(endpoint -> drop(endpoint, cause));
      missing.forEach(endpoint -> drop(endpoint, cause));
    } else {
      missing.forEach(this::retain);
    }
  }

  /**
   * Returns whether an endpoint is still listed according to a read after a time, and no read has
   * failed since another time. An endpoint that has ended by then is not, if its entry had the time
   * to expire in between.
   *
   * @param readAfter in nanoseconds on the clock, like {@code noFailureSince}
   */
  boolean isStillListed(TrackedEndpoint endpoint, long readAfter, long noFailureSince) {
    return endpoint.listing() == ListingState.LISTED
        && upToDateAt >= readAfter
        && readFailedAt < noFailureSince;
  }

  private boolean anySurvivedOutage() {
    return withState(ListingState.LISTED).stream()
        .map(TrackedEndpoint::endpoint)
        .anyMatch(outage::survivedBy);
  }

  private void retain(TrackedEndpoint endpoint) {
    long remaining = outage.remainingNanos();
    endpoint.setListing(ListingState.RETAINED);
    EventLog.info(
        Event.ENDPOINT_KEPT,
        "endpoint",
        endpoint.endpoint().id(),
        "forMs",
        NANOSECONDS.toMillis(remaining));
    dropUnlessRelisted(endpoint, remaining);
  }

  private void dropUnlessRelisted(TrackedEndpoint endpoint, long afterNanos) {
    clock.schedule(
        () -> {
          if (endpoint.listing() != ListingState.RETAINED) {
            return;
          }
          long remaining = outage.remainingNanos();
          if (remaining > 0) {
            dropUnlessRelisted(endpoint, remaining);
          } else {
            drop(endpoint, "not listed again after a store outage");
          }
        },
        afterNanos,
        NANOSECONDS);
  }

  private ImmutableList<TrackedEndpoint> withState(ListingState state) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.listing() == state)
        .collect(ImmutableList.toImmutableList());
  }

  private void drop(TrackedEndpoint endpoint, String cause) {
    endpoint.setListing(ListingState.REMOVED);
    byId.remove(endpoint.endpoint().id());
    removedInUse.values().removeIf(removed -> removed.inFlight() == 0);
    if (endpoint.inFlight() > 0) {
      removedInUse.put(endpoint.endpoint().id(), endpoint);
    }
    history.recordRemoval(endpoint.endpoint().id());
    EventLog.info(Event.ENDPOINT_GONE, "endpoint", endpoint.endpoint().id(), "cause", cause);
    removalListeners.forEach(listener -> listener.accept(endpoint));
  }

  /** Records that an endpoint's box refused a connection to the endpoint's address. */
  public void recordConnectionRefused(TrackedEndpoint endpoint) {
    boolean knownDown = endpoint.processDown();
    endpoint.recordConnectionRefused(now());
    if (!knownDown) {
      processDownListeners.forEach(listener -> listener.accept(endpoint));
    }
  }

  /** Returns the load on the links between data centres. */
  public DataCentreLinks links() {
    return links;
  }

  /** Returns the signals that endpoints send with their answers. */
  public EndpointSignals signals() {
    return signals;
  }

  /** Marks an endpoint as suspected, that is down or unreachable, until {@link #clearSuspicion}. */
  public void suspect(TrackedEndpoint endpoint, String cause) {
    if (endpoint.suspected()) {
      return;
    }
    endpoint.setSuspected(true);
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

  /** Records that a peer suspects an endpoint, which this node does not. */
  public void recordSuspectedByPeer(TrackedEndpoint endpoint) {
    peerSuspicionListeners.forEach(listener -> listener.accept(endpoint));
  }

  /** Clears the suspicion of an endpoint that answered. */
  public void clearSuspicion(TrackedEndpoint endpoint) {
    endpoint.clearConnectionRefused();
    if (endpoint.suspected()) {
      endpoint.setSuspected(false);
      EventLog.info(Event.ENDPOINT_PROBED, "endpoint", endpoint.endpoint().id());
      recoveryListeners.forEach(listener -> listener.accept(endpoint));
    }
  }

  /** Returns all endpoints of the table. */
  public ImmutableList<TrackedEndpoint> all() {
    return ImmutableList.copyOf(byId.values());
  }

  /** Returns all endpoints of a service. */
  public ImmutableList<TrackedEndpoint> listed(String service) {
    selectionListeners.forEach(Runnable::run);
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
    selectionListeners.forEach(Runnable::run);
    long now = now();
    ImmutableList.Builder<TrackedEndpoint> found = ImmutableList.builder();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.endpoint().service().equals(service) && endpoint.usable(now)) {
        found.add(endpoint);
      }
    }
    return found.build();
  }

  /** Returns the endpoint of a service at an address. */
  public Optional<TrackedEndpoint> find(String service, HostPort address) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.address().equals(address))
        .filter(endpoint -> endpoint.endpoint().service().equals(service))
        .findFirst();
  }

  /** Returns when requests may be sent to a plain service. */
  public RequestSchedule requestSchedule(String service) {
    return RequestSchedule.ofPlain(serving(service));
  }

  /** Returns when requests may be sent to engines that together hold every layer. */
  public RequestSchedule requestSchedule(String service, int layers) {
    if (!signals.anyInForce()) {
      // Called for each queued request, many times a second.
      return coversAllLayers(service, layers) ? RequestSchedule.ALWAYS : RequestSchedule.NEVER;
    }
    return RequestSchedule.ofEngines(serving(service), layers);
  }

  private ImmutableList<TrackedEndpoint> serving(String service) {
    return listed(service).stream()
        .filter(TrackedEndpoint::serving)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether the endpoints of a service together hold every layer, including endpoints
   * without free capacity.
   */
  public boolean coversAllLayers(String service, int layers) {
    return holdAllLayers(serving(service), layers);
  }

  /**
   * Returns whether the endpoints of a service would hold every layer together if none of them were
   * suspected.
   */
  public boolean listsAllLayers(String service, int layers) {
    return holdAllLayers(
        listed(service).stream()
            .filter(endpoint -> !endpoint.endpoint().leaving())
            .collect(ImmutableList.toImmutableList()),
        layers);
  }

  private static boolean holdAllLayers(ImmutableList<TrackedEndpoint> endpoints, int layers) {
    boolean[] covered = new boolean[layers];
    for (TrackedEndpoint endpoint : endpoints) {
      endpoint
          .endpoint()
          .layers()
          .ifPresent(
              range ->
                  Arrays.fill(
                      covered, Math.min(range.from(), layers), Math.min(range.to(), layers), true));
    }
    for (boolean layer : covered) {
      if (!layer) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of endpoints in the table. */
  public int size() {
    return byId.size();
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
