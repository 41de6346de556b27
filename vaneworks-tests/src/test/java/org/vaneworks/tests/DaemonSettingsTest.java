package org.vaneworks.tests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vaneworks.daemon.DaemonSettings;

/** Tests that the error for an invalid settings file names the field and the allowed values. */
final class DaemonSettingsTest {
  private static final String VALID =
      "name: n1\ndataCentre: dc1\ncallers: 127.0.0.1:0\npeers: 127.0.0.1:0\nplatform: 127.0.0.1:1\n";

  @TempDir private Path folder;

  private DaemonSettings read(String text) throws IOException {
    return DaemonSettings.read(Files.writeString(folder.resolve("settings.yaml"), text));
  }

  private void assertRejected(String text, String... parts) {
    IllegalArgumentException problem =
        assertThrows(IllegalArgumentException.class, () -> read(text));
    for (String part : parts) {
      assertTrue(problem.getMessage().contains(part), problem.getMessage());
    }
  }

  @Test
  void missingOptionalFieldsHaveDefaults() throws IOException {
    assertEquals(4, read(VALID).workers());
  }

  @Test
  void unknownFieldIsRejected() {
    assertRejected(VALID + "workerz: 3\n", "workerz", "not a known field");
  }

  @Test
  void unknownFieldInSectionIsRejected() {
    assertRejected(VALID + "stop: {lag: 3}\n", "stop.lag", "not a known field");
  }

  @Test
  void wrongTypeIsRejected() {
    assertRejected(VALID + "workers: many\n", "workers", "integer", "1 to 256");
  }

  @Test
  void valueOutOfBoundsIsRejected() {
    assertRejected(VALID + "workers: 0\n", "workers", "is 0", "1 to 256");
  }

  @Test
  void hostNameIsRejected() {
    assertRejected(VALID.replace("127.0.0.1:1", "store.example:1"), "platform", "IP number");
  }

  @Test
  void missingRequiredFieldIsRejected() {
    assertRejected(VALID.replace("name: n1\n", ""), "name", "must be given");
  }

  @Test
  void unknownEnumValueIsRejected() {
    assertRejected(VALID + "routing: {policy: best}\n", "routing.policy", "predicted-time");
  }

  @Test
  void contradictoryBoundsAreRejected() {
    assertRejected(VALID + "stop: {balancerLagMs: 9, deadlineMs: 8}\n", "stop.balancerLagMs");
  }

  @Test
  void allProblemsAreReportedTogether() {
    assertRejected(
        VALID.replace("name: n1\n", "") + "workers: 0\nstop: {lag: 3}\nwhat: 1\n",
        "name: must be given",
        "workers: is 0",
        "stop.lag: is not a known field",
        "what: is not a known field");
  }

  @Test
  void sectionOfWrongTypeIsReportedWithOtherProblems() {
    assertRejected(
        VALID + "stop: 3\nworkers: many\n", "stop: must be an object", "workers: must be");
  }

  @Test
  void invalidYamlIsRejected() {
    assertRejected("a: [", "not YAML");
  }

  @Test
  void duplicateFieldIsRejected() {
    assertRejected(VALID + "name: n2\n", "not YAML");
  }
}
