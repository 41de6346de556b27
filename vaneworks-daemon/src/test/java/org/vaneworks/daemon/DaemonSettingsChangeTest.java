package org.vaneworks.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the detection of fields that differ between two settings files. */
final class DaemonSettingsChangeTest {
  private static final String VALID_SETTINGS =
      "name: n1\ndataCentre: dc1\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\nplatform: 127.0.0.1:3\n";

  @TempDir private Path folder;

  private DaemonSettings read(String text) throws IOException {
    return DaemonSettings.read(Files.writeString(folder.resolve("settings.yaml"), text));
  }

  @Test
  void equalSettingsHaveNoChangedFields() throws IOException {
    assertEquals(List.of(), read(VALID_SETTINGS).changedFields(read(VALID_SETTINGS)));
  }

  @Test
  void eachChangedFieldIsReported() throws IOException {
    DaemonSettings changed = read(VALID_SETTINGS + "workers: 7\nstop: {balancerLagMs: 1}\n");
    assertEquals(List.of("workers", "stop"), read(VALID_SETTINGS).changedFields(changed));
  }
}
