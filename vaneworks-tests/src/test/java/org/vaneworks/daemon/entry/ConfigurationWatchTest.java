package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;

/** Guards against a node that loses its configuration when the operator writes a wrong one. */
final class ConfigurationWatchTest {
  private static final String KEY = "config";

  private final ConfigurationWatch watch =
      new ConfigurationWatch(KEY, ConfigurationWatchTest::read);

  /** Reads the version; the value "wrong" stands for any that the decoder rejects. */
  private static EntryConfiguration read(StoredItem item) {
    checkArgument(!item.value().equals("wrong"), "weight of tenant ward must be a number");
    return EntryConfiguration.of(
        Long.parseLong(item.value()),
        List.of(),
        List.of(),
        ApiKeys.notRequired(),
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private void write(String value) {
    watch.replace(
        ImmutableList.of(new StoredItem(KEY, value, StorePosition.START, StorePosition.START)));
  }

  @Test
  void rejectedConfigurationLeavesTheFormerOneInForce() {
    write("1");
    write("wrong");
    assertEquals(1, watch.newest().orElseThrow().version());
    write("2");
    assertEquals(2, watch.newest().orElseThrow().version());
  }
}
