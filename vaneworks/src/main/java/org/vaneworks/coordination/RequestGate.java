package org.vaneworks.coordination;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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

  RequestGate(
      Lifecycle lifecycle,
      ConfigurationBoard board,
      PipelineDriver driver,
      ServiceRouter services,
      Counters counters) {
    this.lifecycle = checkNotNull(lifecycle);
    this.board = checkNotNull(board);
    this.driver = checkNotNull(driver);
    this.services = checkNotNull(services);
    this.counters = checkNotNull(counters);
  }

  /**
   * Starts a completion.
   *
   * @param sink takes the answer; may be called before this returns
   * @return cancels the request when run, for a caller that is gone
   */
  public Runnable complete(
      String workspace, CompletionBody body, CallerOptions options, AnswerSink sink) {
    counters.count(Metric.REQUESTS, "completion");
    Optional<Refusal> closed = lifecycle.enter();
    if (closed.isPresent()) {
      count(closed.get());
      sink.failed(closed.get());
      return () -> {};
    }
    AnswerSink counted = countedOut(sink);
    try {
      return driver.run(checked(workspace, body, options), counted);
    } catch (RefusalException e) {
      counted.failed(e.refusal());
      return () -> {};
    }
  }

  private CompletionRequest checked(String workspace, CompletionBody body, CallerOptions options) {
    WorkspacePlan plan = planOf(workspace);
    if (body.prompt().isEmpty()) {
      throw Refusal.before(Reason.INVALID_FIELD, "messages: must not be empty").toException();
    }
    int maxTokens = body.maxTokens().orElse(plan.maxTokens());
    if (maxTokens < 1 || maxTokens > plan.maxTokens()) {
      String detail = "max_tokens: is " + maxTokens + ", allowed: 1 to " + plan.maxTokens();
      throw Refusal.before(Reason.INVALID_FIELD, detail).toException();
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
        .orElseThrow(() -> Refusal.before(Reason.UNKNOWN_WORKSPACE, workspace).toException());
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
    Optional<Refusal> closed = lifecycle.enter();
    if (closed.isPresent()) {
      count(closed.get());
      return CompletableFuture.failedFuture(closed.get().toException());
    }
    return Async.compose(
        checkedCall(workspace, service, call, options),
        (reply, failure) -> {
          lifecycle.leave();
          if (failure == null) {
            return CompletableFuture.completedFuture(reply);
          }
          count(RefusalException.refusalOf(failure));
          return CompletableFuture.failedFuture(failure);
        });
  }

  private CompletableFuture<ServiceReply> checkedCall(
      String workspace, String service, ServiceCall call, CallerOptions options) {
    try {
      ServiceSpec spec =
          planOf(workspace)
              .service(service)
              .orElseThrow(() -> Refusal.before(Reason.UNKNOWN_SERVICE, service).toException());
      boolean byRule = spec.repeatable(call.method(), call.path());
      boolean repeatable = byRule && options.repeatable().orElse(true);
      return services.call(service, call, repeatable, options.deadline());
    } catch (RefusalException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Counts a refusal that the transport made before a request got here. */
  public void count(Refusal refusal) {
    counters.count(Metric.REFUSALS, refusal.reason().code());
    counters.count(Metric.VERDICTS, refusal.verdict().name());
  }
}
