package org.vaneworks.coordination.admission;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits a node's streams of one model by the pace that callers really get.
 *
 * <p>Predictions are biased: reports lag, other nodes admit at the same moment, prompts stall the
 * batches that they join, and of many routes the one that looks best is the one whose price is most
 * underestimated. The limit needs no prediction: it falls by a share while too many tokens are late
 * and rises by little while they are not and the limit is what holds requests back. Thread-safe.
 */
public final class PaceLimit {
  /** Share of tokens that may be late: a little under the contract's 5 in 100. */
  private static final double LATE_SHARE = 0.045;

  private static final double FALL = 0.93;
  private static final double RISE = 0.03;

  /** Part of the limit that workspaces over their share may fill; the rest is for the others. */
  private static final double OPEN_TO_ALL = 0.85;

  private static final double FIRST = 16;
  private static final double LEAST = 1;
  private static final int WINDOW_TOKENS = 100;
  private static final Duration WINDOW = Duration.ofMillis(500);

  private final TimeSource clock;
  private final boolean unlimited;

  @GuardedBy("this")
  private double limit = FIRST;

  @GuardedBy("this")
  private boolean reached;

  @GuardedBy("this")
  private int tokens;

  @GuardedBy("this")
  private int late;

  @GuardedBy("this")
  private long windowBegan;

  private PaceLimit(TimeSource clock, boolean unlimited) {
    this.clock = clock;
    this.unlimited = unlimited;
    this.windowBegan = clock.currentTime(NANOSECONDS);
  }

  /**
   * Returns whether one more stream may start.
   *
   * @param inFlight the node's streams of the model
   * @param ownInFlight those of the workspace that asks
   * @param ownShare the share of the streams that is the workspace's by its weight, 0 to 1
   */
  synchronized boolean allows(int inFlight, int ownInFlight, double ownShare) {
    boolean withinShare = ownInFlight < limit * ownShare;
    double open = withinShare ? limit : limit * OPEN_TO_ALL;
    boolean allowed = unlimited || inFlight < open;
    reached |= !allowed;
    return allowed;
  }

  /** Takes whether a token came within its bound, beside that many streams in flight. */
  synchronized void observe(boolean isLate, int inFlight) {
    tokens++;
    late += isLate ? 1 : 0;
    boolean windowOver = clock.currentTime(NANOSECONDS) - windowBegan >= WINDOW.toNanos();
    if (tokens < WINDOW_TOKENS || !windowOver) {
      return;
    }
    if (late > LATE_SHARE * tokens) {
      limit = Math.max(LEAST, Math.min(limit, inFlight) * FALL);
    } else if (reached) {
      limit += Math.max(1, limit * RISE);
    }
    tokens = 0;
    late = 0;
    reached = false;
    windowBegan = clock.currentTime(NANOSECONDS);
  }

  /** The limits of all models. Thread-safe. */
  public static final class Table {
    private final TimeSource clock;
    private final boolean unlimited;
    private final Map<String, PaceLimit> limits = new ConcurrentHashMap<>();

    private Table(TimeSource clock, boolean unlimited) {
      this.clock = clock;
      this.unlimited = unlimited;
    }

    /** Returns limits that follow the pace. */
    public static Table adaptive(TimeSource clock) {
      return new Table(clock, false);
    }

    /** Returns limits that never hold anything back. */
    public static Table unlimited(TimeSource clock) {
      return new Table(clock, true);
    }

    /** Returns the limit of a model. */
    PaceLimit of(String model) {
      return limits.computeIfAbsent(model, name -> new PaceLimit(clock, unlimited));
    }
  }
}
