package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ActiveConfiguration;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;
import org.vaneworks.coordination.membership.PeerMessage;
import org.vaneworks.coordination.membership.PeerMessage.OnceReply;
import org.vaneworks.coordination.membership.PeerMessage.RunOnce;
import org.vaneworks.coordination.once.OnceDelivery;
import org.vaneworks.coordination.once.OnceOutcome;
import org.vaneworks.coordination.once.OnceRequest;
import org.vaneworks.coordination.once.OnceStarter;
import org.vaneworks.coordination.once.OnceWork;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.coordination.pipeline.PipelineDriver;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.coordination.requests.CompletionBody;
import org.vaneworks.coordination.requests.CompletionRequest;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;
import org.vaneworks.state.ServiceSpec;
import org.vaneworks.state.WorkspacePlan;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Metric;

/**
 * The entry point for callers' requests: validates them against the configuration and runs them.
 *
 * <p>Counts every refusal exactly once in the metrics. Thread-safe.
 */
public final class RequestDispatcher {
  private final Lifecycle lifecycle;
  private final ActiveConfiguration configuration;
  private final PipelineDriver driver;
  private final ServiceRouter services;
  private final Counters counters;
  private final OnceService once;

  RequestDispatcher(
      Lifecycle lifecycle,
      ActiveConfiguration configuration,
      PipelineDriver driver,
      ServiceRouter services,
      Counters counters,
      Function<OnceStarter, OnceService> onceServiceFactory) {
    this.lifecycle = checkNotNull(lifecycle);
    this.configuration = checkNotNull(configuration);
    this.driver = checkNotNull(driver);
    this.services = checkNotNull(services);
    this.counters = checkNotNull(counters);
    this.once = onceServiceFactory.apply(this::startOnce);
  }

  /**
   * Starts a completion.
   *
   * @param sink receives the answer; may be called before this method returns
   * @return a task that cancels the request, to be run when the caller disconnects; it does not
   *     cancel a request with a ticket or key, whose answer the caller can request again
   */
  public Runnable complete(
      String workspace, CompletionBody body, CallerOptions options, AnswerSink sink) {
    counters.count(Metric.REQUESTS, "completion");
    Optional<Refusal> refusal = enter(options);
    if (refusal.isPresent()) {
      sink.failed(refusal.get());
      return () -> {};
    }
    AnswerSink countingSink = countingSink(sink);
    if (runsOnce(options)) {
      completeOnce(workspace, body, options, countingSink);
      return () -> {};
    }
    try {
      return driver.run(validated(workspace, body, options), countingSink);
    } catch (RefusalException e) {
      countingSink.failed(e.refusal());
      return () -> {};
    }
  }

  /**
   * Counts a request as in flight, or returns the refusal if the node accepts none.
   *
   * <p>The verdict on a request with a ticket or key covers all its attempts, including those on
   * other nodes, so a refusal on this node does not prove that the request did not run.
   */
  private Optional<Refusal> enter(CallerOptions options) {
    Optional<Refusal> refusal =
        lifecycle.enter().map(refused -> runsOnce(options) ? refused.withoutProof() : refused);
    refusal.ifPresent(this::count);
    return refusal;
  }

  private static boolean runsOnce(CallerOptions options) {
    return options.ticket().isPresent() || options.key().isPresent();
  }

  private void completeOnce(
      String workspace, CompletionBody body, CallerOptions options, AnswerSink countingSink) {
    OnceDelivery delivery = new OnceDelivery(countingSink);
    OnceWork work = new OnceWork.Completion(body.prompt(), body.maxTokens());
    Async.ignore(once.submit(workspace, work, options, delivery).thenAccept(delivery::finish));
  }

  /** Runs a request that its record allows to run. */
  private CompletableFuture<OnceOutcome> startOnce(OnceRequest request, AnswerSink live) {
    CallerOptions options =
        new CallerOptions(
            Optional.of(false),
            Optional.empty(),
            Optional.empty(),
            request.priority(),
            request.deadline());
    if (request.work() instanceof OnceWork.Completion completion) {
      return startCompletion(request.workspace(), completion, options, live);
    }
    OnceWork.Call call = (OnceWork.Call) request.work();
    ServiceCall serviceCall =
        new ServiceCall(call.method(), call.path(), call.body(), request.recordId());
    return Async.compose(
        callValidated(request.workspace(), call.service(), serviceCall, options),
        (reply, failure) ->
            CompletableFuture.completedFuture(
                failure == null
                    ? new OnceOutcome.Replied(reply)
                    : new OnceOutcome.Refused(RefusalException.refusalOf(failure))));
  }

  private CompletableFuture<OnceOutcome> startCompletion(
      String workspace, OnceWork.Completion completion, CallerOptions options, AnswerSink live) {
    CompletableFuture<OnceOutcome> outcome = new CompletableFuture<>();
    CompletionBody body = new CompletionBody(completion.prompt(), completion.maxTokens());
    AnswerSink recording = new RecordingSink(live, outcome);
    try {
      Runnable unused = driver.run(validated(workspace, body, options), recording);
    } catch (RefusalException e) {
      recording.failed(e.refusal());
    }
    return outcome;
  }

  /** Forwards the tokens of a completion and collects them for its record. */
  private static final class RecordingSink implements AnswerSink {
    private final AnswerSink live;
    private final CompletableFuture<OnceOutcome> outcome;
    private final ImmutableList.Builder<String> tokens = ImmutableList.builder();

    RecordingSink(AnswerSink live, CompletableFuture<OnceOutcome> outcome) {
      this.live = live;
      this.outcome = outcome;
    }

    @Override
    public void token(String text) {
      tokens.add(text);
      live.token(text);
    }

    @Override
    public void complete() {
      outcome.complete(new OnceOutcome.Tokens(tokens.build()));
    }

    @Override
    public void failed(Refusal refusal) {
      outcome.complete(new OnceOutcome.Refused(refusal));
    }
  }

  private CompletionRequest validated(
      String workspace, CompletionBody body, CallerOptions options) {
    WorkspacePlan plan = planOf(workspace);
    if (body.prompt().isEmpty()) {
      throw Refusal.nothingSent(Reason.INVALID_FIELD, "messages: must not be empty").toException();
    }
    int maxTokens = body.maxTokens().orElse(plan.maxTokens());
    if (maxTokens < 1 || maxTokens > plan.maxTokens()) {
      String detail = "max_tokens: is " + maxTokens + ", allowed: 1 to " + plan.maxTokens();
      throw Refusal.nothingSent(Reason.INVALID_FIELD, detail).toException();
    }
    return new CompletionRequest(
        plan,
        body.prompt(),
        maxTokens,
        options.repeatable().orElse(true),
        options.priority().orElse(plan.priority()),
        options.deadline());
  }

  private WorkspacePlan planOf(String workspace) {
    return configuration
        .snapshot()
        .plan(workspace)
        .orElseThrow(() -> Refusal.nothingSent(Reason.UNKNOWN_WORKSPACE, workspace).toException());
  }

  private AnswerSink countingSink(AnswerSink sink) {
    return new AnswerSink() {
      @Override
      public void token(String text) {
        sink.token(text);
      }

      @Override
      public void complete() {
        sink.complete();
        lifecycle.leave();
      }

      @Override
      public void failed(Refusal refusal) {
        count(refusal);
        sink.failed(refusal);
        lifecycle.leave();
      }
    };
  }

  /** Calls a plain service on behalf of a workspace. */
  public CompletableFuture<ServiceReply> call(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    counters.count(Metric.REQUESTS, "service");
    Optional<Refusal> refusal = enter(options);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    return Async.compose(
        runsOnce(options)
            ? callOnce(workspace, service, call, options)
            : callValidated(workspace, service, call, options),
        (reply, failure) -> {
          lifecycle.leave();
          if (failure == null) {
            return CompletableFuture.completedFuture(reply);
          }
          count(RefusalException.refusalOf(failure));
          return CompletableFuture.failedFuture(failure);
        });
  }

  private CompletableFuture<ServiceReply> callOnce(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    OnceWork work = new OnceWork.Call(service, call.method(), call.path(), call.body());
    return once.submit(workspace, work, options, new OnceDelivery(OnceService.DISCARDING_SINK))
        .thenCompose(RequestDispatcher::replyOf);
  }

  private static CompletableFuture<ServiceReply> replyOf(OnceOutcome outcome) {
    if (outcome instanceof OnceOutcome.Replied replied) {
      return CompletableFuture.completedFuture(replied.reply());
    }
    Refusal refusal =
        outcome instanceof OnceOutcome.Refused refused
            ? refused.refusal()
            : Refusal.nothingSent(Reason.KEY_REUSED, "the record is that of a completion");
    return CompletableFuture.failedFuture(refusal.toException());
  }

  private CompletableFuture<ServiceReply> callValidated(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    try {
      ServiceSpec spec =
          planOf(workspace)
              .service(service)
              .orElseThrow(
                  () -> Refusal.nothingSent(Reason.UNKNOWN_SERVICE, service).toException());
      boolean repeatableByRule = spec.repeatable(call.method(), call.path());
      boolean repeatable = repeatableByRule && options.repeatable().orElse(true);
      return services.call(service, call, repeatable, options.deadline());
    } catch (RefusalException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Issues the given number of tickets; fails with a refusal if the node accepts no requests. */
  public CompletableFuture<ImmutableList<String>> tickets(int count) {
    Optional<Refusal> refusal = enter(CallerOptions.NONE);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    try {
      return CompletableFuture.completedFuture(once.issue(count));
    } finally {
      lifecycle.leave();
    }
  }

  /**
   * Handles a request that a peer forwarded because only this node may run it.
   *
   * <p>A request that it starts is in flight until its run ends, although the peer is told earlier
   * that it still runs. A stopping node starts none, but still answers for those that it started.
   */
  CompletableFuture<PeerMessage> serve(RunOnce message) {
    Optional<Refusal> refusal = lifecycle.enter();
    return refusal.isPresent()
        ? once.join(message).orElseGet(() -> refused(refusal.get()))
        : once.serve(message, lifecycle::leave);
  }

  private static CompletableFuture<PeerMessage> refused(Refusal refusal) {
    return CompletableFuture.completedFuture(
        new OnceReply(new OnceOutcome.Refused(refusal.withoutProof())));
  }

  /** Returns the service that runs requests at most once. */
  OnceService once() {
    return once;
  }

  /** Counts a refusal that the transport layer issued before it dispatched the request. */
  public void count(Refusal refusal) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name());
  }
}
