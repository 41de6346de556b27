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

/** Checks that a settings file that is not accepted says which field and what is allowed. */
final class DaemonSettingsTest {
  private static final String GOOD =
      "name: n1\ndataCentre: dc1\ncallers: 127.0.0.1:0\npeers: 127.0.0.1:0\nplatform: 127.0.0.1:1\n";

  @TempDir private Path folder;

  private DaemonSettings read(String text) throws IOException {
    return DaemonSettings.read(Files.writeString(folder.resolve("settings.yaml"), text));
  }

  private void rejects(String text, String... parts) {
    IllegalArgumentException problem =
        assertThrows(IllegalArgumentException.class, () -> read(text));
    for (String part : parts) {
      assertTrue(problem.getMessage().contains(part), problem.getMessage());
    }
  }

  @Test
  void defaultsHoldForWhatIsNotGiven() throws IOException {
    assertEquals(4, read(GOOD).workers());
  }

  @Test
  void unknownField() {
    rejects(GOOD + "workerz: 3\n", "workerz", "not a known field");
  }

  @Test
  void unknownFieldInASection() {
    rejects(GOOD + "stop: {lag: 3}\n", "stop.lag", "not a known field");
  }

  @Test
  void wrongType() {
    rejects(GOOD + "workers: many\n", "workers", "integer", "1 to 256");
  }

  @Test
  void outOfBounds() {
    rejects(GOOD + "workers: 0\n", "workers", "is 0", "1 to 256");
  }

  @Test
  void hostNameInPlaceOfAnIpNumber() {
    rejects(GOOD.replace("127.0.0.1:1", "store.example:1"), "platform", "IP number");
  }

  @Test
  void missingField() {
    rejects(GOOD.replace("name: n1\n", ""), "name", "must be given");
  }

  @Test
  void unknownEnumeration() {
    rejects(GOOD + "routing: {policy: best}\n", "routing.policy", "predicted-time");
  }

  @Test
  void boundsThatContradictEachOther() {
    rejects(GOOD + "stop: {balancerLagMs: 9, deadlineMs: 8}\n", "stop.balancerLagMs");
  }

  @Test
  void everyProblemIsToldAtOnce() {
    rejects(
        GOOD.replace("name: n1\n", "") + "workers: 0\nstop: {lag: 3}\nwhat: 1\n",
        "name: must be given",
        "workers: is 0",
        "stop.lag: is not a known field",
        "what: is not a known field");
  }

  @Test
  void sectionOfAWrongTypeIsToldBesideOthers() {
    rejects(GOOD + "stop: 3\nworkers: many\n", "stop: must be an object", "workers: must be");
  }

  @Test
  void notYaml() {
    rejects("a: [", "not YAML");
  }

  @Test
  void givenTwice() {
    rejects(GOOD + "name: n2\n", "not YAML");
  }
}
