package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.vaneworks.coordination.fleet.NobodyListensException;
import org.vaneworks.coordination.fleet.Openings;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.ElsewhereSearch.Departure;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestContent;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.telemetry.Metric;

/**
 * One request on its way to an endpoint and back.
 *
 * <p>At any time at most one attempt counts; what an earlier one still says is ignored. Confined to
 * the node's event loop.
 */
final class ForwardRun implements CallerAnswer.Flow {
  /** A plain endpoint whose connection failed gets nothing new for a moment. */
  private static final Duration FAILED_PAUSE = Duration.ofMillis(500);

  /** Callers give a stream up after two seconds without an event. */
  private static final Duration RESUME_PATIENCE = Duration.ofMillis(1500);

  /**
   * Whether an endpoint has ended or only a connection broke is known within this time; one
   * endpoint less is lost under a request that ends endpoints.
   */
  private static final Duration CAUSE_KNOWN = Duration.ofMillis(100);

  private static final int SERVER_ERROR = 500;
  private static final int MISDIRECTED = 421;

  private final ForwardContext context;
  private final EntryRoute route;
  private final Optional<Caller> caller;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final Consumer<ForwardRun> onDone;
  private final String service;
  private final Place place;
  private final ProgressWatch progress;
  private final long startedAt;
  private final CallerPatience patience;
  private final long endsAt;
  private final AnswerTimes times;
  private final WaitingLine line;
  private final WaitingLine.Waiter waiter = new InLine();
  private final EventSplitter splitter = new EventSplitter();
  private final ContentGuard guard;
  private final ElsewhereSearch search;
  private final PathRepairs repairs;

  /** Empty while none is under way. */
  private Optional<RunningAttempt> attempt = Optional.empty();

  /** The attempt whose place the present one takes as soon as that is answered. */
  private Optional<Former> former = Optional.empty();

  private Optional<TrackedEndpoint> lastSentTo = Optional.empty();
  private int sends;
  private int runs;
  private AttemptEnd lastEnd = AttemptEnd.NOT_CONNECTED;
  private boolean partCame;
  private boolean headPassed;
  private boolean inLine;
  private boolean done;
  private Cancellable limitTimer = () -> {};

  private ForwardRun(
      ForwardContext context,
      EntryConfiguration configuration,
      EntryRoute route,
      Optional<Caller> caller,
      CallerRequest request,
      CallerAnswer answer,
      Consumer<ForwardRun> onDone) {
    this.context = context;
    this.route = route;
    this.caller = caller;
    this.request = request;
    this.answer = answer;
    this.onDone = onDone;
    this.service = route.selectService(context.random().nextDouble());
    this.place =
        new Place(
            context,
            service,
            configuration.service(service).flatMap(ServiceProfile::model),
            request.size());
    this.guard = new ContentGuard(context, request, caller.map(Caller::workspace));
    this.line = context.lines().of(service);
    this.progress = new ProgressWatch(context, place, route.pauseObjective(), this::stalled);
    this.search = new ElsewhereSearch(context.clock(), new Leaving());
    this.repairs = new PathRepairs(context, request, place, guard, new Repaired());
    this.startedAt = now();
    this.patience = CallerPatience.of(route, request.patience(), startedAt);
    this.endsAt = patience.endsAt();
    this.times = new AnswerTimes(context.counters(), route.kind().streamed(), startedAt);
  }

  static ForwardRun create(
      ForwardContext context,
      EntryConfiguration configuration,
      EntryRoute route,
      Optional<Caller> caller,
      CallerRequest request,
      CallerAnswer answer,
      Consumer<ForwardRun> onDone) {
    return new ForwardRun(context, configuration, route, caller, request, answer, onDone);
  }

  void start() {
    limitTimer =
        context.clock().schedule(this::timeIsUp, Math.max(0, endsAt - startedAt), NANOSECONDS);
    context.budget().earn();
    if (guard.isHeldBack()) {
      refuseHeldBack();
      return;
    }
    seekPlace();
  }

  /** Begins at an endpoint, or waits for room at one while that has a prospect. */
  private void seekPlace() {
    if (!done && !inLine) {
      inLine = true;
      line.join(waiter);
    }
  }

  private void leaveLine() {
    inLine = false;
    line.leave(waiter);
  }

  /** This request while it waits for room. */
  private final class InLine implements WaitingLine.Waiter {
    @Override
    public boolean start() {
      inLine = false;
      if (search.isOn() ? moveElsewhere() : begin()) {
        return true;
      }
      inLine = true;
      return false;
    }

    @Override
    public Openings openings() {
      return place.openings();
    }

    @Override
    public boolean mayStart() {
      return !search.isOn() || denialIfLeft().isEmpty();
    }

    @Override
    public void refuse() {
      inLine = false;
      if (search.isOn()) {
        search.refused();
        return;
      }
      giveUp(Verdict.NOT_RUN, Denial.NO_ROOM, "no endpoint of " + service + " has room in time");
    }

    @Override
    public boolean continues() {
      return headPassed;
    }

    @Override
    public long inTimeUntil() {
      return patience.inTimeUntil(line.firstPartTime());
    }

    @Override
    public long waitsUntil() {
      if (headPassed) {
        return progress.lastProgress() + RESUME_PATIENCE.toNanos();
      }
      return patience.waitsUntil(line.firstPartTime());
    }

    @Override
    public int priority() {
      return caller
          .map(known -> known.priority().orElse(route.priority()))
          .orElse(route.priority());
    }
  }

  /**
   * An attempt that goes on while its successor waits for an answer.
   *
   * @param partOfEvent bytes of an event that came without its end
   * @param left why it is to be left
   */
  private record Former(
      RunningAttempt attempt, Place.Taken place, byte[] partOfEvent, Departure left) {}

  private boolean begin() {
    if (!place.take()) {
      return false;
    }
    send();
    return true;
  }

  private void send() {
    sends++;
    guard.started();
    RunningAttempt running = new RunningAttempt(place.target(), now());
    attempt = Optional.of(running);
    lastSentTo = Optional.of(running.endpoint());
    Attempt sent =
        new Attempt(
            request,
            running.endpoint().endpoint(),
            place.path().map(EnginePath::text),
            Duration.ofNanos(Math.max(0, endsAt - now())),
            caller.map(Caller::workspace),
            splitter.lastId());
    ForwardLog.sent(request, sent, sends);
    progress.sent(headPassed);
    // The attempt may be over once this returns, and another one under way.
    running.began(context.calls().send(sent, new AttemptListener(running)));
  }

  /** Hears of one attempt; ignores it once another attempt counts. */
  private final class AttemptListener implements EndpointCalls.Listener {
    private final RunningAttempt running;

    AttemptListener(RunningAttempt running) {
      this.running = running;
    }

    /** Returns whether it counts; a former attempt that speaks is the present one again. */
    private boolean counts() {
      if (isFormer(running)) {
        outrunSuccessor();
      }
      return isPresent(running);
    }

    @Override
    public void head(AnswerHead head) {
      noteStatement(head, running.endpoint());
      if (counts()) {
        progress.head();
        search.end();
        ForwardRun.this.head(head, running);
      }
    }

    @Override
    public void data(byte[] bytes) {
      if (counts()) {
        progress.data();
        search.end();
        notePart(running);
        passOn(bytes, running);
      }
    }

    @Override
    public void end() {
      if (counts()) {
        running.endpoint().noteSuccess();
        finish();
      }
    }

    @Override
    public void failed(boolean neverSent, Throwable cause) {
      if (isFormer(running)) {
        formerFailed(cause);
      } else if (counts()) {
        ForwardRun.this.failed(neverSent, cause, running.endpoint());
      }
    }
  }

  private void notePart(RunningAttempt running) {
    running.notePart(now());
    if (!partCame && sends == 1) {
      line.firstPartTook(now() - running.sentAt());
    }
    partCame = true;
    times.part(now());
  }

  /** Takes what the endpoint says of itself, unless another may have answered in its place. */
  private void noteStatement(AnswerHead head, TrackedEndpoint endpoint) {
    if (head.matches() && head.status() != MISDIRECTED) {
      context.fleet().statements().answered(endpoint, head.statement());
    }
  }

  private void head(AnswerHead head, RunningAttempt running) {
    if (!head.matches()) {
      running.cancel();
      attemptOver(Verdict.MAY_HAVE_RUN, AttemptEnd.FOREIGN_ANSWER, "an answer to another request");
    } else if (head.notRun()) {
      running.discard();
      TrackedEndpoint obstacle = place.noteObstacle(head);
      String cause = "status " + head.status() + " for want of " + obstacle;
      attemptOver(Verdict.NOT_RUN, AttemptEnd.ENDPOINT_REFUSED, cause);
    } else if (head.status() >= SERVER_ERROR && (headPassed || route.kind().idempotent())) {
      serverError(head, running);
    } else if (headPassed) {
      resumed(head, running);
    } else {
      headPassed = true;
      answer.head(head);
    }
  }

  private void serverError(AnswerHead head, RunningAttempt running) {
    boolean again = !headPassed && resendDenial(Verdict.RAN, runs + 1).isEmpty();
    if (again || headPassed) {
      running.discard();
      attemptOver(Verdict.RAN, AttemptEnd.ENDPOINT_ERROR, "status " + head.status());
    } else {
      headPassed = true;
      answer.head(head);
    }
  }

  /** The caller keeps the head of the first run; only events follow. */
  private void resumed(AnswerHead head, RunningAttempt running) {
    if (head.success()) {
      leaveFormer();
      return;
    }
    running.discard();
    attemptOver(Verdict.RAN, AttemptEnd.RESUME_REFUSED, "status " + head.status());
  }

  private void passOn(byte[] bytes, RunningAttempt running) {
    byte[] whole = route.kind().streamed() ? splitter.take(bytes) : bytes;
    if (whole.length > 0 && !answer.data(whole)) {
      running.pause();
    }
  }

  @Override
  public void drained() {
    if (!done) {
      attempt.ifPresent(RunningAttempt::resume);
    }
  }

  private void finish() {
    guard.answered();
    byte[] rest = splitter.rest();
    if (rest.length > 0) {
      answer.data(rest);
    }
    close();
    times.whole(now());
    answer.end();
  }

  private void failed(boolean neverSent, Throwable cause, TrackedEndpoint endpoint) {
    place.failedHere();
    if (!neverSent) {
      noteLost(endpoint);
    }
    noteFailure(cause, endpoint);
    if (!place.onEngines() && (endpoint.noteFailure() > 1 || neverSent)) {
      endpoint.avoidUntil(now() + FAILED_PAUSE.toNanos());
    }
    attemptOver(
        neverSent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        neverSent ? AttemptEnd.NOT_CONNECTED : AttemptEnd.CONNECTION_LOST,
        String.valueOf(cause));
  }

  private void noteFailure(Throwable cause, TrackedEndpoint endpoint) {
    if (cause instanceof NobodyListensException) {
      context.fleet().noteNobodyListens(endpoint);
    }
    if (place.onEngines()) {
      context.health().checkAfterLoss(endpoint);
    }
  }

  /** Decides what follows an attempt that brought no whole answer. */
  private void attemptOver(Verdict verdict, AttemptEnd end, String cause) {
    String triedAt = place.target().toString();
    String detail = closeAttempt(verdict, end, cause);
    if (former.isPresent()) {
      returnToFormer(verdict);
      return;
    }
    place.release();
    Optional<Denial> denial = denial(verdict, runs);
    if (denial.isEmpty() && !context.budget().spend()) {
      denial = Optional.of(Denial.BUDGET_SPENT);
    }
    if (denial.isPresent()) {
      giveUp(verdict, denial.get(), end.code() + ": " + cause);
      return;
    }
    logSentAgain(triedAt, end, detail);
    goOn(verdict);
  }

  /** Takes note that an attempt is over; returns the cause with what was dropped. */
  private String closeAttempt(Verdict verdict, AttemptEnd end, String cause) {
    if (verdict != Verdict.NOT_RUN) {
      runs++;
    }
    attempt = Optional.empty();
    lastEnd = end;
    repairs.attemptOver();
    search.end();
    return splitter.rest().length == 0 ? cause : cause + ", part of an event dropped";
  }

  private void logSentAgain(String triedAt, AttemptEnd end, String detail) {
    long millis = NANOSECONDS.toMillis(now() - startedAt);
    ForwardLog.sentAgain(request, end, sends, triedAt, millis, detail, context.counters());
  }

  /** Seeks another place, at once unless this very loss may hold the request back. */
  private void goOn(Verdict verdict) {
    if (verdict == Verdict.NOT_RUN || !guard.isOneEndShort()) {
      seekPlace();
      return;
    }
    context.clock().schedule(this::seekPlaceUnlessHeldBack, CAUSE_KNOWN.toNanos(), NANOSECONDS);
  }

  private void seekPlaceUnlessHeldBack() {
    // If the endpoint has ended, the request was told meanwhile that it is held back.
    if (!done && !place.isTaken()) {
      seekPlace();
    }
  }

  /** Returns why the request may not be sent again, its budget and room aside. */
  private Optional<Denial> denial(Verdict verdict, int runsSoFar) {
    if (headPassed && !(route.kind().idempotent() && route.kind().streamed())) {
      return Optional.of(Denial.NOT_RESUMABLE);
    }
    if (guard.isHeldBack()) {
      return Optional.of(Denial.QUARANTINED);
    }
    return resendDenial(verdict, runsSoFar);
  }

  private Optional<Denial> resendDenial(Verdict verdict, int runsSoFar) {
    if (now() >= endsAt) {
      return Optional.of(Denial.TIME_USED);
    }
    return ResendRule.denial(route.kind(), verdict, runsSoFar, route.attempts(), sends);
  }

  private void giveUp(Verdict lastVerdict, Denial denial, String detail) {
    if (headPassed) {
      close();
      ForwardLog.cut(request, lastEnd, denial, detail, trail(), context.counters());
      answer.cut();
      return;
    }
    Refusal refusal;
    if (runs == 0 && lastVerdict == Verdict.NOT_RUN) {
      Reason reason = denial == Denial.NO_ROOM ? Reason.NO_ENDPOINT : Reason.ENDPOINT_OVERLOADED;
      refusal = Refusal.nothingSent(reason, detail).withRetryAfter(comeBack());
    } else {
      refusal = Refusal.mayHaveRun(Reason.ENDPOINT_LOST, detail);
    }
    close();
    refuse(refusal);
  }

  private Trail trail() {
    long progressAt = sends == 0 ? startedAt : progress.lastProgress();
    return new Trail(
        lastSentTo,
        sends,
        Duration.ofNanos(now() - startedAt),
        Duration.ofNanos(now() - progressAt));
  }

  private Duration comeBack() {
    Duration untilOpen = place.openings().untilFirst(now());
    return patience.comeBack(line.expectedWait(), untilOpen, now(), context.random().nextDouble());
  }

  private void timeIsUp() {
    if (done) {
      return;
    }
    boolean mayRunNow = attempt.filter(RunningAttempt::mayHaveArrived).isPresent();
    attempt.ifPresent(RunningAttempt::cancel);
    if (headPassed) {
      lastEnd = AttemptEnd.TIME_UP;
      giveUp(Verdict.RAN, Denial.TIME_USED, "the time limit passed");
      return;
    }
    close();
    Refusal refusal =
        runs == 0 && !mayRunNow
            ? Refusal.nothingSent(Reason.NOT_STARTED_IN_TIME, "no place").withRetryAfter(comeBack())
            : Refusal.mayHaveRun(Reason.DEADLINE, "the time limit passed");
    refuse(refusal);
  }

  @Override
  public void gone() {
    if (done) {
      return;
    }
    attempt.ifPresent(RunningAttempt::cancel);
    context.counters().count(Metric.REFUSALS, Reason.CALLER_GONE.code());
    close();
  }

  private void close() {
    done = true;
    dropFormer();
    place.release();
    limitTimer.cancel();
    progress.stop();
    leaveLine();
    onDone.accept(this);
  }

  /** Moves off an engine that will end soon; a request that it took first stays to the end. */
  void leaving(TrackedEndpoint engine) {
    if (passes(engine) && place.target() != engine) {
      repairs.moveOff(engine);
    }
  }

  /**
   * Goes on without an engine that is believed dead, unless the answer itself shows that it lives.
   */
  void suspected(TrackedEndpoint engine) {
    if (!passes(engine)) {
      return;
    }
    boolean delivers = headPassed && progress.isRecent();
    if (engine.processGone() || !delivers) {
      goOnWithout(engine);
    }
  }

  /** Stays after all: the engine answers again. */
  void recovered(TrackedEndpoint engine) {
    search.recovered(engine);
  }

  private void goOnWithout(TrackedEndpoint engine) {
    if (place.target() != engine) {
      repairs.goOnWithout(engine, "lost " + engine);
    } else if (mayBreakOff()) {
      seekElsewhere(AttemptEnd.ENGINE_SUSPECTED, engine, engine.toString());
    }
  }

  /** Returns whether the request may be broken off at its endpoint without a loss for good. */
  private boolean mayBreakOff() {
    // An engine is often known to be dead before the connection to it is given up.
    return route.kind().idempotent() || !running().mayHaveArrived();
  }

  /** Goes on without an endpoint whose process has ended: it can't answer any more. */
  void ended(TrackedEndpoint endpoint) {
    if (done || attempt.isEmpty()) {
      return;
    }
    if (former.filter(kept -> kept.attempt().endpoint() == endpoint).isPresent()) {
      leaveFormer();
    }
    if (place.target() == endpoint) {
      leaveEndpoint(AttemptEnd.ENDPOINT_RESTARTED, endpoint.toString());
    } else if (place.passes(endpoint)) {
      repairs.goOnWithout(endpoint, "ended " + endpoint);
    }
  }

  private boolean passes(TrackedEndpoint engine) {
    return !done && place.passes(engine);
  }

  /** What repairs of the path ask of this request. */
  private final class Repaired implements PathRepairs.Owner {
    @Override
    public RunningAttempt running() {
      return ForwardRun.this.running();
    }

    @Override
    public boolean isPresent(RunningAttempt wanted) {
      return ForwardRun.this.isPresent(wanted);
    }

    @Override
    public boolean mayBreakOff() {
      return ForwardRun.this.mayBreakOff();
    }

    @Override
    public void lost(TrackedEndpoint engine) {
      noteDetection();
      noteLost(engine);
    }

    @Override
    public void repaired() {
      progress.restarted();
      search.end();
      guard.started();
    }

    @Override
    public void leaveWithout(TrackedEndpoint lost, AttemptEnd end, String cause) {
      // Even if it has ended: an order without an answer may have taken it off the path before.
      seekElsewhere(end, lost, cause);
    }
  }

  private void seekElsewhere(AttemptEnd end, TrackedEndpoint silent, String cause) {
    if (search.isOn()) {
      return;
    }
    noteDetection();
    Duration wait = Duration.ZERO;
    if (running().mayHaveArrived() && guard.isOneEndShort()) {
      noteLost(place.target());
      wait = CAUSE_KNOWN;
    }
    search.begin(new Departure(end, silent, cause), wait);
  }

  /** What a search for another place asks of this request. */
  private final class Leaving implements ElsewhereSearch.Owner {
    @Override
    public Optional<Denial> denialIfLeft() {
      return ForwardRun.this.denialIfLeft();
    }

    @Override
    public void seekPlace() {
      ForwardRun.this.seekPlace();
    }

    @Override
    public void leaveLine() {
      ForwardRun.this.leaveLine();
    }

    @Override
    public void denied(Departure departure, Denial denial) {
      stay(departure, denial);
    }
  }

  private Optional<Denial> denialIfLeft() {
    Verdict verdict = running().verdictIfLeft();
    Optional<Denial> denial = denial(verdict, verdict == Verdict.NOT_RUN ? runs : runs + 1);
    boolean spent = denial.isEmpty() && !context.budget().canSpend();
    return spent ? Optional.of(Denial.BUDGET_SPENT) : denial;
  }

  /** Leaves the attempt for one at another place, if there is one now. */
  private boolean moveElsewhere() {
    boolean delivers = headPassed && running().mayHaveArrived() && former.isEmpty();
    if (!delivers) {
      return beginInstead();
    }
    boolean unknown = search.departure().end() == AttemptEnd.REQUEST_UNKNOWN;
    return beginBeside() || (unknown && beginInstead());
  }

  private boolean beginInstead() {
    Departure left = search.departure();
    TrackedEndpoint endpoint = place.target();
    if (!place.take()) {
      return false;
    }
    context.budget().spend();
    String detail = breakOff(left, endpoint);
    logSentAgain(endpoint.toString(), left.end(), detail);
    send();
    return true;
  }

  /** Begins at another place while the present attempt goes on, as that may not take it. */
  private boolean beginBeside() {
    Optional<Place.Taken> taken = place.takeBeside();
    if (taken.isEmpty()) {
      return false;
    }
    context.budget().spend();
    Departure left = search.departure();
    former = Optional.of(new Former(running(), taken.get(), splitter.rest(), left));
    closeAttempt(running().verdictIfLeft(), left.end(), left.cause());
    logSentAgain(taken.get().target().toString(), left.end(), left.cause());
    send();
    return true;
  }

  /**
   * The former attempt is the present one again; what its successor would have said is not read.
   */
  private void outrunSuccessor() {
    Verdict verdict = running().verdictIfLeft();
    running().cancel();
    closeAttempt(verdict, AttemptEnd.OUTRUN, "the former endpoint answers");
    context.counters().count(Metric.DROPPED_ANSWERS, AttemptEnd.OUTRUN.code());
    resumeFormer();
  }

  /** Goes on with the former attempt, as its successor came to nothing, and seeks another again. */
  private void returnToFormer(Verdict verdict) {
    Departure left = resumeFormer().left();
    boolean lost = left.silent().suspected() || left.silent().hasEnded();
    if (lost) {
      Duration wait =
          verdict == Verdict.NOT_RUN || !guard.isOneEndShort() ? Duration.ZERO : CAUSE_KNOWN;
      search.begin(left, wait);
    }
  }

  private Former resumeFormer() {
    Former resumed = former.orElseThrow();
    former = Optional.empty();
    attempt = Optional.of(resumed.attempt());
    runs--;
    place.returnTo(resumed.place());
    splitter.keepBack(resumed.partOfEvent());
    progress.returned();
    resumed.attempt().resume();
    return resumed;
  }

  /** Breaks the former attempt off: its successor is answered. */
  private void leaveFormer() {
    former.ifPresent(
        left -> {
          if (left.attempt().mayHaveArrived()) {
            noteLost(left.attempt(), left.attempt().endpoint());
          }
          dropFormer();
        });
  }

  private void dropFormer() {
    former.ifPresent(
        left -> {
          left.attempt().cancel();
          place.release(left.place());
        });
    former = Optional.empty();
  }

  private void formerFailed(Throwable cause) {
    RunningAttempt failed = former.orElseThrow().attempt();
    noteLost(failed, failed.endpoint());
    dropFormer();
    noteFailure(cause, failed.endpoint());
  }

  private boolean isFormer(RunningAttempt wanted) {
    return !done && former.filter(kept -> kept.attempt() == wanted).isPresent();
  }

  /** Breaks the attempt off at an endpoint; returns the cause with what was dropped. */
  private String breakOff(Departure left, TrackedEndpoint endpoint) {
    Verdict verdict = running().verdictIfLeft();
    if (verdict == Verdict.MAY_HAVE_RUN) {
      noteLost(endpoint);
    }
    running().cancel();
    return closeAttempt(verdict, left.end(), left.cause());
  }

  /**
   * Remains at an endpoint that gives no sign of life.
   *
   * <p>A caller that has no part of the answer yet and may ask again itself is told at once.
   */
  private void stay(Departure wanted, Denial denial) {
    if (headPassed || !mayBreakOff()) {
      search.tellOnce(
          () -> ForwardLog.stays(request, wanted.end(), denial, trail(), context.counters()));
      return;
    }
    Verdict verdict = running().verdictIfLeft();
    breakOff(wanted, place.target());
    place.release();
    giveUp(verdict, denial, wanted.end().code() + ": " + wanted.cause());
  }

  private RunningAttempt running() {
    return attempt.orElseThrow();
  }

  private boolean isPresent(RunningAttempt wanted) {
    return !done && attempt.filter(present -> present == wanted).isPresent();
  }

  /** Looks again whether the request can go on elsewhere, as it stands still. */
  private void stalled() {
    if (done || attempt.isEmpty()) {
      return;
    }
    if (search.isOn()) {
      search.look();
      return;
    }
    for (TrackedEndpoint engine : place.suspected()) {
      // What was done about one engine may have changed the path.
      if (!search.isOn() && passes(engine)) {
        goOnWithout(engine);
      }
    }
  }

  /** Breaks the attempt off; what follows is up to what may have run. */
  private void leaveEndpoint(AttemptEnd end, String cause) {
    Verdict verdict = running().verdictIfLeft();
    if (verdict == Verdict.MAY_HAVE_RUN) {
      noteLost(place.target());
    }
    running().cancel();
    attemptOver(verdict, end, cause);
  }

  private void noteDetection() {
    Duration silence = Duration.ofNanos(now() - progress.lastProgress());
    context.counters().record(Metric.DETECTION_TIME, silence);
  }

  private void noteLost(TrackedEndpoint endpoint) {
    noteLost(running(), endpoint);
  }

  /** Notes that an endpoint was lost that has an attempt, or runs part of its path. */
  private void noteLost(RunningAttempt left, TrackedEndpoint endpoint) {
    long now = now();
    Duration sinceSent = Duration.ofNanos(now - left.sentAt());
    guard.lost(endpoint, sinceSent, left.sinceFirstPart(now));
  }

  /** Takes note that requests of a content are held back: one that waits is refused at once. */
  void heldBack(RequestContent content) {
    if (!done && !place.isTaken() && guard.asksFor(content)) {
      refuseHeldBack();
    }
  }

  private void refuseHeldBack() {
    if (headPassed || runs > 0) {
      giveUp(Verdict.MAY_HAVE_RUN, Denial.QUARANTINED, "held back");
      return;
    }
    close();
    refuse(guard.refusal());
  }

  private void refuse(Refusal refusal) {
    ForwardLog.refused(request, refusal, trail(), context.counters());
    answer.refuse(refusal);
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
