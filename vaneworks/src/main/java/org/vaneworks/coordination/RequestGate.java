package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.vaneworks.coordination.concurrent.Async;
import org.vaneworks.coordination.configuration.ConfigurationBoard;
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
 * Takes callers' requests, checks them against the configuration and has them run.
 *
 * <p>Every refusal is counted here, once. Thread-safe.
 */
public final class RequestGate {
  private final Lifecycle lifecycle;
  private final ConfigurationBoard board;
  private final PipelineDriver driver;
  private final ServiceRouter services;
  private final Counters counters;
  private final OnceService once;

  RequestGate(
      Lifecycle lifecycle,
      ConfigurationBoard board,
      PipelineDriver driver,
      ServiceRouter services,
      Counters counters,
      Function<OnceStarter, OnceService> onceMaker) {
    this.lifecycle = checkNotNull(lifecycle);
    this.board = checkNotNull(board);
    this.driver = checkNotNull(driver);
    this.services = checkNotNull(services);
    this.counters = checkNotNull(counters);
    this.once = onceMaker.apply(this::startOnce);
  }

  /**
   * Starts a completion.
   *
   * @param sink takes the answer; may be called before this returns
   * @return cancels the request when run, for a caller that is gone; a request under a ticket or
   *     key goes on, so that the caller can ask for its answer again
   */
  public Runnable complete(
      String workspace, CompletionBody body, CallerOptions options, AnswerSink sink) {
    counters.count(Metric.REQUESTS, "completion");
    Optional<Refusal> closed = enter(options);
    if (closed.isPresent()) {
      sink.failed(closed.get());
      return () -> {};
    }
    AnswerSink counted = countedOut(sink);
    if (runsOnce(options)) {
      completeOnce(workspace, body, options, counted);
      return () -> {};
    }
    try {
      return driver.run(checked(workspace, body, options), counted);
    } catch (RefusalException e) {
      counted.failed(e.refusal());
      return () -> {};
    }
  }

  /**
   * Counts a request in, or says why it can't be taken.
   *
   * <p>Under a ticket or key the verdict speaks of every attempt, and this node can't know what
   * became of the others.
   */
  private Optional<Refusal> enter(CallerOptions options) {
    Optional<Refusal> closed =
        lifecycle.enter().map(why -> runsOnce(options) ? why.withoutProof() : why);
    closed.ifPresent(this::count);
    return closed;
  }

  private static boolean runsOnce(CallerOptions options) {
    return options.ticket().isPresent() || options.key().isPresent();
  }

  private void completeOnce(
      String workspace, CompletionBody body, CallerOptions options, AnswerSink counted) {
    OnceDelivery delivery = new OnceDelivery(counted);
    OnceWork work = new OnceWork.Completion(body.prompt(), body.maxTokens());
    Async.ignore(once.submit(workspace, work, options, delivery).thenAccept(delivery::end));
  }

  /** Runs a request that its record allows to run now. */
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
        checkedCall(request.workspace(), call.service(), serviceCall, options),
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
      Runnable unused = driver.run(checked(workspace, body, options), recording);
    } catch (RefusalException e) {
      recording.failed(e.refusal());
    }
    return outcome;
  }

  /** Keeps a completion's tokens for its record. */
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

  private CompletionRequest checked(String workspace, CompletionBody body, CallerOptions options) {
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
    return board
        .snapshot()
        .plan(workspace)
        .orElseThrow(() -> Refusal.nothingSent(Reason.UNKNOWN_WORKSPACE, workspace).toException());
  }

  private AnswerSink countedOut(AnswerSink sink) {
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

  /** Calls a plain service of a workspace. */
  public CompletableFuture<ServiceReply> call(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    counters.count(Metric.REQUESTS, "service");
    Optional<Refusal> closed = enter(options);
    if (closed.isPresent()) {
      return CompletableFuture.failedFuture(closed.get().toException());
    }
    return Async.compose(
        runsOnce(options)
            ? callOnce(workspace, service, call, options)
            : checkedCall(workspace, service, call, options),
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
    return once.submit(workspace, work, options, new OnceDelivery(OnceService.NO_CALLER))
        .thenCompose(RequestGate::replyOf);
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

  private CompletableFuture<ServiceReply> checkedCall(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    try {
      ServiceSpec spec =
          planOf(workspace)
              .service(service)
              .orElseThrow(
                  () -> Refusal.nothingSent(Reason.UNKNOWN_SERVICE, service).toException());
      boolean byRule = spec.repeatable(call.method(), call.path());
      boolean repeatable = byRule && options.repeatable().orElse(true);
      return services.call(service, call, repeatable, options.deadline());
    } catch (RefusalException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Issues tickets, or refuses while the node does not take requests. */
  public CompletableFuture<ImmutableList<String>> tickets(int count) {
    Optional<Refusal> closed = enter(CallerOptions.NONE);
    if (closed.isPresent()) {
      return CompletableFuture.failedFuture(closed.get().toException());
    }
    try {
      return CompletableFuture.completedFuture(once.issue(count));
    } finally {
      lifecycle.leave();
    }
  }

  /** Serves a request that a peer sent here because this node alone may run it. */
  CompletableFuture<PeerMessage> serve(RunOnce message) {
    Optional<Refusal> closed = lifecycle.enter();
    if (closed.isPresent()) {
      return CompletableFuture.completedFuture(
          new OnceReply(new OnceOutcome.Refused(closed.get().withoutProof())));
    }
    return Async.compose(
        once.serve(message),
        (reply, failure) -> {
          lifecycle.leave();
          return failure == null
              ? CompletableFuture.completedFuture(reply)
              : CompletableFuture.failedFuture(failure);
        });
  }

  /** Returns what runs requests at most once. */
  OnceService once() {
    return once;
  }

  /** Counts a refusal that the transport made before a request got here. */
  public void count(Refusal refusal) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name());
  }
}
