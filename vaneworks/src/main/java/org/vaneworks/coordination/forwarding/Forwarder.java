package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.EngineControl;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.HealthWatch;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.quarantine.SharedQuarantine;
import org.vaneworks.coordination.relay.PathPlanner;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/** Takes requests in and forwards those that the configuration allows. */
public final class Forwarder {
  /** A caller that comes back on a new connection reaches another node, which may serve at once. */
  private static final Duration COME_BACK_SOON = Duration.ofMillis(100);

  /** An engine that announces its end goes on for two seconds or more. */
  private static final Duration MOVE_OFF = Duration.ofMillis(800);

  /** How long and how often a request waits for the first configuration after a start. */
  private static final Duration START_WAIT = Duration.ofMillis(400);

  private static final Duration START_RETRY = Duration.ofMillis(20);

  private final Executor clock;
  private final ForwardContext context;
  private final Supplier<Optional<EntryConfiguration>> configuration;
  private final Predicate<Duration> confirmedWithin;
  private Duration keyFreshness;
  private final Set<ForwardRun> running = new LinkedHashSet<>();
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
        .onSuspicion(engine -> ImmutableList.copyOf(running).forEach(run -> run.suspected(engine)));
    context
        .fleet()
        .onRecovery(engine -> ImmutableList.copyOf(running).forEach(run -> run.recovered(engine)));
    context
        .fleet()
        .onEnd(endpoint -> ImmutableList.copyOf(running).forEach(run -> run.ended(endpoint)));
    context.fleet().onLeaving(this::moveOff);
    context
        .quarantine()
        .onHold(content -> ImmutableList.copyOf(running).forEach(run -> run.heldBack(content)));
  }

  /**
   * Returns a forwarder.
   *
   * @param quarantine requests that are held back because endpoints end under them
   * @param configuration the newest configuration that the node knows
   * @param confirmedWithin whether the store confirmed it in answer to a question of that age
   * @param sharingNodes number of nodes that share the budget of repeated sends
   */
  public static Forwarder create(
      Executor clock,
      Random random,
      Fleet fleet,
      HealthWatch health,
      EngineControl control,
      EndpointCalls calls,
      SharedQuarantine quarantine,
      ForwardingLimits limits,
      Supplier<Optional<EntryConfiguration>> configuration,
      Predicate<Duration> confirmedWithin,
      IntSupplier sharingNodes,
      String dataCentre,
      Counters counters) {
    ForwardContext context =
        new ForwardContext(
            clock,
            random,
            fleet,
            PathPlanner.create(random),
            health,
            control,
            calls,
            new WaitingLines(clock),
            ResendBudget.of(limits, sharingNodes),
            quarantine.quarantine(),
            quarantine.endpoints(),
            dataCentre,
            counters);
    return new Forwarder(context, configuration, confirmedWithin, limits.keyFreshness());
  }

  /** Sets the bounds for requests from now on. */
  public void limits(ForwardingLimits limits) {
    keyFreshness = limits.keyFreshness();
    context.budget().limits(limits);
  }

  /** Takes a request whose body has been read; returns what is told of the caller from now on. */
  public CallerAnswer.Flow take(CallerRequest request, CallerAnswer answer) {
    if (configuration.get().isPresent()) {
      return admit(request, answer);
    }
    HeldRequest held = new HeldRequest();
    waitForConfiguration(request, answer, held, clock.currentTime(NANOSECONDS));
    return held;
  }

  private void waitForConfiguration(
      CallerRequest request, CallerAnswer answer, HeldRequest held, long since) {
    if (held.isGone()) {
      return;
    }
    boolean over = clock.currentTime(NANOSECONDS) - since >= START_WAIT.toNanos();
    if (configuration.get().isPresent() || over) {
      held.goOnAs(admit(request, answer));
      return;
    }
    clock.schedule(
        () -> waitForConfiguration(request, answer, held, since),
        START_RETRY.toNanos(),
        NANOSECONDS);
  }

  private CallerAnswer.Flow admit(CallerRequest request, CallerAnswer answer) {
    Optional<EntryConfiguration> known = configuration.get();
    if (known.isEmpty()) {
      return refuse(request, answer, Reason.NOT_READY, "no configuration has been read yet");
    }
    if (!fresh()) {
      return refuse(
          request, answer, Reason.CONFIGURATION_STALE, "the store has not confirmed it lately");
    }
    if (stopping) {
      return refuse(request, answer, Reason.STOPPING, "the node is about to end");
    }
    EntryConfiguration configured = known.get();
    Optional<EntryRoute> route = configured.route(request.host(), request.path());
    if (route.isEmpty()) {
      return refuse(request, answer, Reason.UNKNOWN_PATH, request.host() + request.path());
    }
    Optional<Caller> caller = request.key().flatMap(configured::caller);
    boolean keyed = configured.needsKeys() && !route.get().open();
    if (keyed && caller.isEmpty()) {
      return refuse(request, answer, Reason.UNKNOWN_KEY, "route " + route.get().name());
    }
    ForwardRun run =
        ForwardRun.create(
            context,
            configured,
            route.get(),
            keyed ? caller : Optional.empty(),
            request,
            answer,
            running::remove);
    running.add(run);
    context.counters().count(Metric.REQUESTS, route.get().kind().name());
    run.start();
    return run;
  }

  /** Moves requests off an engine that is leaving; those that end soon are left to end. */
  private void moveOff(TrackedEndpoint engine) {
    clock.schedule(
        () -> ImmutableList.copyOf(running).forEach(run -> run.leaving(engine)),
        MOVE_OFF.toNanos(),
        NANOSECONDS);
  }

  /** Returns whether the configuration was confirmed lately enough to serve. */
  public boolean fresh() {
    return configuration.get().isPresent() && confirmedWithin.test(keyFreshness);
  }

  /** Returns how many requests are in flight. */
  public int inFlight() {
    return running.size();
  }

  /** Refuses new requests from now on; those in flight go on. */
  public void refuseNew() {
    stopping = true;
  }

  private CallerAnswer.Flow refuse(
      CallerRequest request, CallerAnswer answer, Reason reason, String detail) {
    Refusal refusal = Refusal.nothingSent(reason, detail);
    if (reason.status() == 503) {
      refusal = refusal.withRetryAfter(COME_BACK_SOON);
    }
    ForwardLog.refused(request, refusal, Trail.none(), context.counters());
    answer.refuse(refusal);
    return new HeldRequest();
  }
}
