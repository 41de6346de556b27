package org.vaneworks.transport.entry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;
import org.vaneworks.telemetry.Event;

/** Records the events that are logged until it is closed. */
final class RecordedEvents extends AppenderBase<ILoggingEvent> implements AutoCloseable {
  private static final long CHECK_MILLIS = 10;

  /** Only bounds a failing test. */
  private static final int MAX_CHECKS = 3000;

  private final Logger logger = (Logger) LoggerFactory.getLogger("vaneworks");
  private final Queue<ImmutableMap<String, String>> events = new ConcurrentLinkedQueue<>();

  static RecordedEvents create() {
    RecordedEvents recorded = new RecordedEvents();
    recorded.start(Level.INFO);
    return recorded;
  }

  private void start(Level level) {
    logger.setLevel(level);
    logger.addAppender(this);
    start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    ImmutableMap.Builder<String, String> pairs = ImmutableMap.builder();
    for (KeyValuePair pair : event.getKeyValuePairs()) {
      pairs.put(pair.key, String.valueOf(pair.value));
    }
    events.add(pairs.buildOrThrow());
  }

  /** Returns how often an event was logged so far. */
  long count(Event event) {
    return events.stream().filter(pairs -> event.code().equals(pairs.get("event"))).count();
  }

  /** Waits for an event and returns its pairs. */
  Map<String, String> await(Event event) throws InterruptedException {
    for (int i = 0; i < MAX_CHECKS; i++) {
      for (ImmutableMap<String, String> pairs : events) {
        if (event.code().equals(pairs.get("event"))) {
          return pairs;
        }
      }
      Thread.sleep(CHECK_MILLIS);
    }
    throw new IllegalStateException("no " + event + " among " + events);
  }

  @Override
  public void close() {
    logger.detachAppender(this);
  }
}
