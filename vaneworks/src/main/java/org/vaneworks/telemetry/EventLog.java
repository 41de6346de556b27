package org.vaneworks.telemetry;

import static com.google.common.base.Preconditions.checkArgument;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes numbered events with key-value pairs to one SLF4J logger. */
public final class EventLog {
  private static final Logger LOGGER = LoggerFactory.getLogger("vaneworks");

  private EventLog() {}

  /** Logs an event at level info; {@code pairs} alternates keys and values. */
  public static void info(Event event, Object... pairs) {
    log(Level.INFO, event, pairs);
  }

  /** Logs an event at level warn; {@code pairs} alternates keys and values. */
  public static void warn(Event event, Object... pairs) {
    log(Level.WARN, event, pairs);
  }

  /** Logs an event at level debug; {@code pairs} alternates keys and values. */
  public static void debug(Event event, Object... pairs) {
    if (LOGGER.isDebugEnabled()) {
      log(Level.DEBUG, event, pairs);
    }
  }

  /**
   * Logs an event at level error, with the stack trace of its cause; {@code pairs} alternates keys
   * and values.
   */
  public static void error(Event event, Throwable cause, Object... pairs) {
    log(LOGGER.atError().setCause(cause), event, pairs);
  }

  private static void log(Level level, Event event, Object... pairs) {
    log(LOGGER.atLevel(level), event, pairs);
  }

  private static void log(LoggingEventBuilder started, Event event, Object... pairs) {
    checkArgument(
        pairs.length % 2 == 0, "keys and values must come in pairs, not %s items", pairs.length);
    LoggingEventBuilder builder = started.addKeyValue("event", event.code());
    for (int i = 0; i < pairs.length; i += 2) {
      builder = builder.addKeyValue(pairs[i].toString(), pairs[i + 1]);
    }
    builder.log(event.text());
  }
}
