package org.vaneworks.coordination.pipeline;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.vaneworks.coordination.admission.Admission;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.endpoints.EndpointState;
import org.vaneworks.coordination.endpoints.SessionExport;
import org.vaneworks.coordination.endpoints.SessionId;
import org.vaneworks.coordination.endpoints.StepCall;
import org.vaneworks.coordination.endpoints.StepReply;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.coordination.routing.PrefixHashes;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;
import org.vaneworks.coordination.routing.RouteQuery;
import org.vaneworks.state.EndpointId;
import org.vaneworks.state.LayerRange;
import org.vaneworks.state.NotRunProof;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.StreamId;
import org.vaneworks.state.Verdict;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Runs one completion over the hops of its route.
 *
 * <p>At most one attempt is current at any time. An answer is accepted only if it belongs to the
 * current attempt and matches it in stream, epoch, step and layers; all other answers are dropped.
 * An attempt without an answer is not cancelled: it stays current until a replacement takes over. A
 * session whose last attempt has an unknown outcome is never used again, because the replacement
 * runs under a new epoch. As a result, every layer runs exactly once per token in the sessions that
 * produce the answer.
 *
 * <p>Thread-safe. The lock of this class is the outermost in the lock order. The sink is called
 * with the lock held, which keeps its calls in order.
 */
final class StreamRun {
  /** Interval between attempts to plan a replacement route. */
  private static final Duration RECOVERY_RETRY_INTERVAL = Duration.ofMillis(25);

  private static final int MAX_RETRY_INTERVAL_DOUBLINGS = 5;

  /** Interval between attempts to plan a migration off a leaving engine. */
  private static final Duration MIGRATION_RETRY_INTERVAL = Duration.ofMillis(250);

  /** Keeps the connection of a call open until the stream itself abandons the call. */
  private static final Duration CONNECTION_TIMEOUT_MARGIN = Duration.ofSeconds(1);

  /** Cause of replacements and ejections. */
  private static final String LOST = "lost";

  /** Outcome of calls that were replaced or abandoned because they made no progress. */
  private static final String NO_PROGRESS = "no-progress";

  /** A call that was sent; its answer is accepted only while this object is current. */
  private static final class Attempt {
    private final int index;
    private final StepCall call;
    private final long sentAt;
    private Cancellable timer = () -> {};

    Attempt(int index, StepCall call, long sentAt) {
      this.index = index;
      this.call = call;
      this.sentAt = sentAt;
    }
  }

  /** A planned replacement of one hop, or of the whole route. */
  private record Replacement(int index, boolean isWholeRoute, PlannedRoute route) {}

  /**
   * A replacement of a hop whose engine is silent, which was sent the current step while the former
   * attempt may still be answered. The stream continues with the one that answers first.
   */
  private static final class Trial {
    private final Attempt attempt;
    private final ImmutableList<Hop> hops;
    private final EndpointState replaced;
    private final long since;

    Trial(Attempt attempt, List<Hop> hops, EndpointState replaced, long since) {
      this.attempt = attempt;
      this.hops = ImmutableList.copyOf(hops);
      this.replaced = replaced;
      this.since = since;
    }

    EndpointState engine() {
      return hops.get(0).engine();
    }
  }

  /** A hop on a leaving engine, and the engine to which its session is migrated. */
  private record Migration(int index, EndpointState target) {}

  private final PipelineContext context;
  private final StreamId id;
  private final CompletionRequest request;
  private final RouteQuery query;
  private final AnswerSink sink;
  private final Consumer<StreamRun> onEnd;

  @GuardedBy("this")
  private CompletableFuture<Admission> admission = new CompletableFuture<>();

  @GuardedBy("this")
  private final StreamHops hops;

  @GuardedBy("this")
  private final StreamMeter meter;

  @GuardedBy("this")
  private final Set<EndpointId> excluded = new HashSet<>();

  @GuardedBy("this")
  private Attempt current;

  @GuardedBy("this")
  private Optional<Trial> trial = Optional.empty();

  @GuardedBy("this")
  private boolean ended;

  @GuardedBy("this")
  private int step;

  @GuardedBy("this")
  private Verdict combinedVerdict = Verdict.NOT_RUN;

  @GuardedBy("this")
  private int replacements;

  /** Whether a lost hop has not been replaced by one that answered yet. */
  @GuardedBy("this")
  private boolean isRecovering;

  /** When the hop that is being replaced was lost. */
  @GuardedBy("this")
  private long lostAt;

  /** Number of engines without room in the current recovery. */
  @GuardedBy("this")
  private int overloadRefusals;

  @GuardedBy("this")
  private long lastMigrationAttempt;

  @GuardedBy("this")
  private Cancellable deadline = () -> {};

  StreamRun(
      PipelineContext context,
      StreamId id,
      CompletionRequest request,
      AnswerSink sink,
      Consumer<StreamRun> onEnd) {
    this.context = context;
    this.id = id;
    this.request = request;
    this.sink = sink;
    this.onEnd = onEnd;
    this.query =
        new RouteQuery(
            request.plan().model(),
            request.plan().span(),
            request.promptTokens(),
            request.maxTokens(),
            PrefixHashes.of(request.prompt()),
            request.plan().firstToken(),
            request.plan().betweenTokens(),
            ImmutableSet.of());
    this.hops = new StreamHops(id, context.client(), context.limits().replayCharacters());
    this.meter = new StreamMeter(context, query, now());
    this.lastMigrationAttempt = now() - MIGRATION_RETRY_INTERVAL.toNanos();
  }

  synchronized void start() {
    context.retries().deposit();
    admission = context.admission().admit(request, query);
    Async.onDone(
        admission,
        context.executor(),
        (granted, failure) -> runGuarded(() -> onAdmitted(granted, failure)));
    request.deadline().ifPresent(limit -> deadline = after(limit, this::onDeadline));
  }

  /** Ends the stream after its caller disconnected; ends the sessions of all hops. */
  synchronized void cancel() {
    if (!ended) {
      context.admission().withdraw(admission);
      fail(Reason.CALLER_GONE, "the caller left", Optional.empty());
    }
  }

  private synchronized void onDeadline() {
    if (!ended) {
      context.admission().withdraw(admission);
      fail(Reason.DEADLINE, "the deadline passed", Optional.empty());
    }
  }

  private synchronized void onAdmitted(Admission granted, Throwable failure) {
    if (granted == null) {
      if (!ended) {
        end(RefusalException.refusalOf(failure));
      }
      return;
    }
    hops.start(granted.route());
    if (ended) {
      hops.releaseAll();
      granted.release();
      return;
    }
    callHop(0, request.prompt());
  }

  // Sending steps.

  @GuardedBy("this")
  private void callHop(int index, String input) {
    Hop hop = hops.get(index);
    hops.storeInput(hop, step, input);
    Attempt attempt = new Attempt(index, stepCall(hop, input), now());
    current = attempt;
    watchProgress(attempt, attempt.sentAt);
    send(attempt, hop.engine());
  }

  @GuardedBy("this")
  private StepCall stepCall(Hop hop, String input) {
    ImmutableList<String> history = hop.inputsToReplay(step);
    return new StepCall(
        hop.session(),
        step,
        step == 0 ? request.promptTokens() : 1,
        input,
        history,
        history.isEmpty() ? 0 : request.promptTokens() + step - 1,
        request.priority());
  }

  private void send(Attempt attempt, EndpointState engine) {
    Duration timeout = abandonAfter(engine).plus(CONNECTION_TIMEOUT_MARGIN);
    Async.onDone(
        context.client().step(engine.endpoint(), attempt.call, timeout),
        context.executor(),
        (reply, failure) -> runGuarded(() -> onAnswer(attempt, reply, failure)));
  }

  /**
   * Schedules a check of the attempt's progress.
   *
   * <p>A slow answer is no reason to replace an engine that still answers steps of other streams:
   * the engine is busy, and the attempt may take as long as the step timeout. A request that is not
   * repeatable can't be sent to another engine, so its attempt is only checked once it is to be
   * abandoned.
   */
  @GuardedBy("this")
  private void watchProgress(Attempt attempt, long since) {
    EndpointState engine = hops.get(attempt.index).engine();
    Duration timeout =
        request.repeatable() ? engine.progressDeadline(attempt.call) : abandonAfter(engine);
    attempt.timer = after(timeout, () -> runGuarded(() -> checkProgress(attempt, engine, since)));
  }

  private synchronized void checkProgress(Attempt attempt, EndpointState engine, long since) {
    if (ended || attempt != current) {
      return;
    }
    if (isBusyWithOthers(attempt, engine, since)) {
      watchProgress(attempt, now());
    } else if (!request.repeatable()) {
      abandonAttempt(attempt, engine);
    } else if (!tryReplaceEngine(attempt, engine, now())) {
      reportNotReplaced(engine);
      excluded.clear();
      scheduleReplacementRetry(attempt, engine, now());
    }
  }

  private boolean isBusyWithOthers(Attempt attempt, EndpointState engine, long since) {
    return engine.lastProgress() - since > 0 && !isOverdue(attempt, engine);
  }

  private boolean isOverdue(Attempt attempt, EndpointState engine) {
    return hasTaken(attempt, engine.stepTimeout());
  }

  private boolean hasTaken(Attempt attempt, Duration duration) {
    return now() - attempt.sentAt >= duration.toNanos();
  }

  /** Returns how long after it was sent a call without an answer is abandoned. */
  private Duration abandonAfter(EndpointState engine) {
    return engine.stepTimeout().plus(context.limits().recoveryTimeout());
  }

  @GuardedBy("this")
  private void abandonAttempt(Attempt attempt, EndpointState engine) {
    context.counters().count(Metric.HOP_CALLS, NO_PROGRESS);
    onAttemptFailed(
        attempt,
        Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "no progress on " + engine.endpoint().id()));
  }

  // Replacing an engine that makes no progress.

  @GuardedBy("this")
  private void scheduleReplacementRetry(Attempt attempt, EndpointState engine, long since) {
    attempt.timer =
        after(
            recoveryRetryInterval(),
            () -> runGuarded(() -> retryReplacement(attempt, engine, since)));
  }

  /**
   * Tries again to replace an engine that does not answer.
   *
   * <p>A missing answer does not prove that the attempt failed, so the attempt stays current until
   * it is replaced: its answer or failure is still processed. The timeout covers calls that never
   * end.
   */
  private synchronized void retryReplacement(Attempt attempt, EndpointState engine, long since) {
    if (ended || attempt != current) {
      return;
    }
    if (isBusyWithOthers(attempt, engine, since)) {
      watchProgress(attempt, now());
    } else if (hasTaken(attempt, abandonAfter(engine))) {
      abandonAttempt(attempt, engine);
    } else if (!tryReplaceEngine(attempt, engine, since)) {
      excluded.clear();
      scheduleReplacementRetry(attempt, engine, since);
    }
  }

  /**
   * Begins to replace an engine that does not answer, if a replacement is allowed and can be
   * planned.
   *
   * <p>A replacement of the hop is tried first, see {@link Trial}. A whole new route may open newer
   * sessions on engines of the present one, which ends the present attempt, so it takes over at
   * once.
   */
  @GuardedBy("this")
  private boolean tryReplaceEngine(Attempt attempt, EndpointState engine, long since) {
    if (!replacementAllowed()) {
      return false;
    }
    Optional<Replacement> replacement = planReplacement(attempt.index, excludedIncluding(engine));
    if (replacement.isEmpty() || replacement.get().route().isLastResort()) {
      return false;
    }
    if (replacement.get().isWholeRoute()) {
      abandonEngine(engine, since);
      apply(replacement.get());
    } else {
      startTrial(attempt, engine, since, replacement.get().route());
    }
    return true;
  }

  @GuardedBy("this")
  private void abandonEngine(EndpointState engine, long since) {
    context.counters().count(Metric.HOP_CALLS, NO_PROGRESS);
    combinedVerdict = combinedVerdict.and(Verdict.MAY_HAVE_RUN);
    context.table().eject(engine, LOST);
    recordReplacement(engine, LOST, since);
  }

  @GuardedBy("this")
  private void startTrial(Attempt former, EndpointState engine, long since, PlannedRoute route) {
    List<Hop> replacement = hops.prepareReplacement(former.index, route);
    StepCall call = stepCall(replacement.get(0), former.call.input());
    Trial started = new Trial(new Attempt(former.index, call, now()), replacement, engine, since);
    trial = Optional.of(started);
    watchTrial(started, started.engine().progressDeadline(call));
    send(started.attempt, started.engine());
  }

  @GuardedBy("this")
  private void watchTrial(Trial watched, Duration delay) {
    watched.attempt.timer = after(delay, () -> runGuarded(() -> checkTrial(watched)));
  }

  /** Tries another engine if the one that is tried does not answer either. */
  private synchronized void checkTrial(Trial checked) {
    if (ended || trial.filter(checked::equals).isEmpty()) {
      return;
    }
    Attempt former = current;
    if (hasTaken(former, abandonAfter(checked.replaced))) {
      abandonEngine(checked.replaced, checked.since);
      promoteTrial(checked);
      return;
    }
    ImmutableSet<EndpointId> silent =
        ImmutableSet.<EndpointId>builder()
            .addAll(excludedIncluding(checked.replaced))
            .add(checked.engine().endpoint().id())
            .build();
    Optional<Replacement> other =
        planHopReplacement(former.index, silent).filter(found -> !found.route().isLastResort());
    if (other.isPresent()) {
      excluded.add(checked.engine().endpoint().id());
      endTrial();
      startTrial(former, checked.replaced, checked.since, other.get().route());
    } else {
      watchTrial(checked, RECOVERY_RETRY_INTERVAL);
    }
  }

  /** Makes the attempt of a trial the current one. */
  @GuardedBy("this")
  private void promoteTrial(Trial promoted) {
    trial = Optional.empty();
    promoted.attempt.timer.cancel();
    if (current != null) {
      current.timer.cancel();
    }
    hops.commitReplacement(promoted.attempt.index, promoted.hops, step);
    current = promoted.attempt;
    watchProgress(current, now());
  }

  @GuardedBy("this")
  private void endTrial() {
    trial.ifPresent(
        started -> {
          started.attempt.timer.cancel();
          hops.discardReplacement(started.hops);
        });
    trial = Optional.empty();
  }

  /** Returns to the former attempt alone if the engine that was tried does not take the stream. */
  @GuardedBy("this")
  private void onTrialFailed(Trial failed, Refusal refusal) {
    endTrial();
    combinedVerdict = combinedVerdict.and(refusal.verdict());
    excluded.add(failed.engine().endpoint().id());
    if (refusal.reason() == Reason.ENDPOINT_OVERLOADED) {
      overloadRefusals++;
    } else {
      context
          .table()
          .eject(failed.engine(), refusal.verdict() == Verdict.NOT_RUN ? "refused" : LOST);
    }
    scheduleReplacementRetry(current, failed.replaced, failed.since);
  }

  @GuardedBy("this")
  private ImmutableSet<EndpointId> excludedIncluding(EndpointState engine) {
    return ImmutableSet.<EndpointId>builder().addAll(excluded).add(engine.endpoint().id()).build();
  }

  @GuardedBy("this")
  private void reportNotReplaced(EndpointState engine) {
    String denial = replacementAllowed() ? "no-route" : "replacements-used";
    context.counters().count(Metric.STAYS, NO_PROGRESS + "/" + denial);
    EventLog.info(
        Event.REQUEST_STAYS, "stream", id, "endpoint", engine.endpoint().id(), "denial", denial);
  }

  // Processing answers.

  private synchronized void onAnswer(Attempt attempt, StepReply reply, Throwable failure) {
    Optional<Trial> answered = trial.filter(started -> started.attempt == attempt);
    if (ended || (attempt != current && answered.isEmpty())) {
      recordDropped("late");
      return;
    }
    attempt.timer.cancel();
    if (failure != null) {
      context.counters().count(Metric.HOP_CALLS, "failed");
      onFailure(attempt, answered, RefusalException.refusalOf(failure));
    } else if (!reply.answers(attempt.call)) {
      recordDropped("foreign");
      Refusal foreign = Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "a foreign answer came back");
      onFailure(attempt, answered, foreign);
    } else {
      context.counters().count(Metric.HOP_CALLS, "answered");
      answered.ifPresent(
          started -> {
            abandonEngine(started.replaced, started.since);
            promoteTrial(started);
            attempt.timer.cancel();
          });
      endTrial();
      accept(attempt, reply);
    }
  }

  @GuardedBy("this")
  private void onFailure(Attempt attempt, Optional<Trial> answered, Refusal refusal) {
    if (answered.isPresent()) {
      onTrialFailed(answered.get(), refusal);
    } else {
      onAttemptFailed(attempt, refusal);
    }
  }

  private void recordDropped(String reason) {
    context.counters().count(Metric.DROPPED_ANSWERS, reason);
    EventLog.info(Event.ANSWER_DROPPED, "stream", id, "why", reason);
  }

  @GuardedBy("this")
  private void accept(Attempt attempt, StepReply reply) {
    current = null;
    combinedVerdict = Verdict.RAN;
    isRecovering = false;
    overloadRefusals = 0;
    Hop hop = hops.get(attempt.index);
    hop.recordStep(step);
    hop.engine().recordStep(attempt.call, Duration.ofNanos(now() - attempt.sentAt));
    if (step == 0) {
      hop.engine().recordCachedPrompt(query.prefixes());
    }
    int next = attempt.index + 1;
    if (next < hops.size()) {
      hops.get(next).restoreInputs(reply.historyOutputs());
      callHop(next, reply.output());
      return;
    }
    acceptToken(reply.output());
  }

  @GuardedBy("this")
  private void acceptToken(String token) {
    meter.recordToken(now());
    step++;
    sink.token(token);
    if (ended) {
      return; // The sink cancelled the stream because its caller stopped reading.
    }
    if (step == request.maxTokens()) {
      ended = true;
      sink.complete();
      cleanUp();
      return;
    }
    Optional<Migration> migration = planMigration();
    if (migration.isPresent()) {
      migrate(migration.get(), token);
    } else {
      callHop(0, token);
    }
  }

  // Replacing failed hops.

  @GuardedBy("this")
  private void onAttemptFailed(Attempt attempt, Refusal refusal) {
    attempt.timer.cancel();
    current = null;
    Hop hop = hops.get(attempt.index);
    combinedVerdict = combinedVerdict.and(refusal.verdict());
    if (trial.isPresent()) {
      context.table().eject(hop.engine(), refusal.verdict() == Verdict.NOT_RUN ? "refused" : LOST);
      recordReplacement(hop.engine(), LOST, trial.get().since);
      promoteTrial(trial.get());
      return;
    }
    boolean overloaded = refusal.reason() == Reason.ENDPOINT_OVERLOADED;
    if (!overloaded) {
      context.table().eject(hop.engine(), refusal.verdict() == Verdict.NOT_RUN ? "refused" : LOST);
    }
    boolean neverRanHere = refusal.verdict() == Verdict.NOT_RUN && hop.stepsRun() == 0;
    if (!overloaded || !isRecovering) {
      lostAt = now();
    }
    if (!request.repeatable() && !neverRanHere) {
      fail(Reason.ENDPOINT_LOST, refusal.detail(), Optional.empty());
    } else if (overloaded && step > 0) {
      replaceOverloaded(attempt.index, hop);
    } else if (overloaded && !context.retries().tryWithdraw()) {
      fail(Reason.RETRY_BUDGET, refusal.detail(), Optional.of(Duration.ofSeconds(1)));
    } else if (!replacementAllowed()) {
      fail(Reason.RECOVERY_EXHAUSTED, refusal.detail(), Optional.of(Duration.ofSeconds(1)));
    } else {
      recordReplacement(hop.engine(), overloaded ? "overloaded" : LOST, now());
      isRecovering = true;
      hops.releaseLost(attempt.index);
      replace(attempt.index, lostAt);
    }
  }

  /**
   * Replaces a hop whose engine was overloaded when it was to take over a part of a running stream.
   *
   * <p>The refusals of engines without room neither count as replacements nor use the retry budget,
   * since they would cut a stream whose engines are alive. Their rate is limited instead, and the
   * stream waits no longer than for any other lost hop.
   */
  @GuardedBy("this")
  private void replaceOverloaded(int index, Hop hop) {
    overloadRefusals++;
    isRecovering = true;
    excluded.add(hop.engine().endpoint().id());
    context.counters().count(Metric.RETRIES, "overloaded-running");
    hops.releaseLost(index);
    replace(index, lostAt);
  }

  @GuardedBy("this")
  private boolean replacementAllowed() {
    return replacements < context.limits().maxReplacements();
  }

  @GuardedBy("this")
  private void recordReplacement(EndpointState engine, String cause, long since) {
    replacements++;
    meter.recordLoss(since);
    excluded.add(engine.endpoint().id());
    context.counters().count(Metric.RETRIES, cause);
  }

  /**
   * Replaces a lost hop, keeping as much of the route as possible, and retries later if no
   * replacement can be planned yet.
   *
   * <p>For a request that is not repeatable this is called only if the hop never ran, so no part
   * runs twice. A whole new route would rerun the hops before it, so it is planned only for
   * repeatable requests, or if no hop ran.
   */
  private synchronized void replace(int index, long since) {
    if (ended) {
      return;
    }
    Optional<Replacement> replacement = planReplacement(index, excluded);
    if (replacement.isPresent()) {
      apply(replacement.get());
      return;
    }
    if (recoveryTimedOut(since)) {
      fail(
          Reason.NO_ENDPOINT,
          "no live engines cover " + query.model(),
          Optional.of(Duration.ofSeconds(1)));
      return;
    }
    excluded.clear();
    context
        .executor()
        .schedule(() -> runGuarded(() -> replace(index, since)), recoveryRetryInterval());
  }

  /** Returns an interval that doubles with each engine that was overloaded in this recovery. */
  @GuardedBy("this")
  private Duration recoveryRetryInterval() {
    return RECOVERY_RETRY_INTERVAL.multipliedBy(
        1L << Math.min(overloadRefusals, MAX_RETRY_INTERVAL_DOUBLINGS));
  }

  private boolean recoveryTimedOut(long since) {
    return now() - since > context.limits().recoveryTimeout().toNanos();
  }

  @GuardedBy("this")
  private boolean restartAllowed() {
    return request.repeatable() || hops.neverRan();
  }

  @GuardedBy("this")
  private Optional<Replacement> planReplacement(int index, Set<EndpointId> excludedEngines) {
    Optional<Replacement> hopReplacement = planHopReplacement(index, excludedEngines);
    return hopReplacement.isPresent() || !restartAllowed()
        ? hopReplacement
        : planRouteReplacement(excludedEngines);
  }

  @GuardedBy("this")
  private Optional<Replacement> planHopReplacement(int index, Set<EndpointId> excludedEngines) {
    Hop lostHop = hops.get(index);
    if (!lostHop.hasInputsBefore(step + 1)) {
      return Optional.empty();
    }
    LayerRange range = lostHop.session().layers();
    return context
        .planner()
        .plan(remainingQuery(range, excludedEngines))
        .map(route -> new Replacement(index, false, route));
  }

  @GuardedBy("this")
  private Optional<Replacement> planRouteReplacement(Set<EndpointId> excludedEngines) {
    return context
        .planner()
        .plan(remainingQuery(query.span(), excludedEngines))
        .map(route -> new Replacement(0, true, route));
  }

  @GuardedBy("this")
  private void apply(Replacement replacement) {
    if (replacement.isWholeRoute()) {
      hops.replaceAll(replacement.route(), step);
    } else {
      hops.replace(replacement.index(), replacement.route(), step);
    }
    callHop(replacement.index(), hops.get(replacement.index()).input(step));
  }

  @GuardedBy("this")
  private RouteQuery remainingQuery(LayerRange range, Set<EndpointId> excludedEngines) {
    RouteQuery remaining = query.covering(range, excludedEngines);
    return remaining.withWork(request.promptTokens() + step, request.maxTokens() - step);
  }

  // Migration off leaving engines.

  /** Plans a migration off a leaving engine, if another engine can take over its layers. */
  @GuardedBy("this")
  private Optional<Migration> planMigration() {
    if (now() - lastMigrationAttempt < MIGRATION_RETRY_INTERVAL.toNanos() || isNearlyDone()) {
      return Optional.empty();
    }
    for (int index = 0; index < hops.size(); index++) {
      EndpointState engine = hops.get(index).engine();
      if (engine.isLeaving() && !excluded.contains(engine.endpoint().id())) {
        Optional<Migration> migration = planMigrationOf(index);
        if (migration.isPresent()) {
          return migration;
        }
        lastMigrationAttempt = now();
      }
    }
    return Optional.empty();
  }

  @GuardedBy("this")
  private boolean isNearlyDone() {
    double meanTokenNanos = meter.meanTokenNanos(now(), step);
    return meanTokenNanos * (request.maxTokens() - step)
        < context.limits().migrationThreshold().toNanos();
  }

  @GuardedBy("this")
  private Optional<Migration> planMigrationOf(int index) {
    LayerRange range = hops.get(index).session().layers();
    return context
        .planner()
        .plan(remainingQuery(range, excluded))
        .filter(route -> route.engines().size() == 1)
        .filter(route -> !route.isLastResort())
        .map(route -> new Migration(index, route.engines().get(0)));
  }

  /** Copies the session of a hop to another engine; the hop is kept if the copy fails. */
  @GuardedBy("this")
  private void migrate(Migration migration, String token) {
    Hop source = hops.get(migration.index());
    // A failed copy is not retried, because each attempt delays the stream.
    excluded.add(source.engine().endpoint().id());
    EndpointState engine = migration.target();
    SessionId session = hops.beginMigration(engine);
    Async.onDone(
        context
            .client()
            .exportSession(source.engine().endpoint(), source.session())
            .thenCompose(export -> importSession(engine, session, export)),
        context.executor(),
        (done, failure) ->
            runGuarded(() -> onMigrated(migration.index(), engine, session, token, failure)));
  }

  private CompletableFuture<Void> importSession(
      EndpointState engine, SessionId session, SessionExport export) {
    return context.client().importSession(engine.endpoint(), session, export);
  }

  private synchronized void onMigrated(
      int index, EndpointState engine, SessionId session, String token, Throwable failure) {
    if (ended || failure != null) {
      hops.abortMigration(engine, session);
    } else {
      hops.completeMigration(index, engine, session);
    }
    if (!ended) {
      callHop(0, token);
    }
  }

  // Ending the stream.

  /** Ends the stream with a refusal whose verdict covers all attempts so far. */
  @GuardedBy("this")
  private void fail(Reason reason, String detail, Optional<Duration> retryAfter) {
    Verdict verdict = current == null ? combinedVerdict : combinedVerdict.and(Verdict.MAY_HAVE_RUN);
    Refusal refusal =
        switch (verdict) {
          case NOT_RUN -> Refusal.notRun(NotRunProof.ENDPOINT_REFUSED, reason, detail);
          case MAY_HAVE_RUN -> Refusal.mayHaveRun(reason, detail);
          case RAN -> Refusal.ran(reason, detail);
        };
    end(retryAfter.map(refusal::withRetryAfter).orElse(refusal));
  }

  @GuardedBy("this")
  private void end(Refusal refusal) {
    ended = true;
    EventLog.info(
        Event.STREAM_FAILED,
        "stream",
        id,
        "workspace",
        request.plan().workspace(),
        "reason",
        refusal.reason().code(),
        "verdict",
        refusal.verdict());
    sink.failed(refusal);
    cleanUp();
  }

  @GuardedBy("this")
  private void cleanUp() {
    deadline.cancel();
    endTrial();
    if (current != null) {
      current.timer.cancel();
      current = null;
    }
    hops.releaseAll();
    Async.ignore(admission.thenAccept(Admission::release));
    onEnd.accept(this);
  }

  /** Runs a task and ends the stream if the task throws, so that a bug can't leave it hanging. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | AssertionError e) {
      EventLog.error(Event.REQUEST_FAILED_INSIDE, e);
      synchronized (this) {
        if (!ended) {
          fail(Reason.INTERNAL, String.valueOf(e), Optional.empty());
        }
      }
    }
  }

  private Cancellable after(Duration delay, Runnable task) {
    return context.executor().schedule(task, delay);
  }

  private long now() {
    return context.executor().currentTime(NANOSECONDS);
  }
}
