package org.vaneworks.transport;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.DelegatingExecutor;
import io.servicetalk.concurrent.api.Executor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Logs the exceptions and reports the {@link Error}s of tasks, which ServiceTalk's event loop drops
 * without a log line.
 *
 * @see FatalErrors
 */
public final class ErrorReportingExecutor extends DelegatingExecutor {
  private ErrorReportingExecutor(Executor delegate) {
    super(delegate);
  }

  /** Wraps an executor. */
  public static Executor of(Executor delegate) {
    return new ErrorReportingExecutor(delegate);
  }

  private static Runnable reporting(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.error(Event.TASK_FAILED, e);
      } catch (Error e) {
        FatalErrors.report(e);
        throw e;
      }
    };
  }

  @Override
  public Cancellable execute(Runnable task) {
    return delegate().execute(reporting(task));
  }

  @Override
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    return delegate().schedule(reporting(task), delay, unit);
  }

  @Override
  public Cancellable schedule(Runnable task, Duration delay) {
    return delegate().schedule(reporting(task), delay);
  }
}
