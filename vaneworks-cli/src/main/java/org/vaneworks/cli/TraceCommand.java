package org.vaneworks.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.vaneworks.protocol.InvalidFieldException;
import org.vaneworks.protocol.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the log lines of one request from the logs of several boxes, ordered by time. */
@Command(
    name = "trace",
    description = {
      "Prints the log lines of one request, from the logs of many boxes, in order of time.",
      "What stands before a line's JSON object, such as a collector's stamp, names its source."
    })
final class TraceCommand implements Callable<Integer> {
  /** How far before the request's first line the log lines of its boxes are included. */
  private static final Duration LOOKBACK = Duration.ofSeconds(3);

  /** Fields that are not printed as key-value pairs. */
  private static final Set<String> OMITTED_FIELDS = Set.of("time", "level", "event", "request");

  /** A parsed log line. */
  private record LogLine(Instant time, String source, JsonNode fields) {
    boolean isAbout(String request) {
      return fields.path("request").asText().equals(request);
    }

    boolean hasNoRequest() {
      return !fields.has("request");
    }
  }

  @Parameters(index = "0", paramLabel = "ID", description = "The request's id.")
  private String request;

  @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Log files.")
  private List<Path> files;

  @Option(
      names = "--beliefs",
      description = "Also what the request's boxes came to believe from 3 s before it to its end.")
  private boolean beliefs;

  @Override
  public Integer call() {
    List<LogLine> lines = new ArrayList<>();
    files.forEach(file -> read(file, lines));
    lines.sort(Comparator.comparing(LogLine::time));
    ImmutableList<LogLine> requestLines =
        lines.stream()
            .filter(line -> line.isAbout(request))
            .collect(ImmutableList.toImmutableList());
    if (requestLines.isEmpty()) {
      throw new IllegalArgumentException(
          "no line names request " + request + " in " + lines.size() + " lines");
    }
    Stream<LogLine> shown = beliefs ? withNodeEvents(lines, requestLines) : requestLines.stream();
    shown.map(TraceCommand::text).forEach(System.out::println);
    return ExitCodes.OK;
  }

  private Stream<LogLine> withNodeEvents(List<LogLine> lines, ImmutableList<LogLine> requestLines) {
    Set<String> sources = new TreeSet<>();
    requestLines.forEach(line -> sources.add(line.source()));
    Instant from = requestLines.get(0).time().minus(LOOKBACK);
    Instant to = requestLines.get(requestLines.size() - 1).time();
    return lines.stream()
        .filter(
            line ->
                line.isAbout(request)
                    || line.hasNoRequest()
                        && sources.contains(line.source())
                        && !line.time().isBefore(from)
                        && !line.time().isAfter(to));
  }

  private static void read(Path file, List<LogLine> lines) {
    try (Stream<String> rawLines = Files.lines(file, StandardCharsets.UTF_8)) {
      rawLines.forEach(text -> parse(file, text).ifPresent(lines::add));
    } catch (IOException | UncheckedIOException e) {
      throw new IllegalArgumentException("can't read " + file + ": " + e.getMessage());
    }
  }

  /** Parses a line; returns empty unless it contains a JSON object with a time. */
  private static Optional<LogLine> parse(Path file, String text) {
    int jsonStart = text.indexOf('{');
    if (jsonStart < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = Json.parse(text.substring(jsonStart));
      Instant time = Instant.parse(fields.path("time").asText());
      return Optional.of(new LogLine(time, source(file, text.substring(0, jsonStart)), fields));
    } catch (InvalidFieldException | DateTimeException e) {
      return Optional.empty();
    }
  }

  /** Returns the last word before the JSON object, or the file name if there is none. */
  private static String source(Path file, String prefix) {
    String trimmed = prefix.trim();
    return trimmed.isEmpty()
        ? file.getFileName().toString()
        : trimmed.substring(CharMatcher.whitespace().lastIndexIn(trimmed) + 1);
  }

  private static String text(LogLine line) {
    StringBuilder text = new StringBuilder();
    text.append(line.time()).append(' ').append(line.source());
    text.append(' ').append(line.fields().path("event").asText("-"));
    line.fields()
        .properties()
        .forEach(
            field -> {
              if (!OMITTED_FIELDS.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=').append(field.getValue());
              }
            });
    return text.toString();
  }
}
