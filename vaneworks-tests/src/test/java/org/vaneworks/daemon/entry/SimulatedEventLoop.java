package org.vaneworks.daemon.entry;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * One node's event loop over a clock that nodes share; it may stand still for a time.
 *
 * <p>Once it goes on, the timers that came due meanwhile run before what arrived meanwhile is read.
 */
final class SimulatedEventLoop implements Executor {
  private final Executor clock;
  private final Queue<Runnable> arrived = new ArrayDeque<>();
  private long stillUntilNanos;
  private long stoodStillNanos;
  private boolean ended;

  SimulatedEventLoop(Executor clock) {
    this.clock = clock;
  }

  /** Runs nothing of the node for a time. */
  void standStill(int millis) {
    long until = now() + TimeUnit.MILLISECONDS.toNanos(millis);
    stoodStillNanos += Math.max(0, until - Math.max(stillUntilNanos, now()));
    stillUntilNanos = Math.max(stillUntilNanos, until);
  }

  /** Returns for how long it has stood still, or will have after the present time. */
  long stoodStillMillis() {
    return TimeUnit.NANOSECONDS.toMillis(stoodStillNanos);
  }

  /** Runs nothing of the node any more. */
  void end() {
    ended = true;
    arrived.clear();
  }

  /** Hands something over that came over the network, in the order in which it came. */
  void arrive(Runnable work) {
    if (ended) {
      return;
    }
    if (arrived.isEmpty() && !standsStill()) {
      work.run();
      return;
    }
    arrived.add(work);
    if (arrived.size() == 1) {
      readLater();
    }
  }

  private void readLater() {
    // One nanosecond later than the timers that were held up.
    clock.schedule(this::readArrived, stillUntilNanos + 1 - now(), TimeUnit.NANOSECONDS);
  }

  private void readArrived() {
    while (!arrived.isEmpty()) {
      if (standsStill()) {
        readLater();
        return;
      }
      arrived.peek().run();
      arrived.poll();
    }
  }

  @Override
  public long currentTime(TimeUnit unit) {
    return clock.currentTime(unit);
  }

  @Override
  public Cancellable execute(Runnable task) {
    return schedule(task, 0, TimeUnit.NANOSECONDS);
  }

  @Override
  public Cancellable schedule(Runnable work, long delay, TimeUnit unit) {
    Timer timer = new Timer(work);
    clock.schedule(timer, delay, unit);
    return timer;
  }

  /** Work that waits for its time, and then for the node. */
  private final class Timer implements Runnable, Cancellable {
    private Runnable work;

    Timer(Runnable work) {
      this.work = work;
    }

    @Override
    public void run() {
      if (ended) {
        return;
      }
      if (standsStill()) {
        clock.schedule(this, stillUntilNanos - now(), TimeUnit.NANOSECONDS);
      } else {
        work.run();
      }
    }

    @Override
    public void cancel() {
      work = () -> {};
    }
  }

  private boolean standsStill() {
    return now() < stillUntilNanos;
  }

  private long now() {
    return clock.currentTime(TimeUnit.NANOSECONDS);
  }
}
