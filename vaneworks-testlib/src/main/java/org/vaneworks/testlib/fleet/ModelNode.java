package org.vaneworks.testlib.fleet;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.load.LoadExchange;
import org.vaneworks.coordination.load.LoadReport;
import org.vaneworks.coordination.load.LoadSender;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.coordination.relay.RequestSize;
import org.vaneworks.coordination.shared.Peer;
import org.vaneworks.state.entry.ModelProfile;
import org.vaneworks.telemetry.Counters;

/** A simulated node: the product's endpoint list, path planner and load exchange. */
final class ModelNode {
  /** How long an engine gets no new streams after it rejected one because its memory was full. */
  private static final Duration REJECTION_BACKOFF = Duration.ofMillis(200);

  static final String SERVICE = "m";

  private final String dataCentre;
  private final Executor clock;
  private final ModelProfile model;
  private final Fleet fleet;
  private final PathPlanner planner;
  private final LoadExchange exchange;

  ModelNode(
      String name,
      String dataCentre,
      Executor clock,
      ModelProfile model,
      Collection<FleetEndpoint> engines,
      Supplier<ImmutableList<Peer>> peers,
      int liveNodes,
      LoadSender sender,
      Random random) {
    this.dataCentre = dataCentre;
    this.clock = clock;
    this.model = model;
    fleet = Fleet.create(clock, Counters.in(new SimpleMeterRegistry()), Duration.ofSeconds(3));
    fleet.replaceAll(engines);
    planner = PathPlanner.create(random);
    exchange =
        LoadExchange.create(
            clock, fleet, name, dataCentre, peers, () -> liveNodes, () -> 0, sender);
  }

  String dataCentre() {
    return dataCentre;
  }

  void start() {
    exchange.start();
  }

  void receive(LoadReport report) {
    exchange.receive(report);
  }

  Optional<EnginePath> plan(RequestSize size) {
    return planner.plan(
        new PathPlanner.Query(model, size, dataCentre, clock.currentTime(NANOSECONDS)),
        fleet.usable(SERVICE));
  }

  void recordRejection(TrackedEndpoint engine) {
    long now = clock.currentTime(NANOSECONDS);
    engine.avoidUntil(now + REJECTION_BACKOFF.toNanos());
    engine.recordShortage(now);
  }
}
