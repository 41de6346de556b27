package org.vaneworks.coordination;

import java.util.Random;
import java.util.function.IntSupplier;
import org.vaneworks.coordination.admission.AdmissionControl;
import org.vaneworks.coordination.admission.AdmissionCost;
import org.vaneworks.coordination.admission.AdmissionPolicy;
import org.vaneworks.coordination.admission.PaceLimit;
import org.vaneworks.coordination.configuration.ActiveConfiguration;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.membership.MemberTable;
import org.vaneworks.coordination.once.OnceBook;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.once.OnceStarter;
import org.vaneworks.coordination.once.TicketOffice;
import org.vaneworks.coordination.pipeline.PipelineContext;
import org.vaneworks.coordination.pipeline.PipelineDriver;
import org.vaneworks.coordination.pipeline.RetryBudget;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RoutePolicies;
import org.vaneworks.coordination.routing.RoutePolicy;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.store.PlatformStore;

/** Puts together what requests pass through: routing, admission, pipelines, services, records. */
final class RequestWiring {
  /** Retries saved up at most; lets a quiet node get over a short disturbance. */
  private static final int RETRY_RESERVE = 20;

  private final NodeSettings settings;
  private final NodeOutside outside;
  private final EndpointTable table;
  private final IntSupplier nodes;
  private final PaceLimit.Table pace;

  RequestWiring(
      NodeSettings settings, NodeOutside outside, EndpointTable table, IntSupplier nodes) {
    this.settings = settings;
    this.outside = outside;
    this.table = table;
    this.nodes = nodes;
    this.pace =
        settings.limits().routing().admission() == RoutingSettings.AdmissionKind.WITHIN_BOUNDS
            ? PaceLimit.Table.adaptive(outside.executor())
            : PaceLimit.Table.unlimited(outside.executor());
  }

  AdmissionControl admission(RoutePlanner planner) {
    return AdmissionControl.create(
        outside.executor(), planner, admissionPolicy(), cost(), pace, nodes);
  }

  RoutePlanner planner() {
    return RoutePlanner.create(table, policy());
  }

  RequestGate gate(
      Lifecycle lifecycle,
      ActiveConfiguration board,
      RoutePlanner planner,
      AdmissionControl admission,
      PlatformStore store,
      MemberTable members) {
    RetryBudget retries = RetryBudget.of(settings.limits().routing().retryShare(), RETRY_RESERVE);
    PipelineContext context =
        new PipelineContext(
            outside.executor(),
            outside.endpoints(),
            table,
            planner,
            admission,
            retries,
            settings.limits().streams(),
            outside.counters());
    PipelineDriver driver = PipelineDriver.create(context, settings.identity(), outside.random());
    ServiceRouter services =
        ServiceRouter.create(
            outside.executor(),
            table,
            outside.endpoints(),
            retries,
            outside.counters(),
            outside.random());
    return new RequestGate(
        lifecycle,
        board,
        driver,
        services,
        outside.counters(),
        starter -> once(starter, store, members));
  }

  private OnceService once(OnceStarter starter, PlatformStore store, MemberTable members) {
    OnceLimits limits = settings.limits().once();
    return new OnceService(
        outside.executor(),
        new OnceBook(outside.executor(), limits),
        new TicketOffice(outside.executor(), limits, settings.identity(), settings.ticketSecret()),
        new ClaimDesk(
            outside.executor(), store, outside.claimFormat(), limits, members, outside.peers()),
        members,
        outside.peers(),
        starter,
        outside.counters());
  }

  private RoutePolicy policy() {
    Random random = outside.random();
    return switch (settings.limits().routing().policy()) {
      case PREDICTED_TIME -> RoutePolicies.predictedTime(random);
      case RANDOM -> RoutePolicies.random(random);
      case ROUND_ROBIN -> RoutePolicies.roundRobin();
      case LEAST_IN_FLIGHT -> RoutePolicies.leastInFlight(random);
    };
  }

  private AdmissionPolicy admissionPolicy() {
    RoutingSettings routing = settings.limits().routing();
    return switch (routing.admission()) {
      case WITHIN_BOUNDS -> AdmissionPolicy.withinBounds(settings.limits().endpoints());
      case FIXED -> AdmissionPolicy.fixedCap(routing.fixedCap());
    };
  }

  private AdmissionCost cost() {
    return switch (settings.limits().routing().cost()) {
      case TOKENS -> AdmissionCost.tokens();
      case REQUESTS -> AdmissionCost.requests();
    };
  }
}
