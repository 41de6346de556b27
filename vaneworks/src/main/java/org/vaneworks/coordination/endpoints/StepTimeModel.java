package org.vaneworks.coordination.endpoints;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Learns how an engine's step time grows with the number of sessions that it runs.
 *
 * <p>Fits {@code time = a + b * running} by least squares with exponentially fading weights, so the
 * model follows an engine or a link that degrades. Updates and predictions take constant time. Not
 * thread-safe; {@link EndpointState} guards it.
 */
final class StepTimeModel {
  /** Weight that an observation keeps when the next one arrives: about the last 60 count. */
  private static final double FADE = 1 - 1.0 / 60;

  /** Below this many observations the prediction is not to be relied on. */
  private static final int TRUSTED = 8;

  /** Assumed growth per session, as a share of the mean, while all observations look alike. */
  private static final double ASSUMED_GROWTH = 0.03;

  /** Spread of {@code running} under which a slope can't be told from noise. */
  private static final double MIN_VARIANCE = 0.5;

  /** Share of step times that the tail is to hold. */
  private static final double TAIL_SHARE = 0.95;

  /** How far one observation moves the tail, as a share of the mean step time. */
  private static final double TAIL_STEP = 0.1;

  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double deviation;
  private double tail;
  private int observations;

  /** Takes one step's time in milliseconds, made beside {@code running} sessions. */
  void observe(double running, double millis) {
    checkArgument(millis >= 0, "step time must not be negative: %s", millis);
    if (observations > 0) {
      double error = Math.abs(millis - predict(running));
      deviation = FADE * deviation + (1 - FADE) * error;
      observeTail(millis - predict(running));
    }
    weight = FADE * weight + 1;
    sumX = FADE * sumX + running;
    sumY = FADE * sumY + millis;
    sumXx = FADE * sumXx + running * running;
    sumXy = FADE * sumXy + running * millis;
    observations++;
  }

  /** Returns the expected time in milliseconds of a step beside {@code running} sessions. */
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

  /** Moves the tail up by much when it was exceeded and down by little when it was not. */
  private void observeTail(double excess) {
    double step = TAIL_STEP * sumY / weight;
    tail = Math.max(0, tail + step * (excess > tail ? TAIL_SHARE : TAIL_SHARE - 1));
  }

  /** Returns how far 95 in 100 step times stay within the prediction, in milliseconds. */
  double tail() {
    return tail;
  }

  /** Returns the fading mean of the prediction's error, in milliseconds. */
  double deviation() {
    return deviation;
  }

  /** Returns whether enough was observed to rely on the prediction. */
  boolean isTrusted() {
    return observations >= TRUSTED;
  }
}
