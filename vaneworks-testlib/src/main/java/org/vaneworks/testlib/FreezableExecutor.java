package org.vaneworks.testlib;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The executor of one simulated process. It can be frozen, as SIGSTOP does, while its clock
 * continues.
 *
 * <p>Tasks that become due while it is frozen run after it is thawed. Intended for a {@link
 * PausedExecutor}; not thread-safe.
 */
final class FreezableExecutor implements Executor {
  private final Executor delegate;
  private final List<Runnable> dueWhileFrozen = new ArrayList<>();
  private boolean frozen;

  FreezableExecutor(Executor delegate) {
    this.delegate = delegate;
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
    List<Runnable> tasks = new ArrayList<>(dueWhileFrozen);
    dueWhileFrozen.clear();
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
    Cancellable timer = delegate.schedule(() -> runOrQueue(unlessCancelled), delay, unit);
    return () -> {
      cancelled.set(true);
      timer.cancel();
    };
  }

  private void runOrQueue(Runnable task) {
    if (frozen) {
      dueWhileFrozen.add(task);
    } else {
      task.run();
    }
  }
}
