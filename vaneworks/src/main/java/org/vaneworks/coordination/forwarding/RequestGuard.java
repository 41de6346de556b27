package org.vaneworks.coordination.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the steps of one request: an exception of a step ends this request, with a log line and an
 * answer, and does not reach the caller of the step, which may act for other requests too.
 *
 * <p>Confined to the node's event loop.
 */
final class RequestGuard {
  /** The detail of the answer; the exception itself is only logged. */
  static final String DETAIL = "an exception of the node";

  private final CallerRequest request;
  private final Runnable cancelAttempt;
  private final Runnable close;
  private final Runnable answer;

  /**
   * Creates a guard.
   *
   * @param cancelAttempt cancels the current attempt, if there is one
   * @param close releases what the request holds; may run again after it has thrown an exception
   * @param answer ends the response to the caller, unless it has ended
   */
  RequestGuard(CallerRequest request, Runnable cancelAttempt, Runnable close, Runnable answer) {
    this.request = checkNotNull(request);
    this.cancelAttempt = checkNotNull(cancelAttempt);
    this.close = checkNotNull(close);
    this.answer = checkNotNull(answer);
  }

  /** Runs a step. */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  /** Ends the request, a step of which has thrown an exception. */
  void fail(RuntimeException cause) {
    ForwardLog.failedInside(request, cause);
    runLast(cancelAttempt);
    runLast(close);
    runLast(answer);
  }

  private void runLast(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      ForwardLog.failedInside(request, e);
    }
  }

  /** Returns an executor that runs tasks as steps. */
  Executor clock(Executor delegate) {
    return new GuardedExecutor(delegate, this);
  }

  /** Returns a listener that handles events as steps. */
  EndpointTransport.Listener listener(EndpointTransport.Listener delegate) {
    return new GuardedListener(delegate, this);
  }

  private record GuardedExecutor(Executor delegate, RequestGuard guard) implements Executor {
    @Override
    public long currentTime(TimeUnit unit) {
      return delegate.currentTime(unit);
    }

    @Override
    public Cancellable execute(Runnable task) {
      return delegate.execute(() -> guard.run(task));
    }

    @Override
    public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
      return delegate.schedule(() -> guard.run(task), delay, unit);
    }
  }

  private record GuardedListener(EndpointTransport.Listener delegate, RequestGuard guard)
      implements EndpointTransport.Listener {
    @Override
    public void head(ResponseHead head) {
      guard.run(() -> delegate.head(head));
    }

    @Override
    public void data(byte[] bytes) {
      guard.run(() -> delegate.data(bytes));
    }

    @Override
    public void end(BodyDelimiter delimiter) {
      guard.run(() -> delegate.end(delimiter));
    }

    @Override
    public void failed(boolean neverSent, Throwable cause) {
      guard.run(() -> delegate.failed(neverSent, cause));
    }
  }
}
