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
import org.vaneworks.state.StorePosition;
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
 * without this node, so whatever is missing has left.
 *
 * <p>What is known of an endpoint is known of one run of its process, and is over as soon as a
 * later run shows under the same id. News of a former run that comes later changes nothing.
 * Confined to the node's event loop.
 */
public final class Fleet {
  /**
   * An entry that only a copy of the store names goes within this time if its endpoint is gone:
   * some missed check-ins, or the removal that is written again.
   */
  private static final Duration COPY_SETTLED = Duration.ofSeconds(10);

  private final Executor clock;
  private final Counters counters;
  private final OutageGrace outage;
  private final EndpointStatements statements;
  private final FormerEndpoints former;
  private final Map<String, TrackedEndpoint> byId = new LinkedHashMap<>();

  private final List<Runnable> choiceListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> suspicionListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> recoveryListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> removalListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> leavingListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> endListeners = new ArrayList<>();
  private final List<Consumer<TrackedEndpoint>> goneListeners = new ArrayList<>();

  private long copySettledAt = Long.MAX_VALUE;

  private Fleet(Executor clock, Counters counters, Duration relistGrace) {
    this.clock = checkNotNull(clock);
    this.counters = checkNotNull(counters);
    outage = new OutageGrace(clock, relistGrace);
    statements = new EndpointStatements(clock, counters, this::sameRun, this::announcesItsEnd);
    former = new FormerEndpoints(clock);
    onRemoval(statements::forget);
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

  /**
   * Calls back before endpoints are handed out to be chosen from, so that what is noted with them
   * can be brought up to date.
   */
  public void onChoice(Runnable listener) {
    choiceListeners.add(listener);
  }

  /** Calls back when an endpoint becomes suspected. */
  public void onSuspicion(Consumer<TrackedEndpoint> listener) {
    suspicionListeners.add(listener);
  }

  /** Calls back when an endpoint that was suspected answers again. */
  public void onRecovery(Consumer<TrackedEndpoint> listener) {
    recoveryListeners.add(listener);
  }

  /** Calls back when an endpoint announces that it will end. */
  public void onLeaving(Consumer<TrackedEndpoint> listener) {
    leavingListeners.add(listener);
  }

  /** Calls back when an endpoint's process is known to have ended; its removal follows. */
  public void onEnd(Consumer<TrackedEndpoint> listener) {
    endListeners.add(listener);
  }

  /**
   * Calls back when an endpoint's process is known not to be there: its box refused a connection,
   * or it has ended.
   */
  public void onProcessGone(Consumer<TrackedEndpoint> listener) {
    goneListeners.add(listener);
  }

  /** Calls back when an endpoint leaves the table. */
  public void onRemoval(Consumer<TrackedEndpoint> listener) {
    removalListeners.add(listener);
  }

  /**
   * Notes that a read of the list failed.
   *
   * @param callBegunAt when the call was begun, on the clock: the store came back later than that
   * @param lastPosition up to which the list was known before; empty if it was not
   */
  public void noteStoreSilent(long callBegunAt, Optional<StorePosition> lastPosition) {
    outage.noteSilent(callBegunAt);
    if (with(Listing.KEPT).isEmpty()) {
      outage.positionBefore(lastPosition);
    }
  }

  /**
   * Takes note that the store has come back from an older copy; a whole list of the copy follows.
   *
   * <p>Endpoints that it does not name may only not have written their entries again, and one that
   * it names may have gone since, as this node saw.
   */
  public void noteNewEra() {
    outage.noteSilent(now());
    outage.positionBefore(Optional.empty());
    former.noteNewEra();
    copySettledAt = now() + COPY_SETTLED.toNanos();
  }

  /** Takes a whole list; {@link #judgeUnlisted} is to follow. */
  public void replaceAll(Collection<FleetEndpoint> listed) {
    Set<String> ids = new HashSet<>();
    for (FleetEndpoint endpoint : listed) {
      ids.add(endpoint.id());
      if (former.wentBeforeCopy(endpoint.id())) {
        former.keep(endpoint);
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

  /** Takes one new or changed entry. */
  public void put(FleetEndpoint listed) {
    former.noteListed(listed.id());
    RunStatements said = statements.of(listed);
    if (listed.leaving()) {
      said.announceEnd();
    }
    // An announced end holds for the run: the entry may be an older one, or not tell of it.
    takeEntry(said.isLeaving() ? listed.thatLeaves() : listed);
  }

  private void takeEntry(FleetEndpoint listed) {
    String id = listed.id();
    Incarnation newest = former.newestRun(id);
    if (newest.isAfter(listed.incarnation())) {
      counters.count(Metric.ENDPOINT_ENTRIES, "former-run");
    } else if (newest.isTold() && !listed.incarnation().isTold()) {
      counters.count(Metric.ENDPOINT_ENTRIES, "no-start");
      withdraw(id, "its entry tells no start, and one before did");
    } else {
      former.noteRun(id, listed.incarnation());
      take(listed);
    }
  }

  private void take(FleetEndpoint listed) {
    TrackedEndpoint known = byId.get(listed.id());
    if (known == null) {
      find(listed);
    } else if (!listed.incarnation().equals(known.endpoint().incarnation())) {
      startAgain(known, listed);
    } else if (listed.canBeSameRun(known.endpoint())) {
      update(known, listed);
    } else {
      counters.count(Metric.ENDPOINT_ENTRIES, "other-endpoint");
      withdraw(listed.id(), "its entry is not that of the run that is known");
    }
  }

  private void find(FleetEndpoint listed) {
    track(listed);
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
  }

  private void track(FleetEndpoint listed) {
    TrackedEndpoint endpoint = new TrackedEndpoint(listed, statements.of(listed));
    byId.put(listed.id(), endpoint);
    statements.found(endpoint);
  }

  private void startAgain(TrackedEndpoint former, FleetEndpoint next) {
    track(next);
    end(former, "it started again");
  }

  /**
   * Ends a run that is no longer in the table.
   *
   * <p>Requests that it held are told first: by then a later run is known, and can be chosen.
   */
  private void end(TrackedEndpoint endpoint, String cause) {
    endpoint.end();
    EventLog.warn(
        Event.ENDPOINT_RUN_ENDED,
        "endpoint",
        endpoint.endpoint().id(),
        "address",
        endpoint.address(),
        "cause",
        cause);
    goneListeners.forEach(listener -> listener.accept(endpoint));
    endListeners.forEach(listener -> listener.accept(endpoint));
    removalListeners.forEach(listener -> listener.accept(endpoint));
  }

  /**
   * Takes which run of an endpoint told something of itself.
   *
   * @return whether it is the run that is known; if not, what it told is of no use: a later run
   *     takes the place of the known one, and a former one is over
   */
  public boolean isSameRun(TrackedEndpoint endpoint, Incarnation told) {
    if (endpoint.hasEnded()) {
      return false;
    }
    Incarnation known = endpoint.endpoint().incarnation();
    if (told.isAfter(known) && !endpoint.delisted()) {
      former.noteRun(endpoint.endpoint().id(), told);
      startAgain(endpoint, endpoint.endpoint().startedAgain(told));
      return false;
    }
    return !known.isAfter(told);
  }

  private void update(TrackedEndpoint known, FleetEndpoint listed) {
    FleetEndpoint before = known.endpoint();
    known.update(listed);
    if (listed.leaving() && !before.leaving()) {
      tellLeaving(known, "entry");
    } else if (!listed.layers().equals(before.layers())) {
      EventLog.info(Event.ENDPOINT_LAYERS, "endpoint", listed.id(), "layers", text(listed));
    }
  }

  private Optional<TrackedEndpoint> sameRun(FleetEndpoint endpoint) {
    return Optional.ofNullable(byId.get(endpoint.id()))
        .filter(known -> known.endpoint().incarnation().equals(endpoint.incarnation()));
  }

  private void announcesItsEnd(TrackedEndpoint endpoint) {
    endpoint.announcesItsEnd();
    tellLeaving(endpoint, "answer");
  }

  private void tellLeaving(TrackedEndpoint endpoint, String toldBy) {
    String id = endpoint.endpoint().id();
    EventLog.info(Event.ENDPOINT_LEAVING, "endpoint", id, "toldBy", toldBy);
    leavingListeners.forEach(listener -> listener.accept(endpoint));
  }

  /**
   * Takes an entry that names no endpoint to use: the one that it named before gets no new work,
   * also while the store is silent, until it lists itself again.
   */
  public void withdraw(String id, String cause) {
    TrackedEndpoint known = byId.get(id);
    if (known != null) {
      drop(known, cause);
    }
  }

  private static String text(FleetEndpoint endpoint) {
    return endpoint.layers().map(Object::toString).orElse("none");
  }

  /** Takes the removal of an entry; {@link #judgeUnlisted} is to follow. */
  public void remove(String id) {
    former.noteUnlisted(id);
    TrackedEndpoint known = byId.get(id);
    if (known == null || known.listing() != Listing.LISTED) {
      return;
    }
    if (outage.left() > 0) {
      known.listing(Listing.MISSING);
    } else {
      drop(known, "unlisted");
    }
  }

  /**
   * Decides on endpoints that went missing after the store was silent, and on those that only a
   * copy of it names, once all changes up to now are taken.
   */
  public void judgeUnlisted() {
    if (now() >= copySettledAt) {
      // They had gone, by this node's view, but nobody has unlisted them since.
      former.stillNamed().forEach(this::put);
    }
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
        .map(TrackedEndpoint::endpoint)
        .anyMatch(outage::outlivedBy);
  }

  private void keep(TrackedEndpoint endpoint) {
    long wait = outage.left();
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
          long left = outage.left();
          if (left > 0) {
            dropUnlessListed(endpoint, left);
          } else {
            drop(endpoint, "unlisted after an outage of the store");
          }
        },
        afterNanos,
        NANOSECONDS);
  }

  private ImmutableList<TrackedEndpoint> with(Listing listing) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.listing() == listing)
        .collect(ImmutableList.toImmutableList());
  }

  private void drop(TrackedEndpoint endpoint, String cause) {
    endpoint.listing(Listing.GONE);
    byId.remove(endpoint.endpoint().id());
    former.noteGone(endpoint.endpoint().id());
    EventLog.info(Event.ENDPOINT_GONE, "endpoint", endpoint.endpoint().id(), "cause", cause);
    removalListeners.forEach(listener -> listener.accept(endpoint));
  }

  /** Notes that an endpoint's box refused a connection to it. */
  public void noteNobodyListens(TrackedEndpoint endpoint) {
    if (!endpoint.processGone()) {
      endpoint.refusesConnections(true);
      goneListeners.forEach(listener -> listener.accept(endpoint));
    }
  }

  /** Returns what endpoints say of themselves. */
  public EndpointStatements statements() {
    return statements;
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
    endpoint.refusesConnections(false);
    if (endpoint.suspected()) {
      endpoint.suspected(false);
      EventLog.info(Event.ENDPOINT_PROBED, "endpoint", endpoint.endpoint().id());
      recoveryListeners.forEach(listener -> listener.accept(endpoint));
    }
  }

  /** Returns all endpoints that are listed. */
  public ImmutableList<TrackedEndpoint> all() {
    return ImmutableList.copyOf(byId.values());
  }

  /** Returns the endpoints of a service that are listed. */
  public ImmutableList<TrackedEndpoint> of(String service) {
    choiceListeners.forEach(Runnable::run);
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
    choiceListeners.forEach(Runnable::run);
    long now = now();
    ImmutableList.Builder<TrackedEndpoint> found = ImmutableList.builder();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.endpoint().service().equals(service) && endpoint.usable(now)) {
        found.add(endpoint);
      }
    }
    return found.build();
  }

  /** Returns the listed endpoint of a service at an address. */
  public Optional<TrackedEndpoint> at(String service, HostPort address) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.address().equals(address))
        .filter(endpoint -> endpoint.endpoint().service().equals(service))
        .findFirst();
  }

  /** Returns when requests may begin at a plain service. */
  public Openings openings(String service) {
    return Openings.ofPlain(serving(service));
  }

  /** Returns when requests may begin at engines that hold every layer between them. */
  public Openings openings(String service, int layers) {
    if (!statements.anyBinds()) {
      // Asked for each request that waits, many times a second.
      return holdsAll(service, layers) ? Openings.ALWAYS : Openings.NEVER;
    }
    return Openings.ofEngines(serving(service), layers);
  }

  private ImmutableList<TrackedEndpoint> serving(String service) {
    return of(service).stream()
        .filter(TrackedEndpoint::serving)
        .collect(ImmutableList.toImmutableList());
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
