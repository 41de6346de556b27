package org.vaneworks.coordination;

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

  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private double deviation;
  private int observations;

  /** Takes one step's time in milliseconds, made beside {@code running} sessions. */
  void observe(double running, double millis) {
    checkArgument(millis >= 0, "step time must not be negative: %s", millis);
    if (observations > 0) {
      double error = Math.abs(millis - predict(running));
      deviation = FADE * deviation + (1 - FADE) * error;
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

  /** Returns the fading mean of the prediction's error, in milliseconds. */
  double deviation() {
    return deviation;
  }

  /** Returns whether enough was observed to rely on the prediction. */
  boolean isTrusted() {
    return observations >= TRUSTED;
  }
}
