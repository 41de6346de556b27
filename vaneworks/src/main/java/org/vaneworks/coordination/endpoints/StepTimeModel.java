package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Learns how an engine's step time grows with the number of sessions that it runs.
 *
 * <p>Fits {@code time = a + b * running} by least squares with exponentially decaying weights, so
 * the model follows an engine or a link that degrades. Updates and predictions take constant time.
 * Not thread-safe; guarded by {@link EndpointState} or {@link StepTimesByKind}.
 */
final class StepTimeModel {
  /**
   * Factor by which the weight of past observations decays with each new one; the effective window
   * is about 60 observations.
   */
  private static final double DECAY = 1 - 1.0 / 60;

  /** Minimum number of observations for a reliable prediction. */
  private static final int MIN_OBSERVATIONS = 8;

  /**
   * Assumed growth per session, as a share of the mean, while the number of sessions hardly varies.
   */
  private static final double ASSUMED_GROWTH = 0.03;

  /** Variance of {@code running} below which a slope cannot be distinguished from noise. */
  private static final double MIN_VARIANCE = 0.5;

  /** Share of step times that should lie below the tail. */
  private static final double TAIL_SHARE = 0.95;

  /** Step by which one observation moves the tail, as a share of the mean step time. */
  private static final double TAIL_STEP = 0.1;

  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double deviation;
  private double tail;
  private int observations;

  /** Records the time in milliseconds of one step that ran with {@code running} sessions. */
  void observe(double running, double millis) {
    checkArgument(millis >= 0, "step time must not be negative: %s", millis);
    if (observations > 0) {
      double error = Math.abs(millis - predict(running));
      deviation = DECAY * deviation + (1 - DECAY) * error;
      observeTail(millis - predict(running));
    }
    weight = DECAY * weight + 1;
    sumX = DECAY * sumX + running;
    sumY = DECAY * sumY + millis;
    sumXx = DECAY * sumXx + running * running;
    sumXy = DECAY * sumXy + running * millis;
    observations++;
  }

  /** Returns the expected time in milliseconds of a step with {@code running} sessions. */
  double predict(double running) {
    if (weight == 0) {
      return 0;
    }
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    double predicted = meanY + slope(meanX, meanY) * (running - meanX);
    return Math.max(predicted, meanY * ASSUMED_GROWTH);
  }

  private double slope(double meanX, double meanY) {
    double variance = sumXx / weight - meanX * meanX;
    if (variance < MIN_VARIANCE) {
      return meanY * ASSUMED_GROWTH;
    }
    double covariance = sumXy / weight - meanX * meanY;
    return Math.max(0, covariance / variance);
  }

  /** Raises the tail by a large step if it was exceeded and lowers it by a small step otherwise. */
  private void observeTail(double excess) {
    double step = TAIL_STEP * sumY / weight;
    tail = Math.max(0, tail + step * (excess > tail ? TAIL_SHARE : TAIL_SHARE - 1));
  }

  /**
   * Returns the margin above the prediction, in milliseconds, that 95% of step times do not exceed.
   */
  double tail() {
    return tail;
  }

  /** Returns the exponentially weighted mean of the prediction error, in milliseconds. */
  double deviation() {
    return deviation;
  }

  /** Returns whether there are enough observations to rely on the prediction. */
  boolean isTrusted() {
    return observations >= MIN_OBSERVATIONS;
  }
}
