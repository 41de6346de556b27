package org.vaneworks.daemon.entry;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * One node's event loop, on a clock that all nodes share, which tests can stall.
 *
 * <p>After a stall, timers that came due in the meantime run before messages that arrived in the
 * meantime are read.
 */
final class SimulatedEventLoop implements Executor {
  private final Executor clock;
  private final Queue<Runnable> received = new ArrayDeque<>();
  private long stalledUntilNanos;
  private long totalStalledNanos;
  private boolean stopped;

  SimulatedEventLoop(Executor clock) {
    this.clock = clock;
  }

  /** Stalls the event loop for a time; overlapping stalls don't add up. */
  void stall(int millis) {
    long until = now() + TimeUnit.MILLISECONDS.toNanos(millis);
    totalStalledNanos += Math.max(0, until - Math.max(stalledUntilNanos, now()));
    stalledUntilNanos = Math.max(stalledUntilNanos, until);
  }

  /** Returns the total time of all stalls, including the rest of the current one. */
  long stalledMillis() {
    return TimeUnit.NANOSECONDS.toMillis(totalStalledNanos);
  }

  /** Stops the event loop: it runs nothing more. */
  void stop() {
    stopped = true;
    received.clear();
  }

  /** Handles a message from the network, in the order of arrival. */
  void receive(Runnable task) {
    if (stopped) {
      return;
    }
    if (received.isEmpty() && !isStalled()) {
      task.run();
      return;
    }
    received.add(task);
    if (received.size() == 1) {
      scheduleRead();
    }
  }

  private void scheduleRead() {
    // One nanosecond after the delayed timers.
    clock.schedule(this::readReceived, stalledUntilNanos + 1 - now(), TimeUnit.NANOSECONDS);
  }

  private void readReceived() {
    while (!received.isEmpty()) {
      if (isStalled()) {
        scheduleRead();
        return;
      }
      received.peek().run();
      received.poll();
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
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    Timer timer = new Timer(task);
    clock.schedule(timer, delay, unit);
    return timer;
  }

  /** A timer that waits for its time, and then for the end of a stall. */
  private final class Timer implements Runnable, Cancellable {
    private Runnable task;

    Timer(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (stopped) {
        return;
      }
      if (isStalled()) {
        clock.schedule(this, stalledUntilNanos - now(), TimeUnit.NANOSECONDS);
      } else {
        task.run();
      }
    }

    @Override
    public void cancel() {
      task = () -> {};
    }
  }

  private boolean isStalled() {
    return now() < stalledUntilNanos;
  }

  private long now() {
    return clock.currentTime(TimeUnit.NANOSECONDS);
  }
}
