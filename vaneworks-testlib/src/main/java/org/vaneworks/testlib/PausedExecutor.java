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
 * An executor whose clock stands still until a test advances it.
 *
 * <p>Tasks run on the thread that advances the clock, in order of time, then of submission, so a
 * run is the same every time. A test can also let the thread stand still, after which tasks run
 * late. Not for use by several threads.
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

    Task readAt(long later) {
      return new Task(later, arrival, order, () -> work.run());
    }

    /** Cancelled tasks stay queued until their time: removing them would take linear time. */
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

  /** Returns an executor whose clock stands at 0. */
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
   * Runs what arrives on a socket after the delay.
   *
   * <p>What arrives while the thread stands still is read only after the tasks that came due.
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

  /** Runs everything that is due now. */
  public void runDue() {
    advance(Duration.ZERO);
  }

  /** Moves the clock on, running each task at its time. */
  public void advance(Duration by) {
    checkArgument(!by.isNegative(), "by must not be negative: %s", by);
    long until = now + by.toNanos();
    long atThisInstant = 0;
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      Task task = tasks.poll();
      atThisInstant = task.at() == now ? atThisInstant + 1 : 0;
      checkArgument(atThisInstant < MAX_TASKS_PER_INSTANT, "tasks keep starting tasks at %s", now);
      now = Math.max(now, task.at());
      task.work.run();
    }
    now = until;
  }

  /**
   * Moves the clock on while the thread does something else.
   *
   * <p>Then it runs the tasks that came due, late and in their order, and after them it reads what
   * has arrived: an event loop that was held up while it read its sockets goes on so.
   */
  public void standStill(Duration by) {
    checkArgument(!by.isNegative(), "by must not be negative: %s", by);
    now += by.toNanos();
    List<Task> unread = tasks.stream().filter(task -> task.arrival() && task.at() < now).toList();
    tasks.removeAll(unread);
    unread.forEach(task -> tasks.add(task.readAt(now)));
    runDue();
  }

  /** Moves the clock on in small steps until the condition holds; returns whether it does. */
  public boolean advanceUntil(BooleanSupplier condition, Duration atMost) {
    long until = now + atMost.toNanos();
    while (!condition.getAsBoolean() && now < until) {
      long next = tasks.isEmpty() ? until : Math.min(until, Math.max(now, tasks.peek().at()));
      advance(Duration.ofNanos(next - now));
    }
    return condition.getAsBoolean();
  }
}
