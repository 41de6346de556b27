package org.vaneworks.tests.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.fleet.BackoffRequestedException;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.EngineReport;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.Incarnation;
import org.vaneworks.coordination.fleet.RepathOutcome;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.placement.PlacementController;
import org.vaneworks.state.EndpointSignal;
import org.vaneworks.state.HostPort;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.RequestedBackoff;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.testlib.PausedExecutor;

/**
 * Tests for {@link PlacementController}, with engines that check fence and order count, lose
 * answers or execute orders late.
 */
final class PlacementControllerTest {

  /** Simulates engines: the list of endpoints shows their layers after loading. */
  private final class Engines implements EngineControl {
    final Map<String, Long> orders = new HashMap<>();
    final Map<String, Long> reportedOrders = new HashMap<>();
    final Map<String, Long> fences = new HashMap<>();
    final Map<String, Incarnation> startedAt = new HashMap<>();
    final Map<String, Boolean> loading = new HashMap<>();
    final List<String> loads = new ArrayList<>();
    Duration loadTime = Duration.ofMillis(500);
    boolean checksFences = true;
    boolean dropsAnswers;
    boolean refusesCalls;
    final Set<String> silent = new HashSet<>();
    Duration reportLag = Duration.ZERO;
    int reports;
    int ordersToRefuse;
    Duration executionDelay = Duration.ZERO;

    @Override
    public CompletableFuture<EngineReport> report(FleetEndpoint engine, Duration limit) {
      reports++;
      if (refusesCalls) {
        EndpointSignal signal =
            EndpointSignal.NONE.withBackoff(RequestedBackoff.of(Duration.ofSeconds(3)));
        fleet.signals().recordCallAnswer(engine, signal);
        return CompletableFuture.failedFuture(new BackoffRequestedException());
      }
      if (silent.contains(engine.id())) {
        return CompletableFuture.failedFuture(new TimeoutException("no answer"));
      }
      FleetEndpoint now = fleet.find(engine.service(), engine.address()).get().endpoint();
      return CompletableFuture.completedFuture(
          new EngineReport(
              reportedOrders.getOrDefault(engine.id(), 0L),
              loading.getOrDefault(engine.id(), false),
              now.layers(),
              1,
              ImmutableMap.of(),
              startedAt.getOrDefault(engine.id(), Incarnation.UNKNOWN)));
    }

    @Override
    public CompletableFuture<OrderOutcome> assignLayers(
        FleetEndpoint engine, LayerRange layers, OrderGuard guard) {
      if (ordersToRefuse > 0) {
        ordersToRefuse--;
        return CompletableFuture.completedFuture(OrderOutcome.REFUSED);
      }
      if (dropsAnswers) {
        clock.schedule(
            () -> execute(engine, layers, guard), executionDelay.toMillis(), TimeUnit.MILLISECONDS);
        return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
      }
      return CompletableFuture.completedFuture(execute(engine, layers, guard));
    }

    private OrderOutcome execute(FleetEndpoint engine, LayerRange layers, OrderGuard guard) {
      if (checksFences && guard.fence() < fences.getOrDefault(engine.id(), 0L)) {
        return OrderOutcome.FENCED;
      }
      fences.put(engine.id(), guard.fence());
      if (guard.expectedOrders() != orders.getOrDefault(engine.id(), 0L)) {
        return OrderOutcome.CONFLICT;
      }
      orders.merge(engine.id(), 1L, Long::sum);
      loads.add(engine.id() + " " + layers);
      if (reportLag.isZero()) {
        reportStart(engine);
      } else {
        clock.schedule(() -> reportStart(engine), reportLag.toMillis(), TimeUnit.MILLISECONDS);
      }
      clock.schedule(
          () -> {
            loading.put(engine.id(), false);
            list(engine.service(), engine.id(), engine.address(), Optional.of(layers));
          },
          loadTime.toMillis(),
          TimeUnit.MILLISECONDS);
      return OrderOutcome.ACCEPTED;
    }

    private void reportStart(FleetEndpoint engine) {
      reportedOrders.merge(engine.id(), 1L, Long::sum);
      loading.put(engine.id(), true);
    }

    @Override
    public CompletableFuture<RepathOutcome> repath(
        FleetEndpoint first, String requestId, String path) {
      throw new UnsupportedOperationException();
    }
  }

  private final PausedExecutor clock = PausedExecutor.create();
  private final Counters counters = Counters.in(new SimpleMeterRegistry());
  private final Fleet fleet = Fleet.create(clock, counters, Duration.ofMillis(2500));
  private final Engines engines = new Engines();
  private Duration listReadInterval = Duration.ofMillis(500);
  private OptionalLong firstFence = OptionalLong.empty();
  private OptionalLong secondFence = OptionalLong.empty();

  private EntryConfiguration configuration = configurationOf("m");

  private static EntryConfiguration configurationOf(String... services) {
    return EntryConfiguration.of(
        1,
        List.of(),
        Stream.of(services)
            .map(service -> new ServiceProfile(service, 100, Optional.of(Models.eightyLayers())))
            .toList(),
        ApiKeys.notRequired(),
        new EntryLimits(1, 1, Duration.ZERO, Duration.ZERO));
  }

  private PlacementController controller(java.util.function.Supplier<OptionalLong> fence) {
    PlacementController controller =
        PlacementController.create(
            clock,
            fleet,
            engines,
            () -> Optional.of(configuration),
            fence,
            () -> listReadInterval,
            counters);
    controller.start();
    return controller;
  }

  private void list(String id, HostPort address, Optional<LayerRange> layers) {
    list("m", id, address, layers);
  }

  private void list(String service, String id, HostPort address, Optional<LayerRange> layers) {
    fleet.put(
        new FleetEndpoint(
            id, service, address, "dc1", 134, false, layers, "large", StorePosition.START));
  }

  private void listEngines(int count) {
    for (int i = 0; i < count; i++) {
      list("e" + i, new HostPort("10.0.0." + (i + 1), 80), Optional.empty());
    }
  }

  private void listEngines(String service, int count) {
    for (int i = 0; i < count; i++) {
      String id = service + "-e" + i;
      list(
          service,
          id,
          new HostPort("10.1.0." + i, 8000 + service.hashCode() % 1000),
          Optional.empty());
    }
  }

  private void advance(int millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  private boolean everyLayerIsHeld() {
    return fleet.coversAllLayers("m", 80);
  }

  // Guards against a model that is never placed because another one has another number of engines.
  @Test
  void modelWithAnotherNumberOfEnginesIsPlacedWhenItIsAddedLater() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(5000);
    configuration = configurationOf("m", "n");
    listEngines("n", 4);
    advance(5000);
    assertTrue(everyLayerIsHeld());
    assertTrue(fleet.coversAllLayers("n", 80));
  }

  // Guards against counts, lists and planning times that services share.
  @Test
  void thirtySevenModelsArePlaced() {
    ImmutableList<String> services =
        IntStream.range(0, 37).mapToObj(i -> "m" + i).collect(ImmutableList.toImmutableList());
    configuration = configurationOf(services.toArray(String[]::new));
    services.forEach(service -> listEngines(service, 3 + services.indexOf(service) % 4));
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(10_000);
    services.forEach(service -> assertTrue(fleet.coversAllLayers(service, 80), service));
  }

  // Guards against an entry with layers that the model does not have, which ended all planning.
  @Test
  void entryWithLayersBeyondTheModelIsIgnored() {
    listEngines(5);
    list("odd", new HostPort("10.0.9.1", 80), Optional.of(LayerRange.of(90, 100)));
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(5000);
    assertTrue(everyLayerIsHeld());
  }

  // Guards against an engine giving up a range that it serves because a controller planned for it
  // while its load was in progress.
  @Test
  void engineThatLoadedLayersForAnEarlierControllerKeepsThem() {
    listEngines(5);
    engines.loadTime = Duration.ofSeconds(4);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(2000);
    assertEquals(5, engines.loads.size());
    list("late", new HostPort("10.0.9.1", 80), Optional.empty());
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(60_000);
    assertEquals(6, engines.loads.size(), engines.loads::toString);
    assertTrue(everyLayerIsHeld());
  }

  // Guards against unserved layers: the only engine that serves them was ordered to other layers
  // while their new holder was still loading.
  @Test
  void servingEngineKeepsItsLayersUntilAnotherHasLoadedThem() {
    list("a", new HostPort("10.0.0.1", 80), Optional.of(LayerRange.of(0, 40)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(40, 80)));
    engines.loadTime = Duration.ofSeconds(8);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    list("c", new HostPort("10.0.0.3", 80), Optional.empty());
    advance(1000);
    assertEquals(List.of("c 0-40"), engines.loads);
    fleet.remove("b");
    advance(7000);
    assertEquals(List.of("c 0-40"), engines.loads);
    advance(1000);
    assertEquals(List.of("c 0-40", "a 40-77"), engines.loads);
  }

  // Guards against two engines giving up their layers for one gap: an order must count before its
  // layers are served.
  @Test
  void gapIsFilledOnceWhileTheFirstOrderIsLoading() {
    list("a", new HostPort("10.0.0.1", 80), Optional.of(LayerRange.of(0, 40)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(40, 77)));
    list("c", new HostPort("10.0.0.3", 80), Optional.of(LayerRange.of(0, 40)));
    list("d", new HostPort("10.0.0.4", 80), Optional.of(LayerRange.of(0, 40)));
    list("e", new HostPort("10.0.0.5", 80), Optional.of(LayerRange.of(65, 80)));
    engines.loadTime = Duration.ofSeconds(8);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(1000);
    fleet.remove("b");
    advance(1000);
    List<String> first = List.copyOf(engines.loads);
    assertEquals(1, first.size(), first::toString);
    advance(20_000);
    assertEquals(first, engines.loads);
    assertTrue(everyLayerIsHeld());
  }

  // Guards against an engine giving up layers for a gap that was closed before the order was sent.
  @Test
  void engineThatRefusedCallsKeepsItsLayersOnceTheGapIsClosed() {
    TrackedEndpoint suspected = createGapWhileEnginesRefuseCalls();
    fleet.clearSuspicion(suspected);
    advance(10_000);
    assertEquals(List.of(), engines.loads);
  }

  // Guards against a gap that stays open because the engine chosen for it asked for no calls at
  // first.
  @Test
  void engineThatRefusedCallsIsOrderedLaterWhileTheGapRemains() {
    createGapWhileEnginesRefuseCalls();
    advance(2200);
    assertEquals(List.of("a 37-71"), engines.loads);
  }

  private TrackedEndpoint createGapWhileEnginesRefuseCalls() {
    list("a", new HostPort("10.0.0.1", 80), Optional.of(LayerRange.of(0, 37)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(0, 37)));
    HostPort address = new HostPort("10.0.0.3", 80);
    list("c", address, Optional.of(LayerRange.of(37, 74)));
    list("d", new HostPort("10.0.0.4", 80), Optional.of(LayerRange.of(66, 80)));
    engines.refusesCalls = true;
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    TrackedEndpoint suspected = fleet.find("m", address).get();
    fleet.suspect(suspected, "test");
    advance(1000);
    assertEquals(1, engines.reports);
    engines.refusesCalls = false;
    return suspected;
  }

  // Guards against unserved layers: an order in progress was forgotten, and another one was sent.
  @Test
  void controllerKeepsItsOrdersWhenItsLeaseIsRenewedLate() {
    HostPort address = new HostPort("10.0.0.1", 80);
    list("a", address, Optional.of(LayerRange.of(0, 37)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(0, 37)));
    list("c", new HostPort("10.0.0.3", 80), Optional.of(LayerRange.of(66, 80)));
    engines.loadTime = Duration.ofSeconds(8);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(1000);
    assertEquals(List.of("a 37-71"), engines.loads);
    fleet.find("m", address).get().reserve(1);
    firstFence = OptionalLong.empty();
    advance(500);
    firstFence = OptionalLong.of(7);
    advance(15_000);
    assertEquals(List.of("a 37-71"), engines.loads);
  }

  private void listGapBesideTwoHolders() {
    list("a", new HostPort("10.0.0.1", 80), Optional.of(LayerRange.of(0, 37)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(0, 37)));
    list("c", new HostPort("10.0.0.3", 80), Optional.of(LayerRange.of(66, 80)));
  }

  private void reserve(String id) {
    fleet.all().stream()
        .filter(engine -> engine.endpoint().id().equals(id))
        .forEach(engine -> engine.reserve(1));
  }

  // Guards against unserved layers: a second engine was ordered to give up layers that the list
  // still showed at an engine which was giving them up for an earlier controller.
  @Test
  void laterControllerKeepsTheLastHolderOfLayersThatAnotherEngineGivesUp() {
    listGapBesideTwoHolders();
    engines.loadTime = Duration.ofSeconds(8);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(1000);
    assertEquals(List.of("a 37-71"), engines.loads);
    reserve("a");
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(20_000);
    assertEquals(List.of("a 37-71"), engines.loads);
    assertTrue(everyLayerIsHeld());
  }

  // Guards against unserved layers: an order that was executed late was forgotten because its
  // repetition conflicted with it, and the next engine was ordered to give up the same layers.
  @Test
  void conflictWithLateOrderKeepsTheLastHolderOfItsLayers() {
    listGapBesideTwoHolders();
    engines.loadTime = Duration.ofSeconds(8);
    engines.dropsAnswers = true;
    engines.executionDelay = Duration.ofMillis(50);
    engines.reportLag = Duration.ofMillis(400);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    clock.schedule(() -> engines.dropsAnswers = false, 300, TimeUnit.MILLISECONDS);
    clock.schedule(() -> reserve("a"), 300, TimeUnit.MILLISECONDS);
    advance(20_000);
    assertEquals(List.of("a 37-71"), engines.loads);
    assertTrue(everyLayerIsHeld());
  }

  // Guards against unserved layers: the list names holders that may hold nothing any more.
  @Test
  void engineKeepsLayersUntilTheirOtherHolderAnswers() {
    listGapBesideTwoHolders();
    engines.silent.add("b");
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(10_000);
    assertEquals(List.of(), engines.loads);
    engines.silent.clear();
    advance(3000);
    assertEquals(List.of("a 37-71"), engines.loads);
  }

  private void listGapBesideFourHolders() {
    list("a", new HostPort("10.0.0.1", 80), Optional.of(LayerRange.of(0, 37)));
    list("b", new HostPort("10.0.0.2", 80), Optional.of(LayerRange.of(0, 37)));
    list("c", new HostPort("10.0.0.3", 80), Optional.of(LayerRange.of(37, 66)));
    list("d", new HostPort("10.0.0.4", 80), Optional.of(LayerRange.of(37, 66)));
  }

  // Guards against unserved layers while one engine, which holds other layers, does not answer.
  @Test
  void gapIsCoveredByEngineWhoseOtherHolderAnswers() {
    listGapBesideFourHolders();
    engines.silent.add("b");
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld(), engines.loads.toString());
  }

  // Guards against unserved layers because the engine that was to cover them does not answer.
  @Test
  void gapIsCoveredByEngineThatAnswers() {
    listGapBesideFourHolders();
    engines.silent.add("a");
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld(), engines.loads.toString());
  }

  @Test
  void nothingIsOrderedWithoutTheLease() {
    listEngines(5);
    controller(() -> firstFence);
    advance(5000);
    assertTrue(engines.loads.isEmpty());
  }

  @Test
  void eachEngineIsOrderedOnce() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld());
    assertEquals(5, engines.loads.size());
  }

  @Test
  void enginesThatRefuseCallsAreNotCalledUntilTheirBackoffEnds() {
    listEngines(5);
    engines.refusesCalls = true;
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(4000);
    assertEquals(5, engines.reports);
    engines.refusesCalls = false;
    advance(10_000);
    assertEquals(5, engines.loads.size());
  }

  @Test
  void initialPlacementWaitsForTheNextReadOfTheList() {
    listReadInterval = Duration.ofMillis(1750);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    list("early", new HostPort("10.0.9.1", 80), Optional.empty());
    advance(1800);
    listEngines(5);
    advance(1000);
    assertTrue(engines.loads.isEmpty());
    advance(10_000);
    assertEquals(6, engines.loads.size());
  }

  /** Engines join the list over some seconds, and a read between them may show no new one. */
  @Test
  void initialPlacementWaitsAfterOneReadWithoutNewEngines() {
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    list("early", new HostPort("10.0.9.1", 80), Optional.empty());
    advance(1000);
    listEngines(5);
    advance(1000);
    assertTrue(engines.loads.isEmpty());
    advance(10_000);
    assertEquals(6, engines.loads.size());
  }

  @Test
  void refusedOrderIsSentAgain() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    engines.ordersToRefuse = 5;
    controller(() -> firstFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld());
  }

  @Test
  void newControllerDoesNotRepeatCompletedOrders() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(3000);
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(10_000);
    assertEquals(5, engines.loads.size());
  }

  @Test
  void controllerThatTakesOverDuringLoadsDoesNotRepeatOrders() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(1200);
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(10_000);
    assertEquals(5, engines.loads.size());
  }

  @Test
  void twoActiveControllersDoNotUndoEachOthersOrders() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    secondFence = OptionalLong.of(9);
    controller(() -> firstFence);
    controller(() -> secondFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld());
    assertEquals(5, engines.loads.size());
  }

  @Test
  void unansweredOrderThatIsExecutedLateTakesEffectOnce() {
    listEngines(5);
    engines.dropsAnswers = true;
    engines.executionDelay = Duration.ofMillis(3000);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(2000);
    engines.dropsAnswers = false;
    advance(15_000);
    assertTrue(everyLayerIsHeld());
    assertEquals(5, engines.loads.size());
  }

  @Test
  void withoutFenceChecksTwoControllersDoNotUndoEachOthersOrders() {
    engines.checksFences = false;
    listEngines(5);
    firstFence = OptionalLong.of(7);
    secondFence = OptionalLong.of(9);
    controller(() -> firstFence);
    controller(() -> secondFence);
    advance(10_000);
    assertTrue(everyLayerIsHeld());
    assertEquals(5, engines.loads.size());
  }

  @Test
  void withoutFenceChecksALateOrderOfAnEarlierControllerIsRejected() {
    engines.checksFences = false;
    listEngines(5);
    engines.dropsAnswers = true;
    engines.executionDelay = Duration.ofMillis(4000);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(1200);
    engines.dropsAnswers = false;
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(2500);
    List<String> loadsOfSecondController = List.copyOf(engines.loads);
    assertEquals(5, loadsOfSecondController.size());
    advance(10_000);
    assertEquals(loadsOfSecondController, engines.loads);
    assertTrue(everyLayerIsHeld());
  }

  @Test
  void withoutFenceChecksAResumedControllerUndoesNothing() {
    engines.checksFences = false;
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(700);
    firstFence = OptionalLong.empty();
    secondFence = OptionalLong.of(9);
    controller(() -> secondFence);
    advance(5000);
    List<String> loads = List.copyOf(engines.loads);
    // The first controller still assumes that it holds the lease.
    firstFence = OptionalLong.of(7);
    advance(10_000);
    assertEquals(loads, engines.loads);
    assertTrue(everyLayerIsHeld());
  }

  @Test
  void engineThatWaitsForItsRequestsGetsNoOtherOrder() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    engines.loadTime = Duration.ofSeconds(40);
    controller(() -> firstFence);
    advance(39_000);
    assertEquals(5, engines.loads.size());
    advance(5000);
    assertTrue(everyLayerIsHeld());
    assertEquals(5, engines.loads.size());
  }

  @Test
  void restartedEngineIsOrderedToHoldLayersAgain() {
    listEngines(5);
    firstFence = OptionalLong.of(7);
    controller(() -> firstFence);
    advance(5000);
    fleet.remove("e0");
    list("e9", new HostPort("10.0.0.9", 80), Optional.empty());
    advance(5000);
    assertTrue(fleet.find("m", new HostPort("10.0.0.9", 80)).get().endpoint().layers().isPresent());
    assertTrue(everyLayerIsHeld());
  }

  /**
   * An engine restarts without layers between the decision and the read that precedes its order.
   */
  @Test
  void orderDecidedForAnEarlierIncarnationIsNotSentToTheNext() {
    Incarnation first = Incarnation.startedAt(1000);
    HostPort address = new HostPort("10.0.0.1", 80);
    fleet.put(
        new FleetEndpoint(
            "e0",
            "m",
            address,
            "dc1",
            134,
            false,
            Optional.empty(),
            "large",
            StorePosition.START,
            first));
    TrackedEndpoint former = fleet.find("m", address).get();
    engines.startedAt.put("e0", Incarnation.startedAt(2000));
    controller(() -> OptionalLong.of(5));
    int ticksUntilEnded = 0;
    while (!former.hasEnded()) {
      advance(200);
      ticksUntilEnded++;
      assertTrue(ticksUntilEnded < 20);
    }
    assertEquals(List.of(), engines.loads);
    advance(2000);
    assertEquals(1, engines.loads.size());
  }
}
