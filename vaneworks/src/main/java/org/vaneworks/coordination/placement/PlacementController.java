package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.fleet.BackoffRequestedException;
import org.vaneworks.coordination.fleet.CallPurpose;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineControl.OrderGuard;
import org.vaneworks.coordination.fleet.EngineControl.OrderOutcome;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.ModelProfile;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Orders engines to hold layers while this node holds the controller's lease.
 *
 * <p>Each engine is read before an order is sent to it. If an order is not answered, the engine is
 * read again: if its count of orders has increased, it accepted the order; if not, the order is
 * sent again with the same count, so at most one of the two can take effect.
 *
 * <p>An engine is ordered to give up layers only after other engines have reported that they hold
 * them: the list of endpoints shows layers until an engine has given them up, and does not show the
 * orders of other controllers. Confined to the node's event loop.
 */
public final class PlacementController {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

  /**
   * Tick interval on a node that is not the controller. The tick is only needed for a lease that
   * becomes valid again after a late renewal, since {@link #wake} reports a newly acquired lease.
   * It is rare because all nodes but one run it without effect.
   */
  private static final Duration IDLE_TICK_INTERVAL = Duration.ofSeconds(2);

  /**
   * Planning time per tick: after it no further data centre is planned until the next tick.
   * Planning delays requests and the renewal of the controller's lease: on a box with a third of a
   * core, the initial placement of five data centres with 43 engines takes 2 s.
   */
  private static final Duration MAX_PLANNING_TIME = Duration.ofMillis(100);

  /** Timeout of a call to an engine, which normally answers within a few ms. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);

  /**
   * Number of list read intervals without a new engine after which the initial placement is made.
   * Engines join the list over some seconds, and a single read may show no new one. A placement of
   * only some of the engines divides the model differently and is never undone, so one interval is
   * not enough.
   */
  private static final double SETTLED_READ_INTERVALS = 2.5;

  /** Duration of the read itself. */
  private static final Duration READ_TIME = Duration.ofMillis(50);

  /** Time after an accepted order during which the list may still show the old layers. */
  private static final Duration MAX_LIST_LAG = Duration.ofMillis(2500);

  /**
   * Time for which engines that hold layers get no orders after it was found that the list may not
   * show the layers that engines of their data centre hold. Exceeds the age of a report.
   */
  private static final Duration CHANGE_DEFERRAL = Duration.ofSeconds(1);

  /**
   * Time for which other engines are preferred to one that was to give up layers but did not
   * answer, or whose layers no other engine confirmed.
   */
  private static final Duration RELEASE_AVOIDANCE = Duration.ofSeconds(5);

  /**
   * Longest time of a load, as a multiple of the time that it takes while no other engine loads.
   */
  private static final int MAX_LOAD_FACTOR = 3;

  private static final int MILLIS_PER_SECOND = 1000;

  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final Supplier<Optional<EntryConfiguration>> configuration;
  private final Supplier<OptionalLong> fence;
  private final Supplier<Duration> listReadInterval;
  private final Counters counters;
  private final LayerHolders holders;
  private final Map<TrackedEndpoint, Assignment> assignments = new HashMap<>();
  private final Map<String, PlanInput> inputsWithoutOrders = new HashMap<>();

  /** When changes of held layers may be ordered again, by service and data centre. */
  private final Map<String, Long> changesDeferredUntil = new HashMap<>();

  /** Until when engines give up layers only if no others can, as an order could not be sent. */
  private final Map<TrackedEndpoint, Long> releasesAvoidedUntil = new HashMap<>();

  private OptionalLong currentFence = OptionalLong.empty();
  private long rejectedFence = -1;

  /** Fence under which {@link #assignments} were decided. */
  private long assignmentsFence = -1;

  private final Map<String, ListSize> listSizes = new HashMap<>();
  private int nextService;
  private Cancellable timer = () -> {};
  private boolean stopped;

  /** The complete input of a plan; equal inputs give equal plans. */
  private record PlanInput(ModelProfile model, ImmutableList<EngineSnapshot> snapshots) {}

  /**
   * The number of listed engines of a service.
   *
   * @param changedAt when the number last changed, in nanoseconds on the node's clock
   */
  private record ListSize(int engines, long changedAt) {}

  private static final class Assignment {
    final LayerRange layers;
    final Optional<LayerRange> layersBefore;
    final long decidedAt;
    boolean callPending;
    boolean sent;
    boolean accepted;
    long expiresAt;

    Assignment(LayerRange layers, Optional<LayerRange> layersBefore, long decidedAt) {
      this.layers = layers;
      this.layersBefore = layersBefore;
      this.decidedAt = decidedAt;
    }

    boolean isDone(Optional<LayerRange> listed) {
      return listed.equals(Optional.of(layers));
    }

    /**
     * Returns whether the engine holds layers that it did not hold when the assignment was decided:
     * another order took effect first, so this one would make it give up other layers.
     */
    boolean isSuperseded(Optional<LayerRange> listed) {
      return listed.isPresent() && !wasHeldBefore(listed.get());
    }

    /**
     * Returns whether the engine was to give up layers, but the order could not be sent. The reason
     * may no longer hold when it can be sent, so it is planned again.
     */
    boolean isUnsentRelease() {
      return layersBefore.isPresent() && !sent && !callPending && !accepted;
    }

    private boolean wasHeldBefore(LayerRange listed) {
      return layersBefore.isPresent() && layersBefore.get().encloses(listed);
    }
  }

  private PlacementController(
      Executor clock,
      Fleet fleet,
      EngineControl control,
      Supplier<Optional<EntryConfiguration>> configuration,
      Supplier<OptionalLong> fence,
      Supplier<Duration> listReadInterval,
      Counters counters) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    this.configuration = checkNotNull(configuration);
    this.fence = checkNotNull(fence);
    this.listReadInterval = checkNotNull(listReadInterval);
    this.counters = checkNotNull(counters);
    holders = new LayerHolders(clock, fleet, control, CALL_TIMEOUT, this::assignedLayers, counters);
  }

  /**
   * Returns a controller that does nothing before {@link #start}.
   *
   * @param fence present while this node holds the lease; higher for each later holder
   * @param listReadInterval maximum time between two reads of the list of endpoints
   */
  public static PlacementController create(
      Executor clock,
      Fleet fleet,
      EngineControl control,
      Supplier<Optional<EntryConfiguration>> configuration,
      Supplier<OptionalLong> fence,
      Supplier<Duration> listReadInterval,
      Counters counters) {
    return new PlacementController(
        clock, fleet, control, configuration, fence, listReadInterval, counters);
  }

  /**
   * Starts the controller, which checks the fleet at short intervals while this node holds the
   * lease.
   */
  public void start() {
    fleet.onRemoval(assignments::remove);
    fleet.onRemoval(releasesAvoidedUntil::remove);
    wake();
  }

  /** Notifies the controller that this node may have acquired the lease. */
  public void wake() {
    scheduleTick(TICK_INTERVAL);
  }

  /** Stops the controller; it sends no further order. */
  public void stop() {
    stopped = true;
  }

  private void scheduleTick(Duration delay) {
    timer.cancel();
    timer = clock.schedule(this::tick, delay.toNanos(), NANOSECONDS);
  }

  private void tick() {
    if (stopped) {
      return;
    }
    OptionalLong current = fence.get();
    if (current.isPresent() && current.getAsLong() == rejectedFence) {
      current = OptionalLong.empty();
    }
    if (!current.equals(currentFence)) {
      currentFence = current;
      if (current.isPresent()) {
        EventLog.info(Event.PLACEMENT_CONTROLLER, "fence", current.getAsLong());
        discardAssignmentsOfOtherFences(current.getAsLong());
      }
    }
    scheduleTick(currentFence.isPresent() ? TICK_INTERVAL : IDLE_TICK_INTERVAL);
    if (currentFence.isPresent()) {
      configuration.get().ifPresent(this::reconcile);
    }
  }

  /**
   * Discards assignments that were decided under another fence. Under the same fence no other node
   * gave orders, even if the lease was renewed late.
   */
  private void discardAssignmentsOfOtherFences(long current) {
    if (current != assignmentsFence) {
      assignments.clear();
    }
    assignmentsFence = current;
  }

  private void reconcile(EntryConfiguration configured) {
    ImmutableList<ServiceProfile> services = configured.engineServices();
    long startedAt = now();
    // Each tick starts with another service, so that no service uses up the planning time of all.
    for (int i = 0; i < services.size(); i++) {
      ServiceProfile service = services.get((nextService + i) % services.size());
      reconcileService(service, service.model().get(), startedAt);
    }
    nextService = services.isEmpty() ? 0 : (nextService + 1) % services.size();
    assignments.forEach(this::readAndOrder);
  }

  private void reconcileService(ServiceProfile service, ModelProfile model, long startedAt) {
    ImmutableList<TrackedEndpoint> engines = fleet.listed(service.name());
    if (!isListSettled(service.name(), engines)) {
      return;
    }
    ImmutableMap.Builder<String, TrackedEndpoint> byId = ImmutableMap.builder();
    ImmutableList.Builder<EngineSnapshot> allSnapshots = ImmutableList.builder();
    for (TrackedEndpoint engine : engines) {
      Optional<AcceleratorProfile> kind = model.accelerator(engine.endpoint().accelerator());
      if (kind.isPresent() && isWithin(model, engine.endpoint().layers())) {
        byId.put(engine.endpoint().id(), engine);
        allSnapshots.add(snapshot(engine, kind.get()));
      }
    }
    ImmutableMap<String, TrackedEndpoint> enginesById = byId.buildOrThrow();
    Multimaps.index(allSnapshots.build(), EngineSnapshot::dataCentre)
        .asMap()
        .forEach(
            (dataCentre, snapshots) -> {
              PlanInput input = new PlanInput(model, ImmutableList.copyOf(snapshots));
              String key = planKey(service.name(), dataCentre);
              if (!input.equals(inputsWithoutOrders.get(key))
                  && !isPlanningTimeExceeded(startedAt)) {
                plan(key, input, enginesById);
              }
            });
  }

  /** Returns whether listed layers exist in the model; an entry may be written for another one. */
  private static boolean isWithin(ModelProfile model, Optional<LayerRange> listed) {
    return listed.isEmpty() || listed.get().to() <= model.layers();
  }

  private boolean isPlanningTimeExceeded(long startedAt) {
    return now() - startedAt >= MAX_PLANNING_TIME.toNanos();
  }

  /**
   * Plans the engines of one data centre, which does not depend on what engines of other data
   * centres hold.
   */
  private void plan(
      String key, PlanInput input, ImmutableMap<String, TrackedEndpoint> enginesById) {
    ImmutableMap<String, LayerRange> plan =
        PlacementPlanner.of(input.model())
            .plan(input.snapshots(), id -> releaseCost(enginesById.get(id)));
    boolean deferred = now() < changesDeferredUntil.getOrDefault(key, Long.MIN_VALUE);
    plan.forEach(
        (id, layers) -> {
          TrackedEndpoint engine = enginesById.get(id);
          if (!deferred || engine.endpoint().layers().isEmpty()) {
            assign(engine, layers);
          }
        });
    // Only an input that leads to no order is remembered: an order may be refused and must be
    // planned again.
    if (plan.isEmpty()) {
      inputsWithoutOrders.put(key, input);
    }
  }

  private void avoidRelease(TrackedEndpoint engine) {
    releasesAvoidedUntil.put(engine, now() + RELEASE_AVOIDANCE.toNanos());
  }

  /** Returns how much speaks against ordering an engine to give up its layers. */
  private double releaseCost(TrackedEndpoint engine) {
    boolean avoided = now() < releasesAvoidedUntil.getOrDefault(engine, Long.MIN_VALUE);
    return avoided ? Double.MAX_VALUE : engine.totalRequests();
  }

  /**
   * Returns whether the list has stopped growing, so that the initial placement includes all
   * engines.
   */
  private boolean isListSettled(String service, ImmutableList<TrackedEndpoint> engines) {
    ListSize size =
        listSizes.compute(
            service,
            (name, known) ->
                known != null && known.engines() == engines.size()
                    ? known
                    : new ListSize(engines.size(), now()));
    boolean anyLayersHeld = engines.stream().anyMatch(e -> e.endpoint().layers().isPresent());
    double settledAfter =
        READ_TIME.toNanos() + SETTLED_READ_INTERVALS * listReadInterval.get().toNanos();
    return !engines.isEmpty() && (anyLayersHeld || now() - size.changedAt() >= settledAfter);
  }

  private EngineSnapshot snapshot(TrackedEndpoint engine, AcceleratorProfile kind) {
    Optional<LayerRange> listed = engine.endpoint().layers();
    updateAssignment(engine, listed);
    Optional<LayerRange> planned = assignedLayers(engine);
    boolean available = !engine.endpoint().leaving() && !engine.suspected();
    return new EngineSnapshot(
        engine.endpoint().id(),
        engine.endpoint().dataCentre(),
        kind,
        planned.or(() -> listed),
        listed,
        available);
  }

  private Optional<LayerRange> assignedLayers(TrackedEndpoint engine) {
    return Optional.ofNullable(assignments.get(engine)).map(assignment -> assignment.layers);
  }

  private void updateAssignment(TrackedEndpoint engine, Optional<LayerRange> listed) {
    Assignment assignment = assignments.get(engine);
    if (assignment == null) {
      return;
    }
    if (assignment.accepted && now() > assignment.expiresAt) {
      // The engine is read again: it may still wait for requests that use the layers it gives up.
      assignment.accepted = false;
    }
    if (assignment.isDone(listed)) {
      counters.record(Metric.PLACEMENT_TIME, elapsedSince(assignment.decidedAt));
      assignments.remove(engine);
    } else if (assignment.isSuperseded(listed) || assignment.isUnsentRelease()) {
      assignments.remove(engine);
    }
  }

  private void assign(TrackedEndpoint engine, LayerRange layers) {
    EventLog.info(
        Event.PLACEMENT_DECIDED,
        "endpoint",
        engine.endpoint().id(),
        "layers",
        layers,
        "held",
        engine.endpoint().layers().map(Object::toString).orElse("none"),
        "fence",
        currentFence.getAsLong());
    assignments.put(engine, new Assignment(layers, engine.endpoint().layers(), now()));
  }

  private void readAndOrder(TrackedEndpoint engine, Assignment assignment) {
    if (assignment.callPending || assignment.accepted || engine.suspected()) {
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.PLACEMENT)) {
      return;
    }
    assignment.callPending = true;
    counters.count(Metric.ENGINE_QUESTIONS, "placement");
    fleet.signals().recordCall(engine, CallPurpose.PLACEMENT);
    Async.onDone(
        control.report(engine.endpoint(), CALL_TIMEOUT),
        clock,
        (report, failure) -> {
          if (failure != null) {
            assignment.callPending = false;
            if (!(failure instanceof BackoffRequestedException)) {
              avoidRelease(engine);
            }
            EventLog.info(
                Event.ORDER_UNANSWERED, "endpoint", engine.endpoint().id(), "cause", failure);
          } else {
            processReport(engine, assignment, report);
          }
        });
  }

  private void processReport(TrackedEndpoint engine, Assignment assignment, EngineReport report) {
    boolean sameRun = fleet.reconcileIncarnation(engine, report.incarnation());
    if (!sameRun || !isCurrent(engine, assignment)) {
      // An order that was decided for an earlier incarnation is not sent to the next one.
      assignment.callPending = false;
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.PLACEMENT)) {
      assignment.callPending = false;
      return;
    }
    if (report.orderInProgress() || !report.layers().equals(engine.endpoint().layers())) {
      // An order of another controller is in progress or completed; the list will show it.
      markAccepted(engine, assignment);
      assignment.callPending = false;
      return;
    }
    long expectedOrders = report.ordersStarted();
    ImmutableSet<Integer> released = releasedLayers(report.layers(), assignment.layers);
    if (released.isEmpty()) {
      sendOrder(engine, assignment, expectedOrders);
    } else {
      holders.confirm(
          engine,
          released,
          unconfirmed -> handleConfirmation(engine, assignment, expectedOrders, unconfirmed));
    }
  }

  private static ImmutableSet<Integer> releasedLayers(Optional<LayerRange> held, LayerRange next) {
    return held.stream()
        .flatMapToInt(range -> IntStream.range(range.from(), range.to()))
        .filter(layer -> layer < next.from() || layer >= next.to())
        .boxed()
        .collect(ImmutableSet.toImmutableSet());
  }

  private void handleConfirmation(
      TrackedEndpoint engine,
      Assignment assignment,
      long expectedOrders,
      ImmutableSet<Integer> unconfirmed) {
    if (!isCurrent(engine, assignment) || !fleet.signals().admits(engine, CallPurpose.PLACEMENT)) {
      assignment.callPending = false;
    } else if (unconfirmed.isEmpty()) {
      sendOrder(engine, assignment, expectedOrders);
    } else {
      counters.count(Metric.ORDERS, "layers-unconfirmed");
      EventLog.info(
          Event.ORDER_WITHHELD,
          "endpoint",
          engine.endpoint().id(),
          "layers",
          assignment.layers,
          "unconfirmed",
          unconfirmed.size());
      assignment.callPending = false;
      if (!assignment.sent) {
        assignments.remove(engine, assignment);
        avoidRelease(engine);
      }
      deferChanges(engine);
    }
  }

  private void deferChanges(TrackedEndpoint engine) {
    String key = planKey(engine.endpoint().service(), engine.endpoint().dataCentre());
    changesDeferredUntil.put(key, now() + CHANGE_DEFERRAL.toNanos());
  }

  /**
   * Returns the key of the engines of one service in one data centre, which are planned together.
   */
  private static String planKey(String service, String dataCentre) {
    return service + "/" + dataCentre;
  }

  /** Returns whether an assignment may still be ordered by this node. */
  private boolean isCurrent(TrackedEndpoint engine, Assignment assignment) {
    return assignments.get(engine) == assignment && currentFence.isPresent() && !stopped;
  }

  private void sendOrder(TrackedEndpoint engine, Assignment assignment, long expectedOrders) {
    OrderGuard guard = new OrderGuard(currentFence.getAsLong(), expectedOrders);
    long orderedAt = now();
    assignment.sent = true;
    fleet.signals().recordCall(engine, CallPurpose.PLACEMENT);
    Async.onDone(
        control.assignLayers(engine.endpoint(), assignment.layers, guard),
        clock,
        (outcome, failure) -> {
          assignment.callPending = false;
          counters.record(Metric.ORDER_TIME, elapsedSince(orderedAt));
          if (failure != null) {
            counters.count(Metric.ORDERS, "unanswered");
            EventLog.warn(
                Event.ORDER_UNANSWERED,
                "endpoint",
                engine.endpoint().id(),
                "layers",
                assignment.layers,
                "cause",
                failure);
          } else {
            handleOutcome(engine, assignment, guard, outcome);
          }
        });
  }

  private void handleOutcome(
      TrackedEndpoint engine, Assignment assignment, OrderGuard guard, OrderOutcome outcome) {
    counters.count(Metric.ORDERS, outcome.name().toLowerCase(java.util.Locale.ROOT));
    EventLog.info(
        Event.ORDER_ANSWERED,
        "endpoint",
        engine.endpoint().id(),
        "layers",
        assignment.layers,
        "fence",
        guard.fence(),
        "expectedOrders",
        guard.expectedOrders(),
        "outcome",
        outcome);
    if (outcome == OrderOutcome.ACCEPTED) {
      markAccepted(engine, assignment);
    } else if (outcome == OrderOutcome.FENCED) {
      rejectedFence = guard.fence();
    } else {
      assignments.remove(engine, assignment);
      if (outcome == OrderOutcome.CONFLICT) {
        // Another order took effect first; neither the list nor a report may show it yet.
        deferChanges(engine);
      }
    }
  }

  private void markAccepted(TrackedEndpoint engine, Assignment assignment) {
    assignment.accepted = true;
    Duration loadTime = loadTime(engine.endpoint().service(), assignment.layers);
    assignment.expiresAt = now() + MAX_LIST_LAG.toNanos() + loadTime.toNanos();
  }

  /**
   * Returns the maximum time of loading that many layers while other engines load the same weights.
   */
  private Duration loadTime(String service, LayerRange layers) {
    double seconds =
        configuration
            .get()
            .flatMap(configured -> configured.service(service))
            .flatMap(ServiceProfile::model)
            .map(model -> model.loadSeconds() * layers.size() / model.layers())
            .orElse(0.0);
    return Duration.ofMillis((long) (seconds * MAX_LOAD_FACTOR * MILLIS_PER_SECOND));
  }

  private Duration elapsedSince(long startNanos) {
    return Duration.ofNanos(now() - startNanos);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
