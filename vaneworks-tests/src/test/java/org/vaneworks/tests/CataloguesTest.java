package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vaneworks.state.Reason;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.Metric;

/** Tests that the catalogues of events, metrics and reasons under docs match the code. */
final class CataloguesTest {
  private static final Path DOCS = Path.of("..", "docs");

  @Test
  void eventCatalogueMatchesTheCode() throws IOException {
    List<String> expected =
        Arrays.stream(Event.values())
            .map(event -> "| " + event.code() + " | " + event.name() + " | " + event.text() + " |")
            .toList();
    assertEquals(expected, rows("EVENTS.md", "| VW"));
  }

  @Test
  void eventCodesAreUnique() {
    long codes = Arrays.stream(Event.values()).map(Event::code).distinct().count();
    assertEquals(Event.values().length, codes);
  }

  @Test
  void metricCatalogueMatchesTheCode() throws IOException {
    List<String> expected =
        Arrays.stream(Metric.values())
            .map(metric -> "| `" + metric.meter() + "` | " + metric.text() + " |")
            .toList();
    assertEquals(expected, rows("METRICS.md", "| `vaneworks."));
  }

  @Test
  void reasonCatalogueMatchesTheCode() throws IOException {
    List<String> expected =
        Arrays.stream(Reason.values())
            .map(
                reason ->
                    "| `" + reason.code() + "` | " + reason.status() + " | " + reason.text() + " |")
            .toList();
    assertEquals(expected, rows("METRICS.md", "| `").stream().filter(this::isReason).toList());
  }

  private boolean isReason(String row) {
    return !row.startsWith("| `vaneworks.");
  }

  @Test
  void everyScenarioListedInProofsExists() throws IOException {
    String features = "";
    try (var files = Files.walk(Path.of("src", "test", "resources", "features"))) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        features += Files.readString(file);
      }
    }
    for (String row : rows("PROOFS.md", "- *")) {
      String scenario = row.substring("- *".length(), row.indexOf('*', "- *".length()));
      assertTrue(features.contains("Scenario: " + scenario + "\n"), scenario);
    }
  }

  private static List<String> rows(String page, String prefix) throws IOException {
    return Files.readAllLines(DOCS.resolve(page)).stream()
        .filter(line -> line.startsWith(prefix))
        .toList();
  }
}
