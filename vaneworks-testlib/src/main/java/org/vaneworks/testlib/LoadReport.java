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
 * What callers saw under a load.
 *
 * <p>Times count from when a request was due, not from when it was sent, so a stalled system can't
 * hide its stalls. A request counts towards goodput if its answer is whole, its first token came
 * within its bound and at least 95 in 100 of its tokens followed within theirs. Thread-safe.
 */
public final class LoadReport {
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final double SHARE_WITHIN = 0.95;

  private final long firstBound;
  private final long betweenBound;
  private final LongSupplier nanoClock;

  @GuardedBy("this")
  private final Histogram first = new Histogram(HIGHEST_MICROS, DIGITS);

  @GuardedBy("this")
  private final Histogram between = new Histogram(HIGHEST_MICROS, DIGITS);

  @GuardedBy("this")
  private final Map<String, Integer> failures = new TreeMap<>();

  @GuardedBy("this")
  private final Map<Integer, int[]> byWorkspace = new TreeMap<>();

  @GuardedBy("this")
  private int asked;

  @GuardedBy("this")
  private int whole;

  @GuardedBy("this")
  private int good;

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

  /** Returns the sink that measures one answer that was due at a time. */
  public AnswerSink measure(int workspace, long dueNanos) {
    synchronized (this) {
      asked++;
      byWorkspace.computeIfAbsent(workspace, w -> new int[2])[0]++;
    }
    return new Measured(workspace, dueNanos);
  }

  private final class Measured implements AnswerSink {
    private final int workspace;
    private final long due;
    private long last = -1;
    private int tokens;
    private int late;
    private boolean firstInTime;

    Measured(int workspace, long due) {
      this.workspace = workspace;
      this.due = due;
    }

    @Override
    public void token(String text) {
      long now = nanoClock.getAsLong();
      synchronized (LoadReport.this) {
        if (tokens == 0) {
          firstInTime = now - due <= firstBound;
          first.recordValue(micros(now - due));
        } else {
          late += now - last > betweenBound ? 1 : 0;
          between.recordValue(micros(now - last));
        }
      }
      tokens++;
      last = now;
    }

    @Override
    public void complete() {
      boolean paceHeld = late <= (1 - SHARE_WITHIN) * tokens;
      synchronized (LoadReport.this) {
        whole++;
        if (firstInTime && paceHeld) {
          good++;
          goodTokens += tokens;
          byWorkspace.get(workspace)[1]++;
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
    return Math.min(HIGHEST_MICROS, Math.max(0, nanos / 1000));
  }

  /** Returns how many requests kept their bounds. */
  public synchronized int good() {
    return good;
  }

  /** Returns how many requests were sent. */
  public synchronized int asked() {
    return asked;
  }

  /** Returns the share of a workspace's requests that kept their bounds. */
  public synchronized double goodShare(int workspace) {
    int[] counts = byWorkspace.getOrDefault(workspace, new int[2]);
    return counts[0] == 0 ? 0 : (double) counts[1] / counts[0];
  }

  /** Returns the figures as a document. */
  public synchronized ObjectNode toJson() {
    ObjectNode node =
        Json.object()
            .put("asked", asked)
            .put("whole", whole)
            .put("good", good)
            .put("goodTokens", goodTokens);
    addTimes(node, "first", first);
    addTimes(node, "between", between);
    ObjectNode refused = node.putObject("failures");
    failures.forEach(refused::put);
    ObjectNode shares = node.putObject("goodShareByWorkspace");
    byWorkspace.keySet().forEach(w -> shares.put(Integer.toString(w), goodShare(w)));
    return node;
  }

  private static void addTimes(ObjectNode node, String name, Histogram times) {
    node.put(name + "P50Ms", times.getValueAtPercentile(50) / 1000.0);
    node.put(name + "P95Ms", times.getValueAtPercentile(95) / 1000.0);
    node.put(name + "P99Ms", times.getValueAtPercentile(99) / 1000.0);
  }

  /** Returns the figures as one line. */
  public synchronized String toLine() {
    return String.format(
        Locale.ROOT,
        "asked %5d whole %5d good %5d first p50/p95/p99 %4d/%5d/%5d ms between %3d/%4d/%4d ms %s",
        asked,
        whole,
        good,
        first.getValueAtPercentile(50) / 1000,
        first.getValueAtPercentile(95) / 1000,
        first.getValueAtPercentile(99) / 1000,
        between.getValueAtPercentile(50) / 1000,
        between.getValueAtPercentile(95) / 1000,
        between.getValueAtPercentile(99) / 1000,
        failures);
  }
}
