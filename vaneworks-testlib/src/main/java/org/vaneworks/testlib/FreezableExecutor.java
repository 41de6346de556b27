package org.vaneworks.testlib;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One process's share of an executor: it can be frozen, as by SIGSTOP, while its clock goes on.
 *
 * <p>What falls due while it is frozen runs once it thaws. Meant for a {@link PausedExecutor}, so
 * not thread-safe.
 */
final class FreezableExecutor implements Executor {
  private final Executor delegate;
  private final List<Runnable> due = new ArrayList<>();
  private boolean frozen;

  FreezableExecutor(Executor delegate) {
    this.delegate = delegate;
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
    List<Runnable> tasks = new ArrayList<>(due);
    due.clear();
    tasks.forEach(delegate::execute);
  }

  @Override
  public long currentTime(TimeUnit unit) {
    return delegate.currentTime(unit);
  }

  @Override
  public Cancellable execute(Runnable task) {
    return schedule(task, 0, TimeUnit.NANOSECONDS);
  }

  @Override
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    AtomicBoolean cancelled = new AtomicBoolean();
    Runnable unlessCancelled =
        () -> {
          if (!cancelled.get()) {
            task.run();
          }
        };
    Cancellable timer = delegate.schedule(() -> runOrHold(unlessCancelled), delay, unit);
    return () -> {
      cancelled.set(true);
      timer.cancel();
    };
  }

  private void runOrHold(Runnable task) {
    if (frozen) {
      due.add(task);
    } else {
      task.run();
    }
  }
}
