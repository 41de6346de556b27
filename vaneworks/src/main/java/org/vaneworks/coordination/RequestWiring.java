package org.vaneworks.coordination;

import java.util.Random;
import java.util.function.IntSupplier;
import org.vaneworks.coordination.admission.AdmissionControl;
import org.vaneworks.coordination.admission.AdmissionCost;
import org.vaneworks.coordination.admission.AdmissionPolicy;
import org.vaneworks.coordination.admission.ConcurrencyLimit;
import org.vaneworks.coordination.configuration.ActiveConfiguration;
import org.vaneworks.coordination.endpoints.EndpointTable;
import org.vaneworks.coordination.membership.MemberTable;
import org.vaneworks.coordination.once.OnceLimits;
import org.vaneworks.coordination.once.OnceRecordTable;
import org.vaneworks.coordination.once.OnceStarter;
import org.vaneworks.coordination.once.TicketIssuer;
import org.vaneworks.coordination.pipeline.PipelineContext;
import org.vaneworks.coordination.pipeline.PipelineDriver;
import org.vaneworks.coordination.pipeline.RetryBudget;
import org.vaneworks.coordination.routing.RoutePlanner;
import org.vaneworks.coordination.routing.RoutePolicies;
import org.vaneworks.coordination.routing.RoutePolicy;
import org.vaneworks.coordination.routing.RoutingSettings;
import org.vaneworks.coordination.store.PlatformStore;

/** Creates the components that handle requests: routing, admission, pipelines and services. */
final class RequestWiring {
  /** Maximum retries held in the budget; lets a node with little traffic survive a short outage. */
  private static final int RETRY_RESERVE = 20;

  private final NodeSettings settings;
  private final NodeDependencies dependencies;
  private final EndpointTable table;
  private final IntSupplier nodes;
  private final ConcurrencyLimit.Table concurrencyLimits;

  RequestWiring(
      NodeSettings settings,
      NodeDependencies dependencies,
      EndpointTable table,
      IntSupplier nodes) {
    this.settings = settings;
    this.dependencies = dependencies;
    this.table = table;
    this.nodes = nodes;
    this.concurrencyLimits =
        settings.limits().routing().admission() == RoutingSettings.AdmissionKind.WITHIN_BOUNDS
            ? ConcurrencyLimit.Table.adaptive(dependencies.executor())
            : ConcurrencyLimit.Table.unlimited(dependencies.executor());
  }

  AdmissionControl admission(RoutePlanner planner) {
    return AdmissionControl.create(
        dependencies.executor(), planner, admissionPolicy(), cost(), concurrencyLimits, nodes);
  }

  RoutePlanner planner() {
    return RoutePlanner.create(table, routePolicy());
  }

  RequestDispatcher dispatcher(
      Lifecycle lifecycle,
      ActiveConfiguration configuration,
      RoutePlanner planner,
      AdmissionControl admission,
      PlatformStore store,
      MemberTable members) {
    RetryBudget retries = RetryBudget.of(settings.limits().routing().retryShare(), RETRY_RESERVE);
    PipelineContext context =
        new PipelineContext(
            dependencies.executor(),
            dependencies.endpoints(),
            table,
            planner,
            admission,
            retries,
            settings.limits().streams(),
            dependencies.counters());
    PipelineDriver driver =
        PipelineDriver.create(context, settings.identity(), dependencies.random());
    ServiceRouter services =
        ServiceRouter.create(
            dependencies.executor(),
            table,
            dependencies.endpoints(),
            retries,
            dependencies.counters(),
            dependencies.random());
    return new RequestDispatcher(
        lifecycle,
        configuration,
        driver,
        services,
        dependencies.counters(),
        starter -> once(starter, store, members));
  }

  private OnceService once(OnceStarter starter, PlatformStore store, MemberTable members) {
    OnceLimits limits = settings.limits().once();
    return new OnceService(
        dependencies.executor(),
        new OnceRecordTable(dependencies.executor(), limits),
        new TicketIssuer(
            dependencies.executor(), limits, settings.identity(), settings.ticketSecret()),
        new ClaimService(
            dependencies.executor(),
            store,
            dependencies.claimFormat(),
            limits,
            members,
            dependencies.peers()),
        members,
        dependencies.peers(),
        starter,
        dependencies.counters());
  }

  private RoutePolicy routePolicy() {
    Random random = dependencies.random();
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
