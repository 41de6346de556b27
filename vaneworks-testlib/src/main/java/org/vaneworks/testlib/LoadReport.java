package org.vaneworks.testlib;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.vaneworks.coordination.pipeline.AnswerSink;
import org.vaneworks.protocol.Json;
import org.vaneworks.state.Refusal;

/**
 * Measures the answers that callers receive under load.
 *
 * <p>Times are measured from the scheduled time of a request, not from the time it was sent;
 * otherwise, a stall that delays the sending of requests would not show (coordinated omission).
 *
 * <p>A request counts towards goodput if its answer is complete, the first token arrived within its
 * bound, and at least 95% of the tokens arrived within the bound between tokens. Thread-safe.
 */
public final class LoadReport {
  private static final long MAX_MICROS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MIN_SHARE_IN_TIME = 0.95;

  private final long firstBound;
  private final long betweenBound;
  private final LongSupplier nanoClock;

  @GuardedBy("this")
  private final Histogram firstTokenTimes = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  @GuardedBy("this")
  private final Histogram betweenTokenTimes = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  @GuardedBy("this")
  private final Map<String, Integer> failures = new TreeMap<>();

  @GuardedBy("this")
  private final Map<Integer, int[]> sentAndGoodByWorkspace = new TreeMap<>();

  @GuardedBy("this")
  private int sentCount;

  @GuardedBy("this")
  private int completeCount;

  @GuardedBy("this")
  private int goodCount;

  @GuardedBy("this")
  private long goodTokens;

  private LoadReport(Duration firstBound, Duration betweenBound, LongSupplier nanoClock) {
    this.firstBound = firstBound.toNanos();
    this.betweenBound = betweenBound.toNanos();
    this.nanoClock = nanoClock;
  }

  /** Returns an empty report. */
  public static LoadReport create(
      Duration firstBound, Duration betweenBound, LongSupplier nanoClock) {
    return new LoadReport(firstBound, betweenBound, nanoClock);
  }

  /**
   * Returns a sink that measures one answer.
   *
   * @param dueNanos scheduled time of the request
   */
  public AnswerSink measure(int workspace, long dueNanos) {
    synchronized (this) {
      sentCount++;
      sentAndGoodByWorkspace.computeIfAbsent(workspace, key -> new int[2])[0]++;
    }
    return new MeasuringSink(workspace, dueNanos);
  }

  private final class MeasuringSink implements AnswerSink {
    private final int workspace;
    private final long due;
    private long last = -1;
    private int tokens;
    private int late;
    private boolean firstInTime;

    MeasuringSink(int workspace, long due) {
      this.workspace = workspace;
      this.due = due;
    }

    @Override
    public void token(String text) {
      long now = nanoClock.getAsLong();
      synchronized (LoadReport.this) {
        if (tokens == 0) {
          firstInTime = now - due <= firstBound;
          firstTokenTimes.recordValue(micros(now - due));
        } else {
          late += now - last > betweenBound ? 1 : 0;
          betweenTokenTimes.recordValue(micros(now - last));
        }
      }
      tokens++;
      last = now;
    }

    @Override
    public void complete() {
      boolean paceMet = late <= (1 - MIN_SHARE_IN_TIME) * tokens;
      synchronized (LoadReport.this) {
        completeCount++;
        if (firstInTime && paceMet) {
          goodCount++;
          goodTokens += tokens;
          sentAndGoodByWorkspace.get(workspace)[1]++;
        }
      }
    }

    @Override
    public void failed(Refusal refusal) {
      synchronized (LoadReport.this) {
        failures.merge(refusal.reason().code() + "/" + refusal.verdict().name(), 1, Integer::sum);
      }
    }
  }

  private static long micros(long nanos) {
    return Math.min(MAX_MICROS, Math.max(0, nanos / 1000));
  }

  /** Returns the number of requests that met their bounds. */
  public synchronized int goodCount() {
    return goodCount;
  }

  /** Returns the number of requests sent. */
  public synchronized int sentCount() {
    return sentCount;
  }

  /** Returns the share of a workspace's requests that met their bounds. */
  public synchronized double goodShare(int workspace) {
    int[] counts = sentAndGoodByWorkspace.getOrDefault(workspace, new int[2]);
    return counts[0] == 0 ? 0 : (double) counts[1] / counts[0];
  }

  /** Returns the results as JSON. */
  public synchronized ObjectNode toJson() {
    ObjectNode node =
        Json.object()
            .put("asked", sentCount)
            .put("whole", completeCount)
            .put("good", goodCount)
            .put("goodTokens", goodTokens);
    addTimes(node, "first", firstTokenTimes);
    addTimes(node, "between", betweenTokenTimes);
    ObjectNode refused = node.putObject("failures");
    failures.forEach(refused::put);
    ObjectNode shares = node.putObject("goodShareByWorkspace");
    sentAndGoodByWorkspace
        .keySet()
        .forEach(workspace -> shares.put(Integer.toString(workspace), goodShare(workspace)));
    return node;
  }

  private static void addTimes(ObjectNode node, String name, Histogram times) {
    node.put(name + "P50Ms", times.getValueAtPercentile(50) / 1000.0);
    node.put(name + "P95Ms", times.getValueAtPercentile(95) / 1000.0);
    node.put(name + "P99Ms", times.getValueAtPercentile(99) / 1000.0);
  }

  /** Returns the results as one line of text. */
  public synchronized String toLine() {
    return String.format(
        Locale.ROOT,
        "asked %5d whole %5d good %5d first p50/p95/p99 %4d/%5d/%5d ms between %3d/%4d/%4d ms %s",
        sentCount,
        completeCount,
        goodCount,
        firstTokenTimes.getValueAtPercentile(50) / 1000,
        firstTokenTimes.getValueAtPercentile(95) / 1000,
        firstTokenTimes.getValueAtPercentile(99) / 1000,
        betweenTokenTimes.getValueAtPercentile(50) / 1000,
        betweenTokenTimes.getValueAtPercentile(95) / 1000,
        betweenTokenTimes.getValueAtPercentile(99) / 1000,
        failures);
  }
}
