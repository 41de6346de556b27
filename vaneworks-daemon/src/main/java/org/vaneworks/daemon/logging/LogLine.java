package org.vaneworks.daemon.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Writes a log event as one line with a JSON object: time, level, the event's key-value pairs,
 * text.
 *
 * <p>Pairs keep their order, and numbers and booleans keep their JSON type.
 */
final class LogLine {
  /** Key of the pair with the event code; events of libraries have no such pair. */
  static final String EVENT_KEY = "event";

  private static final JsonFactory JSON = new JsonFactory();

  private LogLine() {}

  /** Writes an event; does not close the stream. */
  static void write(ILoggingEvent event, OutputStream out) throws IOException {
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
      json.writeStringField("level", event.getLevel().toString());
      for (KeyValuePair pair : pairs(event)) {
        json.writeFieldName(pair.key);
        writeValue(json, pair.value);
      }
      json.writeStringField("text", event.getFormattedMessage());
      if (event.getThrowableProxy() != null) {
        json.writeStringField("cause", describe(event.getThrowableProxy()));
      }
      json.writeEndObject();
      json.writeRaw('\n');
    }
  }

  /** Returns the event code, or the logger's name for events of libraries. */
  static String eventOf(ILoggingEvent event) {
    for (KeyValuePair pair : pairs(event)) {
      if (pair.key.equals(EVENT_KEY)) {
        return String.valueOf(pair.value);
      }
    }
    return event.getLoggerName();
  }

  private static List<KeyValuePair> pairs(ILoggingEvent event) {
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    return pairs == null ? List.of() : pairs;
  }

  private static void writeValue(JsonGenerator json, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      json.writeNumber(((Number) value).longValue());
    } else if (value instanceof Number) {
      json.writeNumber(((Number) value).doubleValue());
    } else if (value instanceof Boolean) {
      json.writeBoolean((Boolean) value);
    } else {
      json.writeString(String.valueOf(value));
    }
  }

  private static String describe(IThrowableProxy thrown) {
    StringBuilder text = new StringBuilder();
    text.append(thrown.getClassName()).append(": ").append(thrown.getMessage());
    for (var frame : thrown.getStackTraceElementProxyArray()) {
      text.append(' ').append(frame.getSTEAsString());
    }
    return text.toString();
  }
}
