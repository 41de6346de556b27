package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.HealthChecker;
import org.vaneworks.coordination.fleet.ReachabilityMonitor;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/** Admits requests according to the configuration and forwards them to endpoints. */
public final class Forwarder {
  /** Retry-after time; short, as a new connection may reach another node that can serve at once. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  /**
   * Delay before requests are migrated off an engine that is leaving, which runs for at least two
   * more seconds.
   */
  private static final Duration MIGRATION_DELAY = Duration.ofMillis(800);

  /** Maximum time for which a request waits for the first configuration after a start. */
  private static final Duration CONFIGURATION_TIMEOUT = Duration.ofMillis(400);

  private static final Duration CONFIGURATION_POLL_INTERVAL = Duration.ofMillis(20);

  private final Executor clock;
  private final ForwardContext context;
  private final Supplier<Optional<EntryConfiguration>> configuration;
  private final Predicate<Duration> confirmedWithin;
  private Duration keyFreshness;
  private final Set<ForwardedRequest> inFlight = new LinkedHashSet<>();
  private boolean stopping;

  private Forwarder(
      ForwardContext context,
      Supplier<Optional<EntryConfiguration>> configuration,
      Predicate<Duration> confirmedWithin,
      Duration keyFreshness) {
    this.clock = context.clock();
    this.context = context;
    this.configuration = checkNotNull(configuration);
    this.confirmedWithin = checkNotNull(confirmedWithin);
    this.keyFreshness = checkNotNull(keyFreshness);
    context
        .fleet()
        .onSuspicion(
            engine -> notify(mostUrgentFirst(), forwarded -> forwarded.engineSuspected(engine)));
    context
        .fleet()
        .onRecovery(
            engine ->
                notify(
                    ImmutableList.copyOf(inFlight),
                    forwarded -> forwarded.engineRecovered(engine)));
    context
        .fleet()
        .onIncarnationEnd(
            endpoint -> notify(mostUrgentFirst(), forwarded -> forwarded.endpointEnded(endpoint)));
    context
        .health()
        .onStalls(
            (reporter, blockingEngines) ->
                notify(
                    mostUrgentFirst(),
                    forwarded -> forwarded.stallReported(reporter, blockingEngines)));
    context
        .reachability()
        .onChange(
            isolated -> {
              if (isolated) {
                context.crashDetector().discardLosses();
                notify(ImmutableList.copyOf(inFlight), ForwardedRequest::nodeIsolated);
              }
            });
    context.fleet().onLeaving(this::migrateFrom);
    context
        .quarantine()
        .onQuarantined(
            trait ->
                notify(ImmutableList.copyOf(inFlight), forwarded -> forwarded.quarantined(trait)));
  }

  /**
   * Returns a forwarder.
   *
   * @param reachability determines whether this node is isolated from all endpoints
   * @param peers take requests while it is
   * @param quarantine contents of requests that are not sent because endpoints crashed while
   *     running them
   * @param configuration the latest configuration known to the node
   * @param confirmedWithin whether the store confirmed the configuration in response to a request
   *     sent within the given time
   * @param sharing the nodes that share the retry budget
   */
  public static Forwarder create(
      Executor clock,
      Random random,
      Fleet fleet,
      HealthChecker health,
      ReachabilityMonitor reachability,
      PeerNodes peers,
      EngineControl control,
      EndpointTransport transport,
      SharedQuarantine quarantine,
      ForwardingLimits limits,
      Supplier<Optional<EntryConfiguration>> configuration,
      Predicate<Duration> confirmedWithin,
      SharingNodes sharing,
      String dataCentre,
      Counters counters) {
    ForwardContext context =
        new ForwardContext(
            clock,
            random,
            fleet,
            PathPlanner.create(random),
            health,
            reachability,
            peers,
            control,
            transport,
            new CapacityQueues(clock),
            new ResendBudgets(clock, limits, sharing),
            quarantine.quarantine(),
            quarantine.crashDetector(),
            dataCentre,
            counters);
    return new Forwarder(context, configuration, confirmedWithin, limits.keyFreshness());
  }

  /** Updates the limits for subsequent requests. */
  public void updateLimits(ForwardingLimits limits) {
    keyFreshness = limits.keyFreshness();
    context.budgets().updateLimits(limits);
  }

  /** Forwards a request whose body has been read; returns the listener for its caller's events. */
  public CallerResponse.Listener forward(CallerRequest request, CallerResponse response) {
    if (configuration.get().isPresent()) {
      return admit(request, response, Optional.empty());
    }
    PendingRequest pending = new PendingRequest();
    waitForConfiguration(request, response, pending, clock.currentTime(NANOSECONDS));
    return pending;
  }

  /**
   * Forwards a request that a peer, which is isolated from all endpoints, received from a caller.
   * It is not forwarded to another peer, so that it can't circulate.
   */
  public CallerResponse.Listener forwardForPeer(
      CallerRequest request, CallerResponse response, PeerHop hop) {
    if (context.reachability().isIsolated()) {
      return refuse(request, response, Reason.NODE_ISOLATED, "forwarded by a peer");
    }
    CallerResponse.Listener listener = admit(request, response, Optional.of(hop));
    context.reachability().recordPeerIsolated();
    return listener;
  }

  private void waitForConfiguration(
      CallerRequest request, CallerResponse response, PendingRequest pending, long arrivedAt) {
    if (pending.isDisconnected()) {
      return;
    }
    boolean timedOut =
        clock.currentTime(NANOSECONDS) - arrivedAt >= CONFIGURATION_TIMEOUT.toNanos();
    if (configuration.get().isPresent() || timedOut) {
      pending.delegateTo(admit(request, response, Optional.empty()));
      return;
    }
    clock.schedule(
        () -> waitForConfiguration(request, response, pending, arrivedAt),
        CONFIGURATION_POLL_INTERVAL.toNanos(),
        NANOSECONDS);
  }

  private CallerResponse.Listener admit(
      CallerRequest request, CallerResponse response, Optional<PeerHop> hop) {
    try {
      return admitUnguarded(request, response, hop);
    } catch (RuntimeException e) {
      // Nothing was sent: a request that has started handles its exceptions.
      ForwardLog.failedInside(request, e);
      return refuse(request, response, Reason.INTERNAL, RequestGuard.DETAIL);
    }
  }

  private CallerResponse.Listener admitUnguarded(
      CallerRequest request, CallerResponse response, Optional<PeerHop> hop) {
    Optional<EntryConfiguration> known = configuration.get();
    if (known.isEmpty()) {
      return refuse(request, response, Reason.NOT_READY, "no configuration has been read yet");
    }
    if (!hasFreshConfiguration()) {
      return refuse(
          request, response, Reason.CONFIGURATION_STALE, "the store has not confirmed it lately");
    }
    if (stopping) {
      return refuse(request, response, Reason.STOPPING, "the node is about to end");
    }
    EntryConfiguration configured = known.get();
    Optional<EntryRoute> route = configured.route(request.host(), request.path());
    if (route.isEmpty()) {
      return refuse(request, response, Reason.UNKNOWN_PATH, request.host() + request.path());
    }
    if (hop.isPresent() && !route.get().hasService(hop.get().service())) {
      return refuse(request, response, Reason.UNKNOWN_SERVICE, hop.get().service());
    }
    if (hop.isPresent() && !reachesService(configured, hop.get().service())) {
      return refuse(request, response, Reason.NODE_ISOLATED, hop.get().service());
    }
    boolean open = route.get().open();
    if (!open && !configured.accepts(request.key())) {
      return refuse(request, response, Reason.UNKNOWN_KEY, "route " + route.get().name());
    }
    Optional<Caller> caller = open ? Optional.empty() : request.key().flatMap(configured::caller);
    ForwardedRequest forwarded =
        ForwardedRequest.create(
            context, configured, route.get(), caller, request, response, hop, inFlight::remove);
    inFlight.add(forwarded);
    context.counters().count(Metric.REQUESTS, route.get().kind().name());
    forwarded.run(forwarded::start);
    return forwarded;
  }

  /** Returns whether this node reaches engines that together hold every layer, if it has any. */
  private boolean reachesService(EntryConfiguration configured, String service) {
    return configured
        .service(service)
        .flatMap(ServiceProfile::model)
        .map(model -> context.fleet().coversAllLayers(service, model.layers()))
        .orElse(true);
  }

  /** Runs a step of each request; one that throws an exception takes no other along. */
  private static void notify(
      ImmutableList<ForwardedRequest> requests, Consumer<ForwardedRequest> step) {
    requests.forEach(forwarded -> forwarded.run(() -> step.accept(forwarded)));
  }

  /** Returns the requests in the order in which they choose other endpoints after a loss. */
  private ImmutableList<ForwardedRequest> mostUrgentFirst() {
    return ImmutableList.sortedCopyOf(
        Comparator.comparingInt(ForwardedRequest::priority), inFlight);
  }

  /** Migrates requests from an engine that is leaving, except those that complete soon. */
  private void migrateFrom(TrackedEndpoint engine) {
    clock.schedule(
        () -> notify(mostUrgentFirst(), forwarded -> forwarded.engineLeaving(engine)),
        MIGRATION_DELAY.toNanos(),
        NANOSECONDS);
  }

  /** Returns whether the configuration was confirmed recently enough to serve requests. */
  public boolean hasFreshConfiguration() {
    return configuration.get().isPresent() && confirmedWithin.test(keyFreshness);
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.size();
  }

  /** Refuses new requests from now on; requests in flight continue. */
  public void refuseNewRequests() {
    stopping = true;
  }

  /** Gives the callers of all requests in flight a final answer. */
  public void endRequests() {
    notify(ImmutableList.copyOf(inFlight), ForwardedRequest::nodeEnds);
  }

  private CallerResponse.Listener refuse(
      CallerRequest request, CallerResponse response, Reason reason, String detail) {
    Refusal refusal = Refusal.nothingSent(reason, detail);
    if (reason.status() == 503) {
      refusal = refusal.withRetryAfter(RETRY_AFTER);
    }
    ForwardLog.refused(request, refusal, RequestProgress.none(), context.counters());
    response.refuse(refusal);
    return new PendingRequest();
  }
}
