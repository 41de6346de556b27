package org.vaneworks.telemetry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;

/** The node's counters and timers; docs/METRICS.md lists them. */
public final class Counters {
  private final MeterRegistry registry;

  private Counters(MeterRegistry registry) {
    this.registry = checkNotNull(registry);
  }

  /** Returns counters kept in the registry. */
  public static Counters in(MeterRegistry registry) {
    return new Counters(registry);
  }

  /** Adds one to a counter with a reason. */
  public void count(Metric metric, String reason) {
    add(metric, reason, 1);
  }

  /** Adds to a counter with a reason. */
  public void add(Metric metric, String reason, double amount) {
    registry.counter(metric.meter(), "reason", reason).increment(amount);
  }

  /** Records a duration. */
  public void record(Metric metric, Duration duration) {
    registry.timer(metric.meter()).record(duration);
  }

  /** Returns the present value of a counter, 0 if it was never raised. */
  public double value(Metric metric, String reason) {
    return registry.counter(metric.meter(), "reason", reason).count();
  }
}
