package org.vaneworks.coordination.admission;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.servicetalk.concurrent.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An adaptive limit on a node's concurrent streams of one model, driven by the observed time
 * between tokens.
 *
 * <p>Predicted latencies are biased: reports lag, other nodes admit requests at the same time,
 * prompts stall the batches that they join, and the route with the lowest predicted cost tends to
 * be the one whose cost is most underestimated. This limit uses no predictions. It decreases
 * multiplicatively while too many tokens are late, and increases slowly while they are not and the
 * limit delays requests. Thread-safe.
 */
public final class ConcurrencyLimit {
  /** Fraction of tokens that may be late; slightly below the 5 % that the contract allows. */
  private static final double MAX_LATE_FRACTION = 0.045;

  private static final double DECREASE_FACTOR = 0.93;
  private static final double INCREASE_FRACTION = 0.03;

  /** Fraction of the limit open to workspaces over their share; the rest is kept for others. */
  private static final double SHARED_FRACTION = 0.85;

  private static final double INITIAL_LIMIT = 16;
  private static final double MIN_LIMIT = 1;

  /** Both the number of tokens and the duration must be reached before the limit changes. */
  private static final int MIN_WINDOW_TOKENS = 100;

  private static final Duration MIN_WINDOW = Duration.ofMillis(500);

  private final TimeSource clock;
  private final boolean unlimited;

  @GuardedBy("this")
  private double limit = INITIAL_LIMIT;

  @GuardedBy("this")
  private boolean limited;

  @GuardedBy("this")
  private int tokens;

  @GuardedBy("this")
  private int lateTokens;

  @GuardedBy("this")
  private long windowStart;

  private ConcurrencyLimit(TimeSource clock, boolean unlimited) {
    this.clock = clock;
    this.unlimited = unlimited;
    this.windowStart = clock.currentTime(NANOSECONDS);
  }

  /**
   * Returns whether one more stream may start.
   *
   * @param inFlight number of streams of the model on this node
   * @param ownInFlight number of streams of the requesting workspace
   * @param ownShare the weighted share of the requesting workspace, 0 to 1
   */
  synchronized boolean allows(int inFlight, int ownInFlight, double ownShare) {
    boolean withinShare = ownInFlight < limit * ownShare;
    double effectiveLimit = withinShare ? limit : limit * SHARED_FRACTION;
    boolean allowed = unlimited || inFlight < effectiveLimit;
    limited |= !allowed;
    return allowed;
  }

  /**
   * Records a token.
   *
   * @param isLate whether it missed its bound on the time between tokens
   * @param inFlight number of streams of the model on this node
   */
  synchronized void observe(boolean isLate, int inFlight) {
    tokens++;
    lateTokens += isLate ? 1 : 0;
    boolean windowElapsed = clock.currentTime(NANOSECONDS) - windowStart >= MIN_WINDOW.toNanos();
    if (tokens < MIN_WINDOW_TOKENS || !windowElapsed) {
      return;
    }
    if (lateTokens > MAX_LATE_FRACTION * tokens) {
      limit = Math.max(MIN_LIMIT, Math.min(limit, inFlight) * DECREASE_FACTOR);
    } else if (limited) {
      limit += Math.max(1, limit * INCREASE_FRACTION);
    }
    tokens = 0;
    lateTokens = 0;
    limited = false;
    windowStart = clock.currentTime(NANOSECONDS);
  }

  /** The limits of all models, created on first use. Thread-safe. */
  public static final class Table {
    private final TimeSource clock;
    private final boolean unlimited;
    private final Map<String, ConcurrencyLimit> limits = new ConcurrentHashMap<>();

    private Table(TimeSource clock, boolean unlimited) {
      this.clock = clock;
      this.unlimited = unlimited;
    }

    /** Returns a table of limits that adapt to the observed time between tokens. */
    public static Table adaptive(TimeSource clock) {
      return new Table(clock, false);
    }

    /** Returns a table of limits that allow every stream. */
    public static Table unlimited(TimeSource clock) {
      return new Table(clock, true);
    }

    /** Returns the limit of the model. */
    ConcurrencyLimit of(String model) {
      return limits.computeIfAbsent(model, name -> new ConcurrencyLimit(clock, unlimited));
    }
  }
}
