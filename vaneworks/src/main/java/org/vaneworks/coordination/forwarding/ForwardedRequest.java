package org.vaneworks.coordination.forwarding;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableMap;
import io.servicetalk.concurrent.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vaneworks.coordination.fleet.MalformedResponseException;
import org.vaneworks.coordination.fleet.RequestSchedule;
import org.vaneworks.coordination.fleet.TrackedEndpoint;
import org.vaneworks.coordination.forwarding.Failover.Trigger;
import org.vaneworks.coordination.forwarding.PendingResend.EndedAttempt;
import org.vaneworks.coordination.forwarding.PreviousAttempts.PreviousAttempt;
import org.vaneworks.coordination.relay.EnginePath;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RequestTrait;
import org.vaneworks.state.Verdict;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryRoute;
import org.vaneworks.state.entry.RequestPriority;
import org.vaneworks.state.entry.ServiceProfile;
import org.vaneworks.telemetry.Metric;

/**
 * Forwards one request to an endpoint and passes the response back.
 *
 * <p>At most one attempt is current at any time; events of other attempts are ignored, except that
 * a previous attempt becomes current again if it delivers before its replacements do. Confined to
 * the node's event loop.
 */
final class ForwardedRequest implements CallerResponse.Listener {
  /** Level for engines of a response that continues, which is lost if it waits. */
  private static final int MOST_URGENT = 0;

  private static final int SERVER_ERROR = 500;

  private final RequestGuard guard;
  private final ForwardContext context;
  private final EntryRoute route;
  private final Optional<Caller> caller;
  private final CallerRequest request;
  private final CallerResponse response;

  /** Present if a peer forwarded the request to this node. */
  private final Optional<PeerHop> incomingHop;

  private final Consumer<ForwardedRequest> onDone;
  private final String service;
  private final ResendBudget budget;
  private final PeerSends peerSends;
  private final EndpointSelector selector;
  private final ProgressMonitor progress;
  private final RequestPriority priority;
  private final long startedAt;
  private final CallerDeadlines deadlines;
  private final ResponseMetrics metrics;
  private final CapacityQueue queue;
  private final CapacityQueue.Waiter waiter = new QueueWaiter();
  private final StreamEvents events;
  private final RequestQuarantine quarantine;
  private final EndpointObservations observations;
  private final Failover failover;
  private final PathRepairs repairs;
  private final ResendPolicy policy;
  private final PendingResend resend;

  /** The current attempt, if one is in progress. */
  private Optional<RunningAttempt> attempt = Optional.empty();

  /** The attempts that are abandoned as soon as the current one delivers. */
  private final PreviousAttempts previous = new PreviousAttempts();

  private Optional<TrackedEndpoint> lastSentTo = Optional.empty();

  /** All attempts apart from the current one. */
  private final PastAttempts past = new PastAttempts();

  private boolean firstPartReceived;
  private boolean headSent;
  private boolean queued;
  private boolean done;

  /** Whether the caller has its answer, or has left. */
  private boolean answered;

  private Cancellable deadlineTimer = () -> {};

  private ForwardedRequest(
      ForwardContext node,
      EntryConfiguration configuration,
      EntryRoute route,
      Optional<Caller> caller,
      CallerRequest request,
      CallerResponse response,
      Optional<PeerHop> incomingHop,
      Consumer<ForwardedRequest> onDone) {
    this.guard = new RequestGuard(request, this::cancelAttempt, this::close, this::answerFailure);
    this.context = node.withClock(guard.clock(node.clock()));
    this.route = route;
    this.caller = caller;
    this.request = request;
    this.response = response;
    this.incomingHop = incomingHop;
    this.onDone = onDone;
    this.service =
        incomingHop
            .map(PeerHop::service)
            .orElseGet(() -> route.selectService(context.random().nextDouble()));
    this.budget = context.budgets().of(service);
    this.events = new StreamEvents(response, previous, request.maxAnswerTokens());
    this.priority = RequestPriority.of(route, caller);
    this.peerSends = new PeerSends(context, service);
    this.selector =
        new EndpointSelector(
            context,
            service,
            configuration.service(service).flatMap(ServiceProfile::model),
            request.size(),
            route.objective(),
            incomingHop.isEmpty() ? Optional.of(peerSends) : Optional.empty());
    this.quarantine =
        new RequestQuarantine(context, request, service, caller.map(Caller::workspace));
    this.observations = new EndpointObservations(context, selector, quarantine);
    this.queue = context.queues().of(service);
    this.progress = new ProgressMonitor(context, selector, route.pauseObjective(), this::onStall);
    this.failover = new Failover(context.clock(), new FailoverCallbacks());
    this.repairs = new PathRepairs(context, request, selector, quarantine, new RepairCallbacks());
    this.resend = new PendingResend(context, service, guard, new ResendCallbacks());
    this.startedAt = now();
    this.deadlines = CallerDeadlines.of(route, request.callerTimeout(), incomingHop, startedAt);
    this.policy =
        new ResendPolicy(
            context, route, incomingHop.isPresent(), quarantine, peerSends, past, deadlines);
    this.metrics = new ResponseMetrics(context.counters(), route.kind().streamed(), startedAt);
  }

  /**
   * Creates a request that is not started.
   *
   * @param incomingHop present if a peer forwarded the request
   */
  static ForwardedRequest create(
      ForwardContext context,
      EntryConfiguration configuration,
      EntryRoute route,
      Optional<Caller> caller,
      CallerRequest request,
      CallerResponse response,
      Optional<PeerHop> incomingHop,
      Consumer<ForwardedRequest> onDone) {
    return new ForwardedRequest(
        context, configuration, route, caller, request, response, incomingHop, onDone);
  }

  void start() {
    deadlineTimer = context.clock().schedule(this::onDeadline, deadlines.remaining(startedAt));
    if (incomingHop.isEmpty()) {
      // The peer that forwarded it has deposited its share.
      budget.deposit();
    }
    if (quarantine.isQuarantined()) {
      refuseQuarantined();
      return;
    }
    acquireEndpoint();
  }

  /** Starts at an endpoint, or waits for capacity while a start in time can be expected. */
  private void acquireEndpoint() {
    if (!done && !queued) {
      queued = true;
      queue.join(waiter);
    }
  }

  private void leaveQueue() {
    queued = false;
    queue.leave(waiter);
  }

  /** This request while it waits for capacity. */
  private final class QueueWaiter implements CapacityQueue.Waiter {
    @Override
    public boolean start() {
      queued = false;
      if (failover.isActive() ? failOver() : startAttempt()) {
        return true;
      }
      queued = true;
      return false;
    }

    @Override
    public RequestSchedule requestSchedule() {
      return selector.requestSchedule();
    }

    @Override
    public boolean mayStart() {
      return failover.isActive() ? denialIfAbandoned().isEmpty() : resend.maySend();
    }

    @Override
    public void refuse() {
      queued = false;
      if (failover.isActive()) {
        failover.capacityRefused();
        return;
      }
      if (!resend.maySend()) {
        resend.awaitBudget();
        return;
      }
      giveUp(
          Verdict.NOT_RUN,
          ResendDenial.NO_CAPACITY,
          "no endpoint of " + service + " has room in time");
    }

    @Override
    public void fail(RuntimeException cause) {
      guard.fail(cause);
    }

    @Override
    public boolean continues() {
      return continuesResponse();
    }

    @Override
    public boolean isInterrupted() {
      return continuesResponse() && attempt.isEmpty();
    }

    @Override
    public long onTimeUntil() {
      return deadlines.onTimeUntil(queue.firstPartTime());
    }

    @Override
    public long waitsUntil() {
      if (continuesResponse()) {
        return deadlines.resumableUntil(callerWaitsSince());
      }
      return deadlines.waitsUntil(queue.firstPartTime());
    }

    @Override
    public int priority() {
      return priority.level();
    }

    @Override
    public WorkspaceCharge charge() {
      return WorkspaceCharge.of(caller, selector.expectedTokens());
    }

    @Override
    public boolean hasAttempt() {
      return attempt.isPresent();
    }

    @Override
    public void started(boolean waited) {
      context.counters().count(Metric.QUEUE_STARTS, waited ? "waited" : "immediate");
    }
  }

  /** Returns the priority; 0 is the most urgent. */
  int priority() {
    return waiter.priority();
  }

  /** Returns whether the caller has a part of the response, from this node or from a peer. */
  private boolean continuesResponse() {
    return headSent || incomingHop.filter(PeerHop::continues).isPresent();
  }

  private long callerWaitsSince() {
    return headSent ? progress.lastProgress() : deadlines.waitingSince();
  }

  private boolean startAttempt() {
    if (!resend.maySend() || !selector.select(eligible())) {
      return false;
    }
    resend.sent();
    send();
    return true;
  }

  private void send() {
    policy.recordSent();
    quarantine.recordSent();
    RunningAttempt running = new RunningAttempt(selector.target(), now());
    attempt = Optional.of(running);
    lastSentTo = Optional.of(running.endpoint());
    Attempt sent =
        new Attempt(
            request,
            running.endpoint().endpoint(),
            selector.path().map(EnginePath::text),
            deadlines.remaining(now()),
            caller.map(Caller::workspace),
            events.lastId(),
            continuesResponse() ? MOST_URGENT : priority.engineLevel(),
            peerSends.hopTo(running.endpoint(), headSent, callerWaitsSince()));
    ForwardLog.sent(request, sent, policy.sends());
    progress.attemptStarted(headSent);
    EndpointTransport transport =
        running.endpoint().isPeer() ? context.peers().transport() : context.transport();
    // The attempt may have ended when send returns, and another one may be in progress.
    running.setCall(transport.send(sent, guard.listener(new AttemptListener(running))));
  }

  /** Handles the events of one attempt; ignores them once another attempt is current. */
  private final class AttemptListener implements EndpointTransport.Listener {
    private final RunningAttempt running;

    AttemptListener(RunningAttempt running) {
      this.running = running;
    }

    /** Returns whether this attempt is current; a previous attempt becomes current again. */
    private boolean isOrBecomesCurrent() {
      if (isPrevious(running)) {
        supersedeReplacement(running);
      }
      return isCurrent(running);
    }

    @Override
    public void head(ResponseHead head) {
      observations.recordSignal(head, running.endpoint());
      running.recordHead(isStream(head), head.success());
      if (head.matches() && !head.notRun()) {
        running.endpoint().recordAcceptance(running.sentAt(), now());
      }
      if (isPrevious(running)) {
        previousHead(head, running);
      } else if (isCurrent(running)) {
        progress.headReceived();
        failover.stop();
        ForwardedRequest.this.head(head, running);
      }
    }

    @Override
    public void data(byte[] bytes) {
      if (isOrBecomesCurrent()) {
        progress.partReceived();
        failover.stop();
        recordPart(running, bytes.length);
        passOn(bytes, running);
      }
    }

    @Override
    public void end(BodyDelimiter delimiter) {
      Optional<TruncatedResponseException> truncation =
          TruncatedResponseException.of(delimiter, running, partialEventBytes(running));
      boolean mayBeLost =
          delimiter == BodyDelimiter.CONNECTION_CLOSE
              && running.isStream()
              && selector.runsOnEngines();
      if (truncation.isEmpty() && mayBeLost) {
        context
            .health()
            .checkEnded(running.endpoint(), ended -> guard.run(() -> closedBetweenEvents(ended)));
      } else {
        ended(delimiter, truncation);
      }
    }

    private void closedBetweenEvents(boolean processEnded) {
      ended(
          BodyDelimiter.CONNECTION_CLOSE,
          processEnded
              ? Optional.of(new TruncatedResponseException("the endpoint's process has ended"))
              : Optional.empty());
    }

    private void ended(BodyDelimiter delimiter, Optional<TruncatedResponseException> truncation) {
      if (!isPrevious(running) && !isCurrent(running)) {
        return;
      }
      recordEnd(delimiter, running, truncation.isPresent());
      if (truncation.isPresent()) {
        failed(false, truncation.get());
      } else if (isOrBecomesCurrent()) {
        running.endpoint().recordSuccess(running.sentAt(), now());
        selector.recordServed(running);
        passHeldHeadOn(running);
        finish();
      }
    }

    @Override
    public void failed(boolean neverSent, Throwable cause) {
      if (isPrevious(running)) {
        previousFailed(running, cause);
      } else if (isOrBecomesCurrent()) {
        ForwardedRequest.this.failed(neverSent, cause, running.endpoint());
      }
    }
  }

  private int partialEventBytes(RunningAttempt running) {
    return isPrevious(running) ? previous.get(running).partOfEvent().length : events.partialBytes();
  }

  private void recordEnd(BodyDelimiter delimiter, RunningAttempt running, boolean truncated) {
    context.counters().count(Metric.ENDPOINT_RESPONSES, delimiter.code());
    if (delimiter == BodyDelimiter.CONNECTION_CLOSE) {
      ForwardLog.endedWithConnection(request, running, partialEventBytes(running), truncated);
    }
  }

  private void recordPart(RunningAttempt running, int bytes) {
    if (running.recordPart(now(), bytes) && !running.endpoint().isPeer()) {
      quarantine.recordSurvival();
    }
    if (!firstPartReceived && policy.sends() == 1) {
      queue.recordFirstPartTime(now() - running.sentAt());
    }
    firstPartReceived = true;
    selector.recordPart();
    metrics.recordPart(now());
  }

  private void head(ResponseHead head, RunningAttempt running) {
    if (head.peerRefusal().isPresent()) {
      running.discard();
      peerRefused(head.peerRefusal().get(), running);
      return;
    }
    if (running.endpoint().isPeer()) {
      context.peers().recordTaken(running.endpoint());
    }
    if (!head.matches()) {
      running.cancel();
      attemptEnded(
          Verdict.MAY_HAVE_RUN, AttemptFailure.MISMATCHED_RESPONSE, "an answer to another request");
    } else if (head.notRun()) {
      running.discard();
      TrackedEndpoint obstacle = selector.recordObstacle(head, running.sentAt());
      String cause = "status " + head.status() + " for want of " + obstacle;
      attemptEnded(Verdict.NOT_RUN, AttemptFailure.ENDPOINT_REFUSED, cause);
    } else if (head.seemsNotRun() && !route.kind().idempotent()) {
      running.discard();
      attemptEnded(
          Verdict.MAY_HAVE_RUN, AttemptFailure.UNPROVEN_REFUSAL, "status " + head.status());
    } else if (head.status() >= SERVER_ERROR && (headSent || route.kind().idempotent())) {
      serverError(head, running);
    } else if (headSent) {
      resumed(head, running);
    } else {
      passOn(head, running);
    }
  }

  private void peerRefused(PeerRefusal refusal, RunningAttempt running) {
    String cause = "refused by the peer: " + refusal.reason().code();
    peerSends.recordRefusal(running.endpoint(), refusal);
    if (refusal.verdict() != Verdict.NOT_RUN) {
      attemptEnded(refusal.verdict(), AttemptFailure.PEER_FAILED, cause);
    } else if (refusal.isDeclined()) {
      AttemptFailure failure =
          refusal.arrived() ? AttemptFailure.REJECTED_AT_PEER : AttemptFailure.PEER_DECLINED;
      attemptEnded(Verdict.NOT_RUN, failure, cause);
    } else {
      peerHasNoCapacity(refusal, cause);
    }
  }

  /** The peer has waited for capacity as long as is useful, and others would not do better. */
  private void peerHasNoCapacity(PeerRefusal refusal, String cause) {
    closeAttempt(Verdict.NOT_RUN, AttemptFailure.ENDPOINT_REFUSED, cause);
    if (!previous.isEmpty()) {
      fallBackToPrevious(Verdict.NOT_RUN);
      return;
    }
    selector.release();
    if (headSent || past.mayHaveRun()) {
      giveUp(Verdict.MAY_HAVE_RUN, ResendDenial.NO_CAPACITY, cause);
      return;
    }
    close();
    refuse(
        Refusal.nothingSent(refusal.reason(), cause)
            .withRetryAfter(refusal.retryAfter().orElseGet(this::retryAfter)));
  }

  /**
   * Passes the head of the response on and abandons the other attempts. The head of a successful
   * stream delivers nothing: it is passed on with the first event if there are other attempts.
   */
  private void passOn(ResponseHead head, RunningAttempt running) {
    if (isStream(head) && !previous.isEmpty()) {
      running.holdHead(head);
      return;
    }
    sendHead(head, running);
    abandonPrevious();
  }

  private boolean isStream(ResponseHead head) {
    return route.kind().streamed() && head.success();
  }

  private void passHeldHeadOn(RunningAttempt running) {
    Optional<ResponseHead> head = running.takeHead();
    if (head.isPresent() && !headSent) {
      sendHead(head.get(), running);
    }
  }

  private void sendHead(ResponseHead head, RunningAttempt running) {
    headSent = true;
    if (!head.success()) {
      policy.recordFailurePassedOn();
    }
    if (running.isStream() && route.kind().idempotent()) {
      response.streamHead(head);
    } else {
      response.head(head);
    }
  }

  private void serverError(ResponseHead head, RunningAttempt running) {
    boolean retry = !headSent && policy.denialAfterFailure(running).isEmpty();
    if (retry || headSent || !previous.isEmpty()) {
      running.discard();
      attemptEnded(Verdict.RAN, AttemptFailure.ENDPOINT_ERROR, "status " + head.status());
    } else {
      passOn(head, running);
    }
  }

  /**
   * The caller has the head of the first attempt already; only events follow. A head delivers
   * nothing, so a previous attempt continues until the first event.
   */
  private void resumed(ResponseHead head, RunningAttempt running) {
    if (head.success()) {
      return;
    }
    running.discard();
    attemptEnded(Verdict.RAN, AttemptFailure.RESUME_REFUSED, "status " + head.status());
  }

  private void passOn(byte[] bytes, RunningAttempt running) {
    byte[] whole = bytes;
    if (running.isStream()) {
      whole = events.append(running.endpoint().address(), bytes);
      if (events.excess().isPresent()) {
        endExcessive(running, events.excess().get());
        return;
      }
      if (events.hasCompletedEvent()) {
        running.recordEvent();
      }
    }
    if (whole.length == 0) {
      return;
    }
    passHeldHeadOn(running);
    abandonPrevious();
    if (!response.data(whole)) {
      running.pause();
      progress.paused();
    }
  }

  /** Ends an attempt whose event, or stream, is longer than it may be. */
  private void endExcessive(RunningAttempt running, AttemptFailure failure) {
    running.cancel();
    observations.recordMalformedResponse(running);
    attemptEnded(Verdict.RAN, failure, events.size());
  }

  @Override
  public void drained() {
    guard.run(this::resumeAttempts);
  }

  private void resumeAttempts() {
    if (!done) {
      progress.resumed();
      attempt.ifPresent(RunningAttempt::resume);
      previous.resume();
    }
  }

  private void finish() {
    if (running().hasEvents() && !running().endpoint().isPeer()) {
      quarantine.recordSurvival();
    } else {
      quarantine.recordAnswer();
    }
    byte[] partialEvent = events.takePartial();
    if (partialEvent.length > 0) {
      response.data(partialEvent);
    }
    close();
    metrics.recordCompletion(now());
    response.end();
    answered = true;
  }

  private void failed(boolean neverSent, Throwable cause, TrackedEndpoint endpoint) {
    selector.recordFailure();
    if (endpoint.isPeer()) {
      context.peers().recordFailure(endpoint);
      if (neverSent) {
        peerSends.recordNotConnected();
      }
      attemptFailed(neverSent, cause);
      return;
    }
    if (!neverSent && !(cause instanceof MalformedResponseException)) {
      recordLoss(endpoint);
    }
    observations.recordFailure(running(), neverSent, cause, endpoint);
    attemptFailed(neverSent, cause);
  }

  private void attemptFailed(boolean neverSent, Throwable cause) {
    attemptEnded(
        neverSent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        AttemptFailure.of(neverSent, cause),
        String.valueOf(cause));
  }

  /** Retries or fails the request after an attempt that ended without a complete response. */
  private void attemptEnded(Verdict verdict, AttemptFailure failure, String cause) {
    boolean viaPeer = selector.target().isPeer();
    String triedAt = selector.target().toString();
    String detail = closeAttempt(verdict, failure, cause);
    if (!previous.isEmpty()) {
      fallBackToPrevious(verdict);
      return;
    }
    selector.release();
    boolean arrived = verdict != Verdict.NOT_RUN || failure.isRejection();
    if (viaPeer && !arrived) {
      sendElsewhere(triedAt, failure, detail);
      return;
    }
    resend.start(new EndedAttempt(verdict, arrived, failure, cause, triedAt, detail));
  }

  /** Sends a request again that reached no endpoint, so that it needs no retry budget. */
  private void sendElsewhere(String triedAt, AttemptFailure failure, String detail) {
    peerSends.recordUncounted();
    Optional<ResendDenial> denial = policy.denial(Verdict.NOT_RUN, Optional.empty(), headSent);
    if (denial.isPresent()) {
      giveUp(Verdict.NOT_RUN, denial.get(), failure.code() + ": " + detail);
      return;
    }
    logSentAgain(triedAt, failure, detail);
    acquireEndpoint();
  }

  /** Operations for resends. */
  private final class ResendCallbacks implements PendingResend.Callbacks {
    @Override
    public Optional<ResendDenial> denial(Verdict verdict) {
      return policy.denial(verdict, Optional.empty(), headSent);
    }

    @Override
    public boolean runsOnEngines() {
      return selector.runsOnEngines();
    }

    @Override
    public boolean isInterrupted() {
      return continuesResponse();
    }

    @Override
    public boolean mayOnlyReturn() {
      return ForwardedRequest.this.mayOnlyReturn();
    }

    @Override
    public boolean mayOnlyReturnToLast() {
      return mayOnlyReturn() && !selector.isAnyUsable(eligible().excludingLastTried());
    }

    @Override
    public boolean isOneCrashFromQuarantine() {
      return quarantine.isOneCrashFromQuarantine();
    }

    @Override
    public long waitsUntil() {
      return waiter.waitsUntil();
    }

    @Override
    public int priority() {
      return waiter.priority();
    }

    @Override
    public void allowed(EndedAttempt ended) {
      logSentAgain(ended.triedAt(), ended.failure(), ended.detail());
    }

    @Override
    public void acquireEndpoint() {
      ForwardedRequest.this.acquireEndpoint();
    }

    @Override
    public boolean sendNow() {
      return startAttempt();
    }

    @Override
    public void denied(EndedAttempt ended, ResendDenial denial) {
      giveUp(ended.verdict(), denial, ended.failure().code() + ": " + ended.cause());
    }
  }

  /**
   * Cleans up after an attempt; returns the cause, including whether a partial event was dropped.
   */
  private String closeAttempt(Verdict verdict, AttemptFailure failure, String cause) {
    RunningAttempt closed = running();
    if (verdict != Verdict.NOT_RUN) {
      past.addRun(closed);
    }
    attempt = Optional.empty();
    past.recordFailure(failure);
    repairs.attemptEnded();
    failover.stop();
    boolean partial = events.dropPartial(closed.endpoint().address());
    return partial ? cause + ", partial event dropped" : cause;
  }

  private void logSentAgain(String triedAt, AttemptFailure failure, String detail) {
    long millis = NANOSECONDS.toMillis(now() - startedAt);
    ForwardLog.sentAgain(
        request, failure, policy.sends(), triedAt, millis, detail, context.counters());
  }

  private void giveUp(Verdict lastVerdict, ResendDenial denial, String detail) {
    if (headSent) {
      close();
      ForwardLog.aborted(
          request, past.lastFailure(), denial, detail, requestProgress(), context.counters());
      response.abort();
      answered = true;
      return;
    }
    Refusal refusal = past.refusal(lastVerdict, denial, detail, this::retryAfter);
    close();
    refuse(refusal);
  }

  private Refusal notRun(Reason reason, String detail) {
    return past.notRun(reason, detail, this::retryAfter);
  }

  private RequestProgress requestProgress() {
    long progressAt = policy.sends() == 0 ? startedAt : progress.lastProgress();
    return new RequestProgress(
        lastSentTo,
        policy.sends(),
        Duration.ofNanos(now() - startedAt),
        Duration.ofNanos(now() - progressAt));
  }

  private Duration retryAfter() {
    Duration untilOpen = selector.requestSchedule().untilFirst(now());
    return deadlines.retryAfter(
        queue.expectedWait(), untilOpen, now(), context.random().nextDouble());
  }

  private void onDeadline() {
    end(
        AttemptFailure.DEADLINE_EXCEEDED,
        () -> notRun(Reason.NOT_STARTED_IN_TIME, "no place"),
        Refusal.mayHaveRun(Reason.DEADLINE, "the time limit passed"));
  }

  /** Gives the caller a final answer, as the node ends. */
  void nodeEnds() {
    end(
        AttemptFailure.NODE_STOPPED,
        () -> notRun(Reason.STOPPING, "no place in time"),
        Refusal.mayHaveRun(Reason.NODE_STOPPED, "no answer in time"));
  }

  /**
   * Ends the request, whatever its attempts do.
   *
   * @param ifNotRun the answer if it has not run
   * @param ifRun the answer if it may have run, unless the caller has a part of the response
   */
  private void end(AttemptFailure failure, Supplier<Refusal> ifNotRun, Refusal ifRun) {
    if (done) {
      return;
    }
    boolean mayRunNow = attempt.filter(RunningAttempt::mayHaveArrived).isPresent();
    attempt.ifPresent(selector::recordUnfinished);
    attempt.ifPresent(RunningAttempt::cancel);
    if (headSent) {
      past.recordFailure(failure);
      giveUp(Verdict.RAN, ResendDenial.DEADLINE_EXCEEDED, ifRun.detail());
      return;
    }
    close();
    refuse(past.mayHaveRun() || mayRunNow ? ifRun : ifNotRun.get());
  }

  @Override
  public void disconnected() {
    answered = true;
    guard.run(this::callerGone);
  }

  private void callerGone() {
    if (done) {
      return;
    }
    attempt.ifPresent(selector::recordUnfinished);
    attempt.ifPresent(RunningAttempt::cancel);
    context.counters().count(Metric.REFUSALS, Reason.CALLER_GONE.code());
    close();
  }

  private void close() {
    done = true;
    onDone.accept(this);
    deadlineTimer.cancel();
    progress.stop();
    failover.stop();
    resend.cancel();
    leaveQueue();
    previous.removeAll().forEach(this::cancel);
    selector.release();
  }

  /** Runs a step of this request; an exception ends this request and no other one. */
  void run(Runnable step) {
    guard.run(step);
  }

  private void cancelAttempt() {
    attempt.ifPresent(RunningAttempt::cancel);
  }

  private void answerFailure() {
    if (answered) {
      return;
    }
    if (headSent) {
      past.recordFailure(AttemptFailure.INTERNAL);
      giveUp(Verdict.MAY_HAVE_RUN, ResendDenial.INTERNAL, RequestGuard.DETAIL);
    } else if (policy.sends() == 0) {
      refuse(Refusal.nothingSent(Reason.INTERNAL, RequestGuard.DETAIL));
    } else {
      refuse(Refusal.mayHaveRun(Reason.INTERNAL, RequestGuard.DETAIL));
    }
  }

  /** Migrates from an engine that is about to stop, unless it is the first one of the path. */
  void engineLeaving(TrackedEndpoint engine) {
    if (uses(engine) && selector.target() != engine) {
      repairs.migrateFrom(engine);
    }
  }

  /** Replaces a suspected engine, unless recent progress of the response shows that it is alive. */
  void engineSuspected(TrackedEndpoint engine) {
    if (!uses(engine)) {
      return;
    }
    repairs.engineSuspected(engine);
    boolean delivers = headSent && progress.hasRecentProgress();
    if (engine.processDown() || !delivers) {
      bypass(engine);
    }
  }

  /**
   * Replaces a later engine of the path that does not respond to the first one, if the request is
   * stalled.
   *
   * @param blockingEngines the engine that each stalled request at the reporter waits for, by
   *     request ID
   */
  void stallReported(
      TrackedEndpoint reporter, ImmutableMap<String, TrackedEndpoint> blockingEngines) {
    if (done || attempt.isEmpty() || selector.target() != reporter || !progress.isStalled()) {
      return;
    }
    Optional.ofNullable(blockingEngines.get(request.id()))
        .filter(selector::uses)
        .ifPresent(engine -> repairs.bypass(engine, "stalled on " + engine));
  }

  /**
   * Leaves an endpoint that this node, which is isolated, can't reach. A response that arrives over
   * a connection that lives on continues.
   */
  void nodeIsolated() {
    if (done) {
      return;
    }
    if (incomingHop.isPresent()) {
      returnToSender();
    } else if (attempt.isPresent() && (!running().mayHaveArrived() || progress.isStalled())) {
      moveToPeer();
    }
  }

  private void moveToPeer() {
    if (!selector.target().isPeer() && mayAbort()) {
      startFailover(
          AttemptFailure.NODE_ISOLATED, selector.target(), "this node reaches no endpoint");
    }
  }

  /** Refuses a request that a peer forwarded to this node, unless a part of it may have run. */
  private void returnToSender() {
    boolean unsent = attempt.isEmpty() || !running().mayHaveArrived();
    if (unsent && !past.mayHaveRun() && !headSent) {
      attempt.ifPresent(RunningAttempt::cancel);
      close();
      refuse(notRun(Reason.NODE_ISOLATED, "this node reaches no endpoint"));
    }
  }

  /** Stops a failover from an engine that responds again. */
  void engineRecovered(TrackedEndpoint engine) {
    failover.engineRecovered(engine);
  }

  private void bypass(TrackedEndpoint engine) {
    if (selector.target() != engine) {
      repairs.bypass(engine, "lost " + engine);
    } else if (mayAbort()) {
      startFailover(AttemptFailure.ENGINE_SUSPECTED, engine, engine.toString());
    }
  }

  /** Returns whether the attempt may be aborted without losing the request. */
  private boolean mayAbort() {
    // An engine is often known to be dead before connecting to it times out.
    return route.kind().idempotent() || !running().mayHaveArrived();
  }

  /**
   * Replaces an endpoint of which a later incarnation is known. The present attempt may have
   * reached that incarnation, in which case it continues; if not, its connection breaks.
   */
  void endpointEnded(TrackedEndpoint endpoint) {
    if (done || attempt.isEmpty()) {
      return;
    }
    if (selector.target() == endpoint) {
      endpointRestarted(endpoint);
    } else if (selector.uses(endpoint)) {
      repairs.bypass(endpoint, "ended " + endpoint);
    }
  }

  private void endpointRestarted(TrackedEndpoint endpoint) {
    if (!running().mayHaveArrived()) {
      abandonEndpoint(AttemptFailure.ENDPOINT_RESTARTED, endpoint.toString());
      return;
    }
    recordLoss(endpoint);
    if (mayAbort()) {
      startFailover(AttemptFailure.ENDPOINT_RESTARTED, endpoint, endpoint.toString());
    }
  }

  private boolean uses(TrackedEndpoint engine) {
    return !done && selector.uses(engine);
  }

  /** Operations for path repairs. */
  private final class RepairCallbacks implements PathRepairs.Callbacks {
    @Override
    public RunningAttempt running() {
      return ForwardedRequest.this.running();
    }

    @Override
    public boolean isCurrent(RunningAttempt candidate) {
      return ForwardedRequest.this.isCurrent(candidate);
    }

    @Override
    public boolean isStalled() {
      return progress.isStalled();
    }

    @Override
    public boolean mayAbort() {
      return ForwardedRequest.this.mayAbort();
    }

    @Override
    public void engineLost(TrackedEndpoint engine) {
      recordDetectionTime();
      recordLoss(engine);
    }

    @Override
    public void repaired() {
      progress.reset();
      failover.stop();
      quarantine.recordSent();
    }

    @Override
    public void failOverFrom(TrackedEndpoint lost, AttemptFailure failure, String cause) {
      // Even if the engine has ended: an unanswered path change may have removed it from the path.
      startFailover(failure, lost, cause);
    }
  }

  private void startFailover(AttemptFailure failure, TrackedEndpoint unresponsive, String cause) {
    if (failover.isActive()) {
      return;
    }
    recordDetectionTime();
    Duration wait = Duration.ZERO;
    if (running().mayHaveArrived() && quarantine.isOneCrashFromQuarantine()) {
      recordLoss(selector.target());
      wait = PendingResend.FAILURE_DETECTION_DELAY;
    }
    failover.start(new Trigger(failure, unresponsive, cause), wait);
  }

  /** Operations for failover. */
  private final class FailoverCallbacks implements Failover.Callbacks {
    @Override
    public Optional<ResendDenial> denialIfAbandoned() {
      return ForwardedRequest.this.denialIfAbandoned();
    }

    @Override
    public void acquireEndpoint() {
      if (!mayOnlyReturn()) {
        ForwardedRequest.this.acquireEndpoint();
      } else if (!failOver()) {
        failover.capacityRefused();
      }
    }

    @Override
    public void leaveQueue() {
      ForwardedRequest.this.leaveQueue();
    }

    @Override
    public void denied(Trigger trigger, ResendDenial denial) {
      stayOrFail(trigger, denial);
    }
  }

  private Optional<ResendDenial> denialIfAbandoned() {
    Optional<ResendDenial> denial =
        policy.denial(
            running().verdictIfAbandoned(),
            attempt.filter(RunningAttempt::mayHaveArrived),
            headSent);
    if (denial.isPresent()) {
      return denial;
    }
    boolean arrived = running().mayHaveArrived();
    if (mayOnlyReturn() && !selector.isAnyUsableElsewhere(eligible(), arrived)) {
      return Optional.of(ResendDenial.ATTEMPTS_EXHAUSTED);
    }
    boolean exhausted = arrived && !budget.canWithdraw();
    return exhausted ? Optional.of(ResendDenial.BUDGET_EXHAUSTED) : Optional.empty();
  }

  /** Returns the endpoints to which the request may be sent, beside those of other attempts. */
  private EndpointFilter eligible() {
    return policy.eligible(
        previous.endpoints(), attempt.filter(RunningAttempt::mayHaveArrived), headSent);
  }

  private boolean mayOnlyReturn() {
    return eligible().isRestricted();
  }

  /** Replaces the attempt by one at another endpoint, if one has capacity now. */
  private boolean failOver() {
    boolean ended = running().hasEndpointEnded() && !headSent;
    if (ended || !running().mayHaveArrived()) {
      return replaceAttempt();
    }
    AttemptFailure failure = failover.trigger().failure();
    // An engine also forgets a request that it has completed; the rest may not have been read yet.
    boolean lost =
        failure == AttemptFailure.REQUEST_UNKNOWN
            ? !progress.hasRecentProgress()
            : failure == AttemptFailure.PATH_LOST && !headSent;
    // The attempt is only replaced where the same first engine may take the request on another
    // path.
    return startConcurrentAttempt() || (lost && replaceAttempt());
  }

  private boolean replaceAttempt() {
    Trigger trigger = failover.trigger();
    TrackedEndpoint endpoint = selector.target();
    if (!selector.select(eligible())) {
      return false;
    }
    if (running().mayHaveArrived()) {
      budget.tryWithdraw();
    }
    String detail = abortAttempt(trigger, endpoint);
    logSentAgain(endpoint.toString(), trigger.failure(), detail);
    send();
    return true;
  }

  /** Starts another attempt elsewhere and keeps the present one, as the new one may be refused. */
  private boolean startConcurrentAttempt() {
    Optional<EndpointSelector.Selection> present = selector.selectAdditional(eligible());
    if (present.isEmpty()) {
      return false;
    }
    budget.tryWithdraw();
    Trigger trigger = failover.trigger();
    previous.add(new PreviousAttempt(running(), present.get(), events.takePartial(), trigger));
    closeAttempt(running().verdictIfAbandoned(), trigger.failure(), trigger.cause());
    logSentAgain(present.get().target().toString(), trigger.failure(), trigger.cause());
    send();
    return true;
  }

  /**
   * Makes a previous attempt current again, which delivers. Its replacement becomes a previous one
   * until an event is complete.
   */
  private void supersedeReplacement(RunningAttempt delivering) {
    RunningAttempt superseded = running();
    PreviousAttempt resumed = previous.remove(delivering);
    Trigger trigger =
        new Trigger(
            AttemptFailure.SUPERSEDED, superseded.endpoint(), "the previous endpoint responded");
    byte[] partOfEvent = events.takePartial();
    closeAttempt(superseded.verdictIfAbandoned(), trigger.failure(), trigger.cause());
    context.counters().count(Metric.DROPPED_ANSWERS, trigger.failure().code());
    EndpointSelector.Selection selection = selector.exchange(resumed.selection());
    if (superseded.mayHaveArrived()) {
      previous.add(new PreviousAttempt(superseded, selection, partOfEvent, trigger));
    } else {
      superseded.cancel();
      selector.release(selection);
    }
    restore(resumed);
  }

  /** Continues a previous attempt after its replacement failed, and retries the failover. */
  private void fallBackToPrevious(Verdict verdict) {
    PreviousAttempt resumed = previous.removeLatest();
    selector.revertTo(resumed.selection());
    restore(resumed);
    Trigger trigger = resumed.trigger();
    boolean lost =
        trigger.unresponsive().suspected()
            || trigger.unresponsive().hasEnded()
            || (trigger.failure() == AttemptFailure.NODE_ISOLATED
                && context.reachability().isIsolated());
    if (lost) {
      Duration wait =
          verdict == Verdict.NOT_RUN || !quarantine.isOneCrashFromQuarantine()
              ? Duration.ZERO
              : PendingResend.FAILURE_DETECTION_DELAY;
      failover.start(trigger, wait);
    }
  }

  private void restore(PreviousAttempt resumed) {
    attempt = Optional.of(resumed.attempt());
    past.removeRun(resumed.attempt());
    events.restorePartial(resumed);
    progress.previousResumed(headSent || resumed.attempt().hasHead());
    resumed.attempt().resume();
  }

  /** Abandons the previous attempts, as the current one delivers events. */
  private void abandonPrevious() {
    // Called for each event, of which most have no previous attempt.
    if (!previous.isEmpty()) {
      previous.removeAll().forEach(this::abandon);
    }
  }

  private void abandon(PreviousAttempt abandoned) {
    boolean superseded = abandoned.trigger().failure() == AttemptFailure.SUPERSEDED;
    if (abandoned.attempt().mayHaveArrived() && !superseded) {
      observations.recordLoss(abandoned.attempt(), abandoned.attempt().endpoint());
    }
    cancel(abandoned);
  }

  private void cancel(PreviousAttempt cancelled) {
    cancelled.attempt().cancel();
    selector.release(cancelled.selection());
  }

  /**
   * Handles the head of a previous attempt, which had none when its replacement was sent. Unless
   * the caller has a head already, a response other than a stream or a failure is passed on instead
   * of that of the replacement.
   */
  private void previousHead(ResponseHead head, RunningAttempt running) {
    if (!head.matches()) {
      drop(running, AttemptFailure.MISMATCHED_RESPONSE);
      running.cancel();
    } else if (head.notRun()) {
      drop(running, AttemptFailure.ENDPOINT_REFUSED);
      running.discard();
      past.removeRun(running);
      past.recordFailure(AttemptFailure.ENDPOINT_REFUSED);
    } else if (headSent ? !head.success() : head.status() >= SERVER_ERROR) {
      drop(running, headSent ? AttemptFailure.RESUME_REFUSED : AttemptFailure.ENDPOINT_ERROR);
      running.discard();
    } else if (!headSent && isStream(head)) {
      running.holdHead(head);
    } else if (!headSent) {
      supersedeReplacement(running);
      progress.headReceived();
      failover.stop();
      passOn(head, running);
    }
  }

  /** Drops a previous attempt whose response can't be used. */
  private void drop(RunningAttempt running, AttemptFailure failure) {
    context.counters().count(Metric.DROPPED_ANSWERS, failure.code());
    selector.release(previous.remove(running).selection());
  }

  private void previousFailed(RunningAttempt failed, Throwable cause) {
    observations.recordLoss(failed, failed.endpoint());
    cancel(previous.remove(failed));
    selector.recordFailure(failed.endpoint());
    observations.recordDisconnect(cause, failed.endpoint());
  }

  private boolean isPrevious(RunningAttempt candidate) {
    return !done && previous.contains(candidate);
  }

  /** Aborts the attempt; returns the cause, including whether a partial event was dropped. */
  private String abortAttempt(Trigger trigger, TrackedEndpoint endpoint) {
    Verdict verdict = running().verdictIfAbandoned();
    if (verdict == Verdict.MAY_HAVE_RUN) {
      recordLoss(endpoint);
    }
    running().cancel();
    return closeAttempt(verdict, trigger.failure(), trigger.cause());
  }

  /**
   * Stays at an endpoint that does not respond.
   *
   * <p>A caller that has no part of the response yet and can retry is refused before it gives up,
   * and at once if the endpoint can't respond.
   */
  private void stayOrFail(Trigger trigger, ResendDenial denial) {
    long waitsUntil = deadlines.waitsUntil(Duration.ZERO);
    boolean mayRespond = running().mayHaveArrived() && !running().hasEndpointEnded();
    // A request of a peer stays: its sender decides when its caller has waited long enough.
    boolean stays = mayRespond && (incomingHop.isPresent() || now() < waitsUntil);
    if (headSent || !mayAbort() || stays) {
      failover.runOncePerFailover(() -> stayed(trigger, denial, waitsUntil));
      return;
    }
    if (!previous.isEmpty() && now() < waitsUntil) {
      abandonEndpoint(trigger.failure(), trigger.cause());
      return;
    }
    Verdict verdict = running().verdictIfAbandoned();
    abortAttempt(trigger, selector.target());
    selector.release();
    giveUp(verdict, denial, trigger.failure().code() + ": " + trigger.cause());
  }

  private void stayed(Trigger trigger, ResendDenial denial, long waitsUntil) {
    ForwardLog.stayed(request, trigger.failure(), denial, requestProgress(), context.counters());
    long wait = waitsUntil - now();
    if (wait > 0) {
      context.clock().schedule(failover::retry, wait, NANOSECONDS);
    }
  }

  private RunningAttempt running() {
    return attempt.orElseThrow();
  }

  private boolean isCurrent(RunningAttempt candidate) {
    return !done && attempt.filter(present -> present == candidate).isPresent();
  }

  /** Retries or starts a failover for a stalled request. */
  private void onStall() {
    if (done || attempt.isEmpty()) {
      return;
    }
    if (failover.isActive()) {
      failover.retry();
      if (done || attempt.isEmpty()) {
        return;
      }
    }
    if (selector.target().isPeer()) {
      peerStalled();
      return;
    }
    if (context.reachability().isIsolated()) {
      nodeIsolated();
      return;
    }
    // Another path may have become available since the search for one ended.
    boolean pathLost =
        failover.isActive() && failover.trigger().failure() == AttemptFailure.PATH_LOST;
    for (TrackedEndpoint engine : selector.lost()) {
      // Replacing one engine may have changed the path.
      if ((pathLost || !failover.isActive()) && uses(engine)) {
        bypass(engine);
      }
    }
  }

  /** Sends the request to another peer as well if this one has been silent for long. */
  private void peerStalled() {
    Duration sinceProgress = Duration.ofNanos(now() - progress.lastProgress());
    boolean silent = PeerSends.isSilent(sinceProgress, headSent);
    if (silent && route.kind().streamed() && !failover.isActive() && mayAbort()) {
      context.peers().recordFailure(selector.target());
      startFailover(AttemptFailure.PEER_SILENT, selector.target(), "no progress at the peer");
    }
  }

  /** Aborts the attempt; whether the request is sent again depends on what may have run. */
  private void abandonEndpoint(AttemptFailure failure, String cause) {
    Verdict verdict = running().verdictIfAbandoned();
    if (verdict == Verdict.MAY_HAVE_RUN) {
      recordLoss(selector.target());
    }
    running().cancel();
    attemptEnded(verdict, failure, cause);
  }

  private void recordDetectionTime() {
    Duration sinceProgress = Duration.ofNanos(now() - progress.lastProgress());
    context.counters().record(Metric.DETECTION_TIME, sinceProgress);
  }

  private void recordLoss(TrackedEndpoint endpoint) {
    observations.recordLoss(running(), endpoint);
  }

  /** Called when requests with a trait are quarantined: refuses this one if it is waiting. */
  void quarantined(RequestTrait trait) {
    if (!done && !selector.isSelected() && quarantine.has(trait)) {
      refuseQuarantined();
    }
  }

  private void refuseQuarantined() {
    if (headSent || past.mayHaveRun()) {
      giveUp(Verdict.MAY_HAVE_RUN, ResendDenial.QUARANTINED, "held back");
      return;
    }
    close();
    refuse(quarantine.refusal());
  }

  private void refuse(Refusal refusal) {
    ForwardLog.refused(request, refusal, requestProgress(), context.counters());
    response.refuse(refusal);
    answered = true;
  }

  private long now() {
    return context.clock().currentTime(NANOSECONDS);
  }
}
