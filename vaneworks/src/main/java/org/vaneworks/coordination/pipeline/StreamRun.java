package org.vaneworks.coordination.pipeline;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.HashSet;
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
 * One completion on its way through the hops.
 *
 * <p>At any time at most one attempt is current. An answer counts only if it belongs to the current
 * attempt and matches it in stream, epoch, step and layers; everything else is dropped. Silence
 * does not end an attempt: it stays current until a replacement takes over. After an attempt whose
 * outcome is unknown its session is never used again: the replacement runs under a new epoch. So
 * within the lineages that make up the answer every layer runs exactly once a token.
 *
 * <p>Thread-safe. The lock is the outermost; calls to the sink are made under it, which keeps them
 * in order.
 */
final class StreamRun {
  private static final Duration RECOVERY_RECHECK = Duration.ofMillis(25);

  /** How often a place is sought for hops on leaving engines. */
  private static final Duration MOVE_RECHECK = Duration.ofMillis(250);

  /** Cause of replacements and ejections. */
  private static final String LOST = "lost";

  /** Outcome of calls that were left or given up for their silence. */
  private static final String NO_PROGRESS = "no-progress";

  /** A call on its way: the answer must come for exactly this object. */
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

  /** A planned way around one hop, or a whole new route. */
  private record WayAround(int index, boolean isWhole, PlannedRoute route) {}

  /** A hop on a leaving engine, and the engine to which its session can go. */
  private record Move(int index, EndpointState target) {}

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
  private boolean ended;

  @GuardedBy("this")
  private int step;

  @GuardedBy("this")
  private Verdict soFar = Verdict.NOT_RUN;

  @GuardedBy("this")
  private int replacements;

  @GuardedBy("this")
  private long movesSoughtAt;

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
    this.movesSoughtAt = now() - MOVE_RECHECK.toNanos();
  }

  synchronized void start() {
    context.retries().earn();
    admission = context.admission().admit(request, query);
    Async.onDone(
        admission,
        context.executor(),
        (granted, failure) -> guarded(() -> admitted(granted, failure)));
    request.deadline().ifPresent(limit -> deadline = after(limit, this::deadlinePassed));
  }

  /** Ends the stream for a caller that is gone; frees every hop. */
  synchronized void cancel() {
    if (!ended) {
      context.admission().withdraw(admission);
      fail(Reason.CALLER_GONE, "the caller left", Optional.empty());
    }
  }

  private synchronized void deadlinePassed() {
    if (!ended) {
      context.admission().withdraw(admission);
      fail(Reason.DEADLINE, "the deadline passed", Optional.empty());
    }
  }

  private synchronized void admitted(Admission granted, Throwable failure) {
    if (granted == null) {
      if (!ended) {
        end(RefusalException.refusalOf(failure));
      }
      return;
    }
    hops.begin(granted.route());
    if (ended) {
      hops.release();
      granted.release();
      return;
    }
    callHop(0, request.prompt());
  }

  // Sending.

  @GuardedBy("this")
  private void callHop(int index, String input) {
    Hop hop = hops.get(index);
    hops.remember(hop, step, input);
    ImmutableList<String> history = hop.missingBefore(step);
    StepCall call =
        new StepCall(
            hop.session(),
            step,
            step == 0 ? request.promptTokens() : 1,
            input,
            history,
            history.isEmpty() ? 0 : request.promptTokens() + step - 1,
            request.priority());
    Attempt attempt = new Attempt(index, call, now());
    current = attempt;
    watchProgress(attempt, attempt.sentAt);
    Async.onDone(
        context.client().step(hop.engine().endpoint(), call),
        context.executor(),
        (reply, failure) -> guarded(() -> answered(attempt, reply, failure)));
  }

  /**
   * Plans a look at the attempt's progress.
   *
   * <p>A slow answer alone doesn't condemn an engine: while it answers other streams' steps it is
   * busy, not frozen, and the attempt may take as long as the step timeout. A request that is not
   * repeatable can't be helped by giving up early, so it always waits that long.
   */
  @GuardedBy("this")
  private void watchProgress(Attempt attempt, long since) {
    EndpointState engine = hops.get(attempt.index).engine();
    Duration patience =
        request.repeatable() ? engine.progressDeadline(attempt.call) : engine.stepTimeout();
    attempt.timer = after(patience, () -> guarded(() -> checkProgress(attempt, engine, since)));
  }

  private synchronized void checkProgress(Attempt attempt, EndpointState engine, long since) {
    if (ended || attempt != current) {
      return;
    }
    if (isBusyWithOthers(attempt, engine, since)) {
      watchProgress(attempt, now());
    } else if (!request.repeatable()) {
      giveUpSilent(attempt, engine);
    } else if (!leaveSilent(attempt, engine, now())) {
      tellStaying(engine);
      excluded.clear();
      seekElsewhereSoon(attempt, engine, now());
    }
  }

  private boolean isBusyWithOthers(Attempt attempt, EndpointState engine, long since) {
    return engine.lastProgress() - since > 0 && !isOverdue(attempt, engine);
  }

  private boolean isOverdue(Attempt attempt, EndpointState engine) {
    return now() - attempt.sentAt >= engine.stepTimeout().toNanos();
  }

  @GuardedBy("this")
  private void giveUpSilent(Attempt attempt, EndpointState engine) {
    context.counters().count(Metric.HOP_CALLS, NO_PROGRESS);
    lost(
        attempt,
        Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "no progress on " + engine.endpoint().id()));
  }

  // Silence.

  @GuardedBy("this")
  private void seekElsewhereSoon(Attempt attempt, EndpointState engine, long since) {
    attempt.timer =
        after(RECOVERY_RECHECK, () -> guarded(() -> seekElsewhere(attempt, engine, since)));
  }

  /**
   * Seeks a replacement for a silent engine.
   *
   * <p>Silence proves nothing, so the attempt goes on meanwhile: its answer counts, and so does the
   * news that it failed. The bound is for calls that never end.
   */
  private synchronized void seekElsewhere(Attempt attempt, EndpointState engine, long since) {
    if (ended || attempt != current) {
      return;
    }
    if (isBusyWithOthers(attempt, engine, since)) {
      watchProgress(attempt, now());
    } else if (isPatienceOver(since) && isOverdue(attempt, engine)) {
      giveUpSilent(attempt, engine);
    } else if (!leaveSilent(attempt, engine, since)) {
      seekElsewhereSoon(attempt, engine, since);
    }
  }

  /** Leaves a silent engine, if a replacement is allowed and planned. */
  @GuardedBy("this")
  private boolean leaveSilent(Attempt attempt, EndpointState engine, long since) {
    if (!mayReplace()) {
      return false;
    }
    Optional<WayAround> way = wayAround(attempt.index, excludedWith(engine));
    if (way.isEmpty() || way.get().route().isLastResort()) {
      return false;
    }
    context.counters().count(Metric.HOP_CALLS, NO_PROGRESS);
    soFar = soFar.and(Verdict.MAY_HAVE_RUN);
    context.table().eject(engine, LOST);
    noteReplacement(engine, LOST, since);
    take(way.get());
    return true;
  }

  @GuardedBy("this")
  private ImmutableSet<EndpointId> excludedWith(EndpointState engine) {
    return ImmutableSet.<EndpointId>builder().addAll(excluded).add(engine.endpoint().id()).build();
  }

  @GuardedBy("this")
  private void tellStaying(EndpointState engine) {
    String denial = mayReplace() ? "no-route" : "replacements-used";
    context.counters().count(Metric.STAYS, NO_PROGRESS + "/" + denial);
    EventLog.info(
        Event.REQUEST_STAYS, "stream", id, "endpoint", engine.endpoint().id(), "denial", denial);
  }

  // Answers.

  private synchronized void answered(Attempt attempt, StepReply reply, Throwable failure) {
    if (ended || attempt != current) {
      drop("late");
      return;
    }
    attempt.timer.cancel();
    if (failure != null) {
      context.counters().count(Metric.HOP_CALLS, "failed");
      lost(attempt, RefusalException.refusalOf(failure));
    } else if (!reply.answers(attempt.call)) {
      drop("foreign");
      lost(attempt, Refusal.mayHaveRun(Reason.ENDPOINT_LOST, "a foreign answer came back"));
    } else {
      context.counters().count(Metric.HOP_CALLS, "answered");
      accept(attempt, reply);
    }
  }

  private void drop(String why) {
    context.counters().count(Metric.DROPPED_ANSWERS, why);
    EventLog.info(Event.ANSWER_DROPPED, "stream", id, "why", why);
  }

  @GuardedBy("this")
  private void accept(Attempt attempt, StepReply reply) {
    current = null;
    soFar = Verdict.RAN;
    Hop hop = hops.get(attempt.index);
    hop.ranThrough(step);
    hop.engine().recordStep(attempt.call, Duration.ofNanos(now() - attempt.sentAt));
    if (step == 0) {
      hop.engine().recordCachedPrompt(query.prefixes());
    }
    int next = attempt.index + 1;
    if (next < hops.size()) {
      hops.get(next).adoptHistory(reply.historyOutputs());
      callHop(next, reply.output());
      return;
    }
    acceptToken(reply.output());
  }

  @GuardedBy("this")
  private void acceptToken(String token) {
    meter.token(now());
    step++;
    sink.token(token);
    if (ended) {
      return; // The sink cancelled: its caller stopped reading.
    }
    if (step == request.maxTokens()) {
      ended = true;
      sink.complete();
      cleanUp();
      return;
    }
    Optional<Move> move = planMove();
    if (move.isPresent()) {
      move(move.get(), token);
    } else {
      callHop(0, token);
    }
  }

  // Loss and replacement.

  @GuardedBy("this")
  private void lost(Attempt attempt, Refusal why) {
    attempt.timer.cancel();
    current = null;
    Hop hop = hops.get(attempt.index);
    soFar = soFar.and(why.verdict());
    boolean overloaded = why.reason() == Reason.ENDPOINT_OVERLOADED;
    if (!overloaded) {
      context.table().eject(hop.engine(), why.verdict() == Verdict.NOT_RUN ? "refused" : LOST);
    }
    boolean neverRanHere = why.verdict() == Verdict.NOT_RUN && hop.stepsRun() == 0;
    if (!request.repeatable() && !neverRanHere) {
      fail(Reason.ENDPOINT_LOST, why.detail(), Optional.empty());
    } else if (overloaded && !context.retries().spend()) {
      fail(Reason.RETRY_BUDGET, why.detail(), Optional.of(Duration.ofSeconds(1)));
    } else if (!mayReplace()) {
      fail(Reason.RECOVERY_EXHAUSTED, why.detail(), Optional.of(Duration.ofSeconds(1)));
    } else {
      noteReplacement(hop.engine(), overloaded ? "overloaded" : LOST, now());
      hops.lose(attempt.index);
      replace(attempt.index, now());
    }
  }

  @GuardedBy("this")
  private boolean mayReplace() {
    return replacements < context.limits().maxReplacements();
  }

  @GuardedBy("this")
  private void noteReplacement(EndpointState engine, String cause, long since) {
    replacements++;
    meter.lost(since);
    excluded.add(engine.endpoint().id());
    context.counters().count(Metric.RETRIES, cause);
  }

  /**
   * Replaces a lost hop, as little of the route as possible; waits if there is no way yet.
   *
   * <p>A request that is not repeatable gets here only if the hop never ran, so no part runs twice;
   * a whole new route would repeat the hops before it and is open to repeatable requests only.
   */
  private synchronized void replace(int index, long since) {
    if (ended) {
      return;
    }
    Optional<WayAround> way = wayAround(index, excluded);
    if (way.isPresent()) {
      take(way.get());
      return;
    }
    if (isPatienceOver(since)) {
      fail(
          Reason.NO_ENDPOINT,
          "no live engines cover " + query.model(),
          Optional.of(Duration.ofSeconds(1)));
      return;
    }
    excluded.clear();
    context.executor().schedule(() -> guarded(() -> replace(index, since)), RECOVERY_RECHECK);
  }

  private boolean isPatienceOver(long since) {
    return now() - since > context.limits().recoveryPatience().toNanos();
  }

  @GuardedBy("this")
  private boolean mayRestart() {
    return request.repeatable() || hops.neverRan();
  }

  @GuardedBy("this")
  private Optional<WayAround> wayAround(int index, Set<EndpointId> without) {
    Optional<WayAround> part = wayAroundPart(index, without);
    return part.isPresent() || !mayRestart() ? part : wholeWay(without);
  }

  @GuardedBy("this")
  private Optional<WayAround> wayAroundPart(int index, Set<EndpointId> without) {
    Hop lost = hops.get(index);
    if (!lost.knowsInputsBefore(step + 1)) {
      return Optional.empty();
    }
    LayerRange range = lost.session().layers();
    return context
        .planner()
        .plan(queryNow(range, without))
        .map(route -> new WayAround(index, false, route));
  }

  @GuardedBy("this")
  private Optional<WayAround> wholeWay(Set<EndpointId> without) {
    return context
        .planner()
        .plan(queryNow(query.span(), without))
        .map(route -> new WayAround(0, true, route));
  }

  @GuardedBy("this")
  private void take(WayAround way) {
    if (way.isWhole()) {
      hops.replaceAll(way.route(), step);
    } else {
      hops.replace(way.index(), way.route(), step);
    }
    callHop(way.index(), hops.get(way.index()).input(step));
  }

  @GuardedBy("this")
  private RouteQuery queryNow(LayerRange range, Set<EndpointId> without) {
    RouteQuery part = query.covering(range, without);
    return part.withWork(request.promptTokens() + step, request.maxTokens() - step);
  }

  // Moving off a leaving engine.

  /** Returns a move off a leaving engine for which another has been found. */
  @GuardedBy("this")
  private Optional<Move> planMove() {
    if (now() - movesSoughtAt < MOVE_RECHECK.toNanos() || endsSoon()) {
      return Optional.empty();
    }
    for (int index = 0; index < hops.size(); index++) {
      EndpointState engine = hops.get(index).engine();
      if (engine.isLeaving() && !excluded.contains(engine.endpoint().id())) {
        Optional<Move> move = moveOf(index);
        if (move.isPresent()) {
          return move;
        }
        movesSoughtAt = now();
      }
    }
    return Optional.empty();
  }

  @GuardedBy("this")
  private boolean endsSoon() {
    double pace = meter.pace(now(), step);
    return pace * (request.maxTokens() - step) < context.limits().moveOver().toNanos();
  }

  @GuardedBy("this")
  private Optional<Move> moveOf(int index) {
    LayerRange range = hops.get(index).session().layers();
    return context
        .planner()
        .plan(queryNow(range, excluded))
        .filter(route -> route.engines().size() == 1)
        .filter(route -> !route.isLastResort())
        .map(route -> new Move(index, route.engines().get(0)));
  }

  /** Copies a hop's session to another engine; on any failure the stream stays where it is. */
  @GuardedBy("this")
  private void move(Move move, String token) {
    Hop from = hops.get(move.index());
    // A copy that failed is not tried again: each try holds the stream up.
    excluded.add(from.engine().endpoint().id());
    EndpointState engine = move.target();
    SessionId session = hops.beginMove(engine);
    Async.onDone(
        context
            .client()
            .exportSession(from.engine().endpoint(), from.session())
            .thenCompose(export -> imported(engine, session, export)),
        context.executor(),
        (done, failure) -> guarded(() -> moved(move.index(), engine, session, token, failure)));
  }

  private CompletableFuture<Void> imported(
      EndpointState engine, SessionId session, SessionExport export) {
    return context.client().importSession(engine.endpoint(), session, export);
  }

  private synchronized void moved(
      int index, EndpointState engine, SessionId session, String token, Throwable failure) {
    if (ended || failure != null) {
      hops.undoMove(engine, session);
    } else {
      hops.endMove(index, engine, session);
    }
    if (!ended) {
      callHop(0, token);
    }
  }

  // The end.

  /** Ends the stream with a refusal whose verdict is what is known of all attempts so far. */
  @GuardedBy("this")
  private void fail(Reason reason, String detail, Optional<Duration> retryAfter) {
    Verdict verdict = current == null ? soFar : soFar.and(Verdict.MAY_HAVE_RUN);
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
    if (current != null) {
      current.timer.cancel();
      current = null;
    }
    hops.release();
    Async.ignore(admission.thenAccept(Admission::release));
    onEnd.accept(this);
  }

  /** Turns a fault of this program into a final answer instead of a stream that hangs. */
  private void guarded(Runnable part) {
    try {
      part.run();
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
