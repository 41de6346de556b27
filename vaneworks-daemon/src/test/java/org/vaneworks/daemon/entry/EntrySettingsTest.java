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

/** Tests the validation of a forwarding node's settings, and their reload. */
final class EntrySettingsTest {
  private static final String VALID_SETTINGS =
      "name: n1\ndataCentre: dc1\ncallers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\nstore: 127.0.0.1:3\n";

  @TempDir private Path folder;

  private EntrySettings read(String text) throws IOException {
    return EntrySettings.read(Files.writeString(folder.resolve("settings.yaml"), text));
  }

  @Test
  void metricsAddressIsOptional() throws IOException {
    assertEquals(Optional.empty(), read(VALID_SETTINGS).metrics());
  }

  @Test
  void everyRejectedFieldIsReported() {
    String text =
        VALID_SETTINGS.replace("127.0.0.1:3", "store.example:3") + "retryShare: 2\nx: 1\n";
    String message = assertThrows(IllegalArgumentException.class, () -> read(text)).getMessage();
    assertTrue(message.contains("store: is store.example:3"), message);
    assertTrue(message.contains("retryShare: is 2.0"), message);
    assertTrue(message.contains("x: is not a known field"), message);
  }

  @Test
  void changedAddressNeedsARestart() throws IOException {
    EntrySettings changed =
        read(VALID_SETTINGS.replace("127.0.0.1:1", "127.0.0.1:9") + "stopGraceSeconds: 3\n");
    assertEquals(List.of("callers"), read(VALID_SETTINGS).changedFixedFields(changed));
  }

  @Test
  void reloadAppliesLimitsAndKeepsAddresses() throws IOException {
    EntrySettings changed =
        read(VALID_SETTINGS.replace("127.0.0.1:1", "127.0.0.1:9") + "stopGraceSeconds: 3\n");
    EntrySettings reloaded = read(VALID_SETTINGS).withReloadableFieldsOf(changed);
    assertEquals(Duration.ofSeconds(3), reloaded.stopGrace());
    assertEquals(read(VALID_SETTINGS).callers(), reloaded.callers());
  }
}
