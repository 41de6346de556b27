package org.vaneworks.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * An executor whose clock is paused and advances only on request.
 *
 * <p>Tasks run on the thread that advances the clock, ordered by due time and then by submission,
 * so execution is deterministic. A test can also simulate a stalled thread, which runs due tasks
 * late. Not thread-safe.
 */
public final class PausedExecutor implements Executor {
  private static final long MAX_TASKS_PER_INSTANT = 1_000_000;

  private static final class Task {
    private final long at;
    private final boolean arrival;
    private final long order;
    private Runnable work;

    Task(long at, boolean arrival, long order, Runnable work) {
      this.at = at;
      this.arrival = arrival;
      this.order = order;
      this.work = work;
    }

    long at() {
      return at;
    }

    boolean arrival() {
      return arrival;
    }

    long order() {
      return order;
    }

    Task postponedTo(long later) {
      return new Task(later, arrival, order, () -> work.run());
    }

    /** Cancelled tasks stay in the queue until they are due, because removal takes linear time. */
    void cancel() {
      work = () -> {};
    }
  }

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::at)
              .thenComparing(Task::arrival)
              .thenComparingLong(Task::order));
  private long now;
  private long order;

  private PausedExecutor() {}

  /** Returns an executor whose clock starts at 0. */
  public static PausedExecutor create() {
    return new PausedExecutor();
  }

  @Override
  public long currentTime(TimeUnit unit) {
    return unit.convert(now, TimeUnit.NANOSECONDS);
  }

  @Override
  public Cancellable execute(Runnable task) {
    return schedule(task, 0, TimeUnit.NANOSECONDS);
  }

  @Override
  public Cancellable schedule(Runnable work, long delay, TimeUnit unit) {
    return add(work, false, unit.toNanos(delay));
  }

  /**
   * Schedules a task that simulates data arriving on a socket after a delay.
   *
   * <p>If the thread is stalled when the data arrives, the task runs after all timers that became
   * due during the stall.
   */
  public Cancellable deliver(Runnable arrival, Duration delay) {
    return add(arrival, true, delay.toNanos());
  }

  private Cancellable add(Runnable work, boolean arrival, long delayNanos) {
    checkArgument(delayNanos >= 0, "delay must not be negative: %s", delayNanos);
    Task task = new Task(now + delayNanos, arrival, order++, work);
    tasks.add(task);
    return task::cancel;
  }

  /** Runs all tasks that are due at the current time. */
  public void runDue() {
    advance(Duration.ZERO);
  }

  /** Advances the clock and runs each task at its due time. */
  public void advance(Duration by) {
    checkArgument(!by.isNegative(), "by must not be negative: %s", by);
    long until = now + by.toNanos();
    long tasksAtThisInstant = 0;
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      Task task = tasks.poll();
      tasksAtThisInstant = task.at() == now ? tasksAtThisInstant + 1 : 0;
      checkArgument(
          tasksAtThisInstant < MAX_TASKS_PER_INSTANT, "endless loop of tasks at %s ns", now);
      now = Math.max(now, task.at());
      task.work.run();
    }
    now = until;
  }

  /**
   * Advances the clock while the thread is stalled.
   *
   * <p>Afterwards, all timers that became due run late in their order, followed by the data that
   * arrived in the meantime. An event loop that was blocked while reading its sockets resumes in
   * this order.
   */
  public void stall(Duration by) {
    checkArgument(!by.isNegative(), "by must not be negative: %s", by);
    now += by.toNanos();
    List<Task> delayedArrivals =
        tasks.stream().filter(task -> task.arrival() && task.at() < now).toList();
    tasks.removeAll(delayedArrivals);
    delayedArrivals.forEach(task -> tasks.add(task.postponedTo(now)));
    runDue();
  }

  /**
   * Advances the clock from task to task until a condition holds or a timeout elapses.
   *
   * @return whether the condition holds
   */
  public boolean advanceUntil(BooleanSupplier condition, Duration timeout) {
    long until = now + timeout.toNanos();
    while (!condition.getAsBoolean() && now < until) {
      long next = tasks.isEmpty() ? until : Math.min(until, Math.max(now, tasks.peek().at()));
      advance(Duration.ofNanos(next - now));
    }
    return condition.getAsBoolean();
  }
}
