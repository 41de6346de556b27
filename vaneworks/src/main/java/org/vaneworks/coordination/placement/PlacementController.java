package org.vaneworks.coordination.placement;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.vaneworks.coordination.concurrent.Async;
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
 * <p>Each engine is read before it is ordered. An order that was not answered is followed by
 * another read: if the engine's count of orders rose, the order was taken; if not, the order is
 * sent again with the same count, so at most one of the two can take effect. Confined to the node's
 * event loop.
 */
public final class PlacementController {
  private static final Duration TICK = Duration.ofMillis(200);

  /**
   * The same on a node that is not the controller, for a lease that counts as held again after a
   * late renewal; {@link #wake} tells of a new one. All nodes but one spend it for nothing.
   */
  private static final Duration IDLE_TICK = Duration.ofSeconds(2);

  /**
   * A look begins to plan no further data centre after this time; the next look does. Requests and
   * the controller's lease wait meanwhile: on a box of a third of a core, five data centres of 43
   * engines take 2 s at their first placement.
   */
  private static final Duration LONGEST_LOOK = Duration.ofMillis(100);

  /** An engine answers in a few ms; the platform's slowest days are under this. */
  private static final Duration CALL_LIMIT = Duration.ofMillis(600);

  /**
   * Pauses between reads of the list without a new engine, after which the first placement is made:
   * one read may bring none between others. Engines come into the list over some seconds; a
   * placement of a part of them cuts the model unlike the rest, and is never undone.
   */
  private static final double SETTLED_PAUSES = 2.5;

  /** Time for the read itself. */
  private static final Duration READ = Duration.ofMillis(50);

  /** How long after an accepted order the list may still show the old layers. */
  private static final Duration LIST_LAG = Duration.ofMillis(2500);

  private final Executor clock;
  private final Fleet fleet;
  private final EngineControl control;
  private final Supplier<Optional<EntryConfiguration>> configuration;
  private final Supplier<OptionalLong> fence;
  private final Supplier<Duration> listPause;
  private final Counters counters;
  private final Map<TrackedEndpoint, Assignment> assignments = new HashMap<>();
  private final Map<String, PlanInput> settledInputs = new HashMap<>();
  private OptionalLong actingAs = OptionalLong.empty();
  private long fencedOff = -1;

  /** The fence under which the assignments were decided. */
  private long decidedAs = -1;

  private int engineCount;
  private long engineCountChangedAt;
  private Cancellable timer = () -> {};
  private boolean stopped;

  /** What a plan is made from, and nothing else; equal inputs give equal plans. */
  private record PlanInput(ModelProfile model, ImmutableList<Holding> holdings) {}

  private static final class Assignment {
    final LayerRange layers;
    final Optional<LayerRange> heldBefore;
    final long decidedAt;
    boolean callOpen;
    boolean sent;
    boolean accepted;
    long expiresAt;

    Assignment(LayerRange layers, Optional<LayerRange> heldBefore, long decidedAt) {
      this.layers = layers;
      this.heldBefore = heldBefore;
      this.decidedAt = decidedAt;
    }

    boolean isDone(Optional<LayerRange> listed) {
      return listed.equals(Optional.of(layers));
    }

    /**
     * Returns whether the engine holds more than when this was decided: another order came first,
     * and the engine has other layers to lose now.
     */
    boolean isOvertaken(Optional<LayerRange> listed) {
      return listed.isPresent() && !isPartOfHeldBefore(listed.get());
    }

    /**
     * Returns whether the engine was to give layers up, and could not be told so. Why it should may
     * be over by the time it can: that is decided anew.
     */
    boolean isUntold() {
      return heldBefore.isPresent() && !sent && !callOpen && !accepted;
    }

    private boolean isPartOfHeldBefore(LayerRange listed) {
      return heldBefore.isPresent() && heldBefore.get().encloses(listed);
    }
  }

  private PlacementController(
      Executor clock,
      Fleet fleet,
      EngineControl control,
      Supplier<Optional<EntryConfiguration>> configuration,
      Supplier<OptionalLong> fence,
      Supplier<Duration> listPause,
      Counters counters) {
    this.clock = checkNotNull(clock);
    this.fleet = checkNotNull(fleet);
    this.control = checkNotNull(control);
    this.configuration = checkNotNull(configuration);
    this.fence = checkNotNull(fence);
    this.listPause = checkNotNull(listPause);
    this.counters = checkNotNull(counters);
  }

  /**
   * Returns a controller that does nothing before {@link #start}.
   *
   * @param fence present while this node holds the lease; higher for each later holder
   * @param listPause the longest time between two reads of the list of endpoints
   */
  public static PlacementController create(
      Executor clock,
      Fleet fleet,
      EngineControl control,
      Supplier<Optional<EntryConfiguration>> configuration,
      Supplier<OptionalLong> fence,
      Supplier<Duration> listPause,
      Counters counters) {
    return new PlacementController(
        clock, fleet, control, configuration, fence, listPause, counters);
  }

  /** Begins; looks at the fleet at short intervals while this node is the controller. */
  public void start() {
    fleet.onRemoval(assignments::remove);
    engineCountChangedAt = now();
    wake();
  }

  /** Takes note that this node may have become the controller. */
  public void wake() {
    tickAfter(TICK);
  }

  /** Gives no further order. */
  public void stop() {
    stopped = true;
  }

  private void tickAfter(Duration wait) {
    timer.cancel();
    timer = clock.schedule(this::tick, wait.toNanos(), NANOSECONDS);
  }

  private void tick() {
    if (stopped) {
      return;
    }
    OptionalLong now = fence.get();
    if (now.isPresent() && now.getAsLong() == fencedOff) {
      now = OptionalLong.empty();
    }
    if (!now.equals(actingAs)) {
      actingAs = now;
      if (now.isPresent()) {
        EventLog.info(Event.PLACEMENT_CONTROLLER, "fence", now.getAsLong());
        forgetOrdersBefore(now.getAsLong());
      }
    }
    tickAfter(actingAs.isPresent() ? TICK : IDLE_TICK);
    if (actingAs.isPresent()) {
      configuration.get().ifPresent(this::look);
    }
  }

  /** Under the same fence nobody else gave orders, however late the lease was renewed. */
  private void forgetOrdersBefore(long current) {
    if (current != decidedAs) {
      assignments.clear();
    }
    decidedAs = current;
  }

  private void look(EntryConfiguration configured) {
    for (ServiceProfile service : configured.engineServices()) {
      lookAt(service, service.model().get());
    }
  }

  private void lookAt(ServiceProfile service, ModelProfile model) {
    ImmutableList<TrackedEndpoint> engines = fleet.listed(service.name());
    if (!settled(engines)) {
      return;
    }
    ImmutableMap.Builder<String, TrackedEndpoint> byId = ImmutableMap.builder();
    ImmutableList.Builder<Holding> holdings = ImmutableList.builder();
    for (TrackedEndpoint engine : engines) {
      Optional<AcceleratorProfile> kind = model.accelerator(engine.endpoint().accelerator());
      if (kind.isPresent()) {
        byId.put(engine.endpoint().id(), engine);
        holdings.add(holding(engine, kind.get()));
      }
    }
    ImmutableMap<String, TrackedEndpoint> known = byId.buildOrThrow();
    long begunAt = now();
    Multimaps.index(holdings.build(), Holding::dataCentre)
        .asMap()
        .forEach(
            (centre, held) -> {
              PlanInput input = new PlanInput(model, ImmutableList.copyOf(held));
              String key = service.name() + "/" + centre;
              if (!input.equals(settledInputs.get(key)) && !overdue(begunAt)) {
                plan(key, input, known);
              }
            });
    assignments.forEach(this::pursue);
  }

  private boolean overdue(long begunAt) {
    return now() - begunAt >= LONGEST_LOOK.toNanos();
  }

  /** Plans the engines of one data centre: what others hold makes no difference there. */
  private void plan(String key, PlanInput input, ImmutableMap<String, TrackedEndpoint> known) {
    ImmutableMap<String, LayerRange> plan =
        PlacementPlanner.of(input.model())
            .plan(input.holdings(), id -> known.get(id).totalRequests());
    plan.forEach((id, layers) -> assign(known.get(id), layers));
    // Only an input that asked for nothing asks for nothing again: orders may be refused.
    if (plan.isEmpty()) {
      settledInputs.put(key, input);
    }
  }

  /** Returns whether the list has stopped growing, so that a first placement sees all engines. */
  private boolean settled(ImmutableList<TrackedEndpoint> engines) {
    if (engines.size() != engineCount) {
      engineCount = engines.size();
      engineCountChangedAt = now();
    }
    boolean anyHeld = engines.stream().anyMatch(e -> e.endpoint().layers().isPresent());
    double settledAfter = READ.toNanos() + SETTLED_PAUSES * listPause.get().toNanos();
    return !engines.isEmpty() && (anyHeld || now() - engineCountChangedAt >= settledAfter);
  }

  private Holding holding(TrackedEndpoint engine, AcceleratorProfile kind) {
    Optional<LayerRange> listed = engine.endpoint().layers();
    endIfOver(engine, listed);
    Optional<LayerRange> planned =
        Optional.ofNullable(assignments.get(engine)).map(assignment -> assignment.layers);
    boolean counts = !engine.endpoint().leaving() && !engine.suspected();
    return new Holding(
        engine.endpoint().id(),
        engine.endpoint().dataCentre(),
        kind,
        planned.or(() -> listed),
        listed,
        counts);
  }

  private void endIfOver(TrackedEndpoint engine, Optional<LayerRange> listed) {
    Assignment assignment = assignments.get(engine);
    if (assignment == null) {
      return;
    }
    if (assignment.accepted && now() > assignment.expiresAt) {
      // It is read again: it may still wait for requests that pass the layers it gives up.
      assignment.accepted = false;
    }
    if (assignment.isDone(listed)) {
      counters.record(Metric.PLACEMENT_TIME, since(assignment.decidedAt));
      assignments.remove(engine);
    } else if (assignment.isOvertaken(listed) || assignment.isUntold()) {
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
        actingAs.getAsLong());
    assignments.put(engine, new Assignment(layers, engine.endpoint().layers(), now()));
  }

  private void pursue(TrackedEndpoint engine, Assignment assignment) {
    if (assignment.callOpen || assignment.accepted || engine.suspected()) {
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.PLACEMENT)) {
      return;
    }
    assignment.callOpen = true;
    counters.count(Metric.ENGINE_QUESTIONS, "placement");
    fleet.signals().recordCall(engine, CallPurpose.PLACEMENT);
    Async.onDone(
        control.report(engine.endpoint(), CALL_LIMIT),
        clock,
        (report, failure) -> {
          if (failure != null) {
            assignment.callOpen = false;
            EventLog.info(
                Event.ORDER_UNANSWERED, "endpoint", engine.endpoint().id(), "cause", failure);
          } else {
            order(engine, assignment, report);
          }
        });
  }

  private void order(TrackedEndpoint engine, Assignment assignment, EngineReport report) {
    boolean sameRun = fleet.reconcileIncarnation(engine, report.incarnation());
    if (!sameRun || assignments.get(engine) != assignment || actingAs.isEmpty() || stopped) {
      // What was decided for a former run is not ordered of the next one.
      assignment.callOpen = false;
      return;
    }
    if (!fleet.signals().admits(engine, CallPurpose.PLACEMENT)) {
      assignment.callOpen = false;
      return;
    }
    if (report.orderInProgress() || !report.layers().equals(engine.endpoint().layers())) {
      // Another controller's order is under way or done; the list will show it.
      accepted(assignment);
      assignment.callOpen = false;
      return;
    }
    OrderGuard guard = new OrderGuard(actingAs.getAsLong(), report.ordersStarted());
    long orderedAt = now();
    assignment.sent = true;
    fleet.signals().recordCall(engine, CallPurpose.PLACEMENT);
    Async.onDone(
        control.assignLayers(engine.endpoint(), assignment.layers, guard),
        clock,
        (outcome, failure) -> {
          assignment.callOpen = false;
          counters.record(Metric.ORDER_TIME, since(orderedAt));
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
            answered(engine, assignment, guard, outcome);
          }
        });
  }

  private void answered(
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
      accepted(assignment);
    } else if (outcome == OrderOutcome.FENCED) {
      fencedOff = guard.fence();
    } else {
      assignments.remove(engine, assignment);
    }
  }

  private void accepted(Assignment assignment) {
    assignment.accepted = true;
    assignment.expiresAt = now() + LIST_LAG.toNanos() + loadTime(assignment.layers).toNanos();
  }

  /** Returns the longest that a load may take, with others waiting for the same weights. */
  private Duration loadTime(LayerRange layers) {
    double slowest =
        configuration.get().stream()
            .flatMap(configured -> configured.engineServices().stream())
            .mapToDouble(
                service ->
                    service.model().get().loadSeconds()
                        * layers.size()
                        / service.model().get().layers())
            .max()
            .orElse(0);
    return Duration.ofMillis((long) (slowest * 3000));
  }

  private Duration since(long then) {
    return Duration.ofNanos(now() - then);
  }

  private long now() {
    return clock.currentTime(NANOSECONDS);
  }
}
