package org.vaneworks.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks a forwarding node's settings: what is refused, and what a change may touch. */
final class EntrySettingsTest {
  private static final String GOOD =
      "name: n1\ndataCentre: dc1\ncallers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\nstore: 127.0.0.1:3\n";

  @TempDir private Path folder;

  private EntrySettings read(String text) throws IOException {
    return EntrySettings.read(Files.writeString(folder.resolve("settings.yaml"), text));
  }

  @Test
  void metricsNeedNotBeServed() throws IOException {
    assertEquals(Optional.empty(), read(GOOD).metrics());
  }

  @Test
  void everyProblemIsToldAtOnce() {
    String text = GOOD.replace("127.0.0.1:3", "store.example:3") + "retryShare: 2\nx: 1\n";
    String told = assertThrows(IllegalArgumentException.class, () -> read(text)).getMessage();
    assertTrue(told.contains("store: is store.example:3"), told);
    assertTrue(told.contains("retryShare: is 2.0"), told);
    assertTrue(told.contains("x: is not a known field"), told);
  }

  @Test
  void addressThatChangedIsNamed() throws IOException {
    EntrySettings next = read(GOOD.replace("127.0.0.1:1", "127.0.0.1:9") + "stopGraceSeconds: 3\n");
    assertEquals(List.of("callers"), read(GOOD).changedFixedFields(next));
  }

  @Test
  void boundsAreTakenAndAddressesKept() throws IOException {
    EntrySettings next = read(GOOD.replace("127.0.0.1:1", "127.0.0.1:9") + "stopGraceSeconds: 3\n");
    EntrySettings taken = read(GOOD).withReloadableFieldsOf(next);
    assertEquals(Duration.ofSeconds(3), taken.stopGrace());
    assertEquals(read(GOOD).callers(), taken.callers());
  }
}
