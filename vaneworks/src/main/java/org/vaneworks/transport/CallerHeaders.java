package org.vaneworks.transport;

import io.servicetalk.http.api.HttpHeaders;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.vaneworks.coordination.requests.CallerOptions;
import org.vaneworks.state.Priority;
import org.vaneworks.state.Reason;
import org.vaneworks.state.Refusal;
import org.vaneworks.state.RefusalException;

/** Names of the headers exchanged with callers, and the parser of request options. */
final class CallerHeaders {
  static final String REPEATABLE = "vaneworks-repeatable";
  static final String KEY = "idempotency-key";
  static final String TICKET = "vaneworks-ticket";
  static final String PRIORITY = "vaneworks-priority";
  static final String DEADLINE_MS = "vaneworks-deadline-ms";
  static final String VERDICT = "vaneworks-verdict";
  static final String REASON = "vaneworks-reason";
  static final String REQUEST = "vaneworks-request";

  private static final Pattern KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,200}");
  private static final long MAX_DEADLINE_MS = 600_000;

  private CallerHeaders() {}

  /**
   * Parses the options of a request.
   *
   * @throws RefusalException naming the invalid header
   */
  static CallerOptions read(HttpHeaders headers) {
    Optional<String> key = text(headers, KEY).map(value -> checkKeyFormat(KEY, value));
    Optional<String> ticket = text(headers, TICKET).map(value -> checkKeyFormat(TICKET, value));
    if (key.isPresent() && ticket.isPresent()) {
      throw invalid(TICKET, "not together with " + KEY);
    }
    return new CallerOptions(
        text(headers, REPEATABLE).map(CallerHeaders::parseBoolean),
        key,
        ticket,
        text(headers, PRIORITY).map(CallerHeaders::parsePriority),
        text(headers, DEADLINE_MS).map(CallerHeaders::parseDeadline));
  }

  private static Optional<String> text(HttpHeaders headers, String name) {
    return Optional.ofNullable(headers.get(name)).map(CharSequence::toString);
  }

  private static String checkKeyFormat(String name, String value) {
    if (!KEY_PATTERN.matcher(value).matches()) {
      throw invalid(name, "must be 1 to 200 visible ASCII characters");
    }
    return value;
  }

  private static boolean parseBoolean(String text) {
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw invalid(REPEATABLE, "is " + text + ", allowed: true, false");
    };
  }

  private static Priority parsePriority(String text) {
    try {
      return Priority.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw invalid(PRIORITY, "is " + text + ", allowed: high, normal, low");
    }
  }

  private static Duration parseDeadline(String text) {
    try {
      long millis = Long.parseLong(text);
      if (millis >= 1 && millis <= MAX_DEADLINE_MS) {
        return Duration.ofMillis(millis);
      }
    } catch (NumberFormatException e) {
      // Reported below, together with the allowed values.
    }
    throw invalid(DEADLINE_MS, "is " + text + ", allowed: 1 to " + MAX_DEADLINE_MS);
  }

  private static RefusalException invalid(String header, String problem) {
    return Refusal.nothingSent(Reason.INVALID_HEADER, header + ": " + problem).toException();
  }
}
