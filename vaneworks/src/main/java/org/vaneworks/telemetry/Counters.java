package org.vaneworks.telemetry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The node's counters and timers; docs/METRICS.md lists them.
 *
 * <p>Meters are cached, because each lookup in a {@link MeterRegistry} builds the meter's name and
 * tags again. Thread-safe.
 */
public final class Counters {
  /**
   * Upper bounds of the histograms' buckets; they are close together around the objectives for the
   * time to the first token.
   */
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(5),
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(75),
    Duration.ofMillis(100),
    Duration.ofMillis(150),
    Duration.ofMillis(250),
    Duration.ofMillis(350),
    Duration.ofMillis(500),
    Duration.ofMillis(750),
    Duration.ofMillis(1000),
    Duration.ofMillis(2000),
    Duration.ofMillis(5000),
    Duration.ofMillis(20_000)
  };

  private record CounterKey(Metric metric, String reason) {
    // Written out: the generated methods of a record are linked through method handles, whose
    // classes the JVM has to generate at each start.

    @Override
    public boolean equals(Object other) {
      return other instanceof CounterKey that
          && metric == that.metric
          && reason.equals(that.reason);
    }

    @Override
    public int hashCode() {
      return 31 * metric.hashCode() + reason.hashCode();
    }
  }

  private final MeterRegistry registry;
  private final Map<CounterKey, Counter> counters = new ConcurrentHashMap<>();
  private final Map<Metric, Timer> timers = new ConcurrentHashMap<>();

  private Counters(MeterRegistry registry) {
    this.registry = checkNotNull(registry);
  }

  /** Returns counters that register their meters with the given registry. */
  public static Counters in(MeterRegistry registry) {
    return new Counters(registry);
  }

  /** Adds one to the metric's counter for a reason. */
  public void count(Metric metric, String reason) {
    add(metric, reason, 1);
  }

  /** Adds an amount to the metric's counter for a reason. */
  public void add(Metric metric, String reason, double amount) {
    counter(metric, reason).increment(amount);
  }

  /** Records a duration in the metric's timer. */
  public void record(Metric metric, Duration duration) {
    timers.computeIfAbsent(metric, this::timer).record(duration);
  }

  /** Returns the current value of the metric's counter for a reason; 0 if never incremented. */
  public double value(Metric metric, String reason) {
    return counter(metric, reason).count();
  }

  /** Returns how many durations were recorded in the metric's timer. */
  public long timingCount(Metric metric) {
    return timers.computeIfAbsent(metric, this::timer).count();
  }

  private Counter counter(Metric metric, String reason) {
    return counters.computeIfAbsent(
        new CounterKey(metric, reason),
        key -> registry.counter(metric.meter(), "reason", key.reason()));
  }

  private Timer timer(Metric metric) {
    return Timer.builder(metric.meter())
        .description(metric.text())
        .serviceLevelObjectives(BUCKETS)
        .register(registry);
  }
}
