package org.vaneworks.daemon.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * An appender that never blocks the logging thread, and writes lines from a thread of its own.
 *
 * <p>Lines are dropped beyond two limits: the number of lines per event and second, so that a burst
 * of one event does not displace the others, and the number of queued lines. Dropped lines are
 * counted by event, and the counts are logged about once a second. Thread-safe.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  /**
   * A loaded node refuses tens of requests per second, which stays below this limit. Lines of
   * larger bursts are only counted.
   */
  static final int MAX_LINES_PER_EVENT_AND_SECOND = 100;

  /** Queue capacity; a full queue holds about 512 KiB, at about 250 bytes per line. */
  static final int MAX_QUEUED_LINES = 2048;

  /** Lines logged within this time are written together, as each write costs a system call. */
  private static final long BATCH_MILLIS = 20;

  /** How often the writer reports dropped lines if there are no other lines to write. */
  private static final long REPORT_MILLIS = 1000;

  /** Gives the same interval if there are always lines to write. */
  private static final long WRITES_PER_REPORT = REPORT_MILLIS / BATCH_MILLIS;

  private static final long STOP_TIMEOUT_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1000;

  private final OutputStream out;
  private final ArrayBlockingQueue<ILoggingEvent> queue =
      new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final Thread writer = new Thread(this::run, "log");

  @GuardedBy("this")
  private final Map<String, Integer> linesThisSecond = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, Integer> droppedByEvent = new TreeMap<>();

  @GuardedBy("this")
  private long currentSecond;

  private BoundedAppender(OutputStream out) {
    this.out = out;
    writer.setDaemon(true);
  }

  /** Returns an appender that writes to the stream once it is started. */
  static BoundedAppender to(OutputStream out) {
    return new BoundedAppender(out);
  }

  @Override
  public void start() {
    super.start();
    writer.start();
  }

  /** Writes the queued lines, for at most half a second, and stops. */
  @Override
  public void stop() {
    finish(STOP_TIMEOUT_MILLIS);
  }

  /** Writes the queued lines and stops; returns whether it finished within the timeout. */
  @VisibleForTesting
  boolean finish(long timeoutMillis) {
    super.stop();
    writer.interrupt();
    try {
      writer.join(timeoutMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !writer.isAlive();
  }

  @Override
  protected void append(ILoggingEvent event) {
    String eventCode = LogLine.eventOf(event);
    if (!tryAcquire(eventCode, event.getTimeStamp() / MILLIS_PER_SECOND)) {
      return;
    }
    // Formats the message now, as its arguments may change before the line is written.
    event.getFormattedMessage();
    if (!queue.offer(event)) {
      recordDropped(eventCode);
    }
  }

  /** Counts a line; returns whether the event may log it in the given second of the epoch. */
  private synchronized boolean tryAcquire(String eventCode, long second) {
    if (second != currentSecond) {
      currentSecond = second;
      linesThisSecond.clear();
    }
    if (linesThisSecond.merge(eventCode, 1, Integer::sum) <= MAX_LINES_PER_EVENT_AND_SECOND) {
      return true;
    }
    recordDropped(eventCode);
    return false;
  }

  private synchronized void recordDropped(String eventCode) {
    droppedByEvent.merge(eventCode, 1, Integer::sum);
  }

  /** Returns the lines that were dropped and not yet reported, by event. */
  @VisibleForTesting
  synchronized ImmutableMap<String, Integer> unreportedDrops() {
    return ImmutableMap.copyOf(droppedByEvent);
  }

  private synchronized ImmutableMap<String, Integer> removeUnreportedDrops() {
    ImmutableMap<String, Integer> removed = ImmutableMap.copyOf(droppedByEvent);
    droppedByEvent.clear();
    return removed;
  }

  private void run() {
    int writes = 0;
    while (isStarted() || !queue.isEmpty()) {
      List<ILoggingEvent> lines = nextBatch();
      write(lines);
      writes++;
      if (lines.isEmpty() || writes >= WRITES_PER_REPORT) {
        writes = 0;
        removeUnreportedDrops().forEach(BoundedAppender::reportDropped);
      }
    }
  }

  private static void reportDropped(String eventCode, int count) {
    EventLog.warn(Event.LOG_LINES_DROPPED, "of", eventCode, "count", count);
  }

  /** Waits for lines; returns at once if interrupted, which happens when the appender stops. */
  private List<ILoggingEvent> nextBatch() {
    List<ILoggingEvent> lines = new ArrayList<>();
    try {
      ILoggingEvent first = queue.poll(REPORT_MILLIS, TimeUnit.MILLISECONDS);
      if (first != null) {
        lines.add(first);
        Thread.sleep(isStarted() ? BATCH_MILLIS : 0);
      }
    } catch (InterruptedException e) {
      addInfo("interrupted: the appender is stopping");
    }
    queue.drainTo(lines);
    return lines;
  }

  private void write(List<ILoggingEvent> lines) {
    if (lines.isEmpty()) {
      return;
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      for (ILoggingEvent line : lines) {
        LogLine.write(line, bytes);
      }
      bytes.writeTo(out);
      out.flush();
    } catch (IOException e) {
      // There is no other output to report the failure to; the lines count as dropped.
      lines.forEach(line -> recordDropped(LogLine.eventOf(line)));
    }
  }
}
