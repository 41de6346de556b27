package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The service time of one replica of a plain service, as a decaying mean of what this node
 * measured.
 *
 * <p>A sample is a response time divided by the number of rounds in which the replica serves the
 * requests that shared it, see {@link TrackedEndpoint#rounds}. So a replica with many requests does
 * not count as slow because of them. Times are in nanoseconds on the node's clock. Confined to the
 * node's event loop.
 */
public final class ReplicaPace {
  /** Samples lose their weight within this time, so that a replica is measured again. */
  private static final double TIME_CONSTANT_NANOS = 30e9;

  /** Maximum weight of previous samples, so that the mean follows a change at any rate. */
  private static final double MAX_SAMPLES = 100;

  /**
   * Fraction of the mean below which a sample suggests that a slow replica has recovered. Of
   * exponentially distributed times 1 % are below it three times in succession.
   */
  private static final double RECOVERY_FRACTION = 0.25;

  private static final int RECOVERY_SAMPLES = 3;

  private double meanNanos;
  private double atLeastNanos;
  private double samples;
  private int fastSamples;
  private double fastNanos;
  private long updatedAt;

  ReplicaPace() {}

  /**
   * Records the service time of a request that was answered.
   *
   * @param slow whether the replica counted as slow, so that a few fast answers show its recovery;
   *     at others these occur by chance
   */
  void record(double serviceNanos, boolean slow, long now) {
    checkArgument(serviceNanos >= 0, "service time must not be negative: %s", serviceNanos);
    double previousSamples = samples(now);
    addToFastSamples(serviceNanos, slow);
    if (fastSamples >= RECOVERY_SAMPLES) {
      meanNanos = fastNanos / fastSamples;
      samples = fastSamples;
      clearFastSamples();
    } else {
      samples = Math.min(previousSamples + 1, MAX_SAMPLES);
      meanNanos += (serviceNanos - meanNanos) / samples;
    }
    atLeastNanos = 0;
    updatedAt = now;
  }

  /**
   * Records a request that ended without an answer, for example because its caller has left. The
   * service time would have been longer than the given one.
   */
  void recordUnfinished(double serviceNanos, long now) {
    if (samples(now) < 1) {
      atLeastNanos = Math.max(atLeastNanos(now), serviceNanos);
      updatedAt = now;
    } else if (serviceNanos > meanNanos) {
      record(serviceNanos, false, now);
    }
  }

  private void addToFastSamples(double serviceNanos, boolean slow) {
    if (slow && serviceNanos < RECOVERY_FRACTION * meanNanos) {
      fastSamples++;
      fastNanos += serviceNanos;
    } else {
      clearFastSamples();
    }
  }

  private void clearFastSamples() {
    fastSamples = 0;
    fastNanos = 0;
  }

  /** Returns the mean service time; zero if nothing was measured. */
  public double meanNanos() {
    return meanNanos;
  }

  /** Returns the number of samples that the mean is worth, which decreases with their age. */
  public double samples(long now) {
    return samples * remainingWeight(now);
  }

  /**
   * Returns a lower bound of the service time if there are no samples; zero if nothing is known. It
   * covers a replica that is so slow that no caller waits for its answers.
   */
  public double atLeastNanos(long now) {
    return atLeastNanos * remainingWeight(now);
  }

  private double remainingWeight(long now) {
    return Math.exp(-(now - updatedAt) / TIME_CONSTANT_NANOS);
  }

  /** Returns whether the latest request was so fast that the replica may have recovered. */
  public boolean mayHaveRecovered() {
    return fastSamples > 0;
  }

  /** Returns the time since the latest measurement. */
  public Duration age(long now) {
    return Duration.ofNanos(now - updatedAt);
  }
}
