package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.StorePosition;
import org.vaneworks.state.entry.ApiKeys;
import org.vaneworks.state.entry.Caller;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.EntryLimits;
import org.vaneworks.state.entry.KeyRevision;
import org.vaneworks.state.entry.RejectedConfigurationException;
import org.vaneworks.telemetry.Counters;

/**
 * Guards against a node that loses its configuration when the operator writes a wrong one, and
 * against one that goes on accepting the keys that the wrong one revoked.
 */
final class ConfigurationWatchTest {
  private static final String KEY = "config";
  private static final String WARD_KEY = "key-ward";
  private static final String DESK_KEY = "key-desk";
  private static final String METER = "vaneworks.configurations.rejected";

  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final ConfigurationWatch watch =
      new ConfigurationWatch(KEY, ConfigurationWatchTest::read, Counters.in(meters));

  /**
   * Reads a version. The value "wrong" stands for any that can't be read at all; with "!" behind
   * the version the configuration is invalid, and revokes the key of the ward.
   */
  private static EntryConfiguration read(StoredItem item) {
    checkArgument(!item.value().equals("wrong"), "weight of workspace ward must be a number");
    long version = Long.parseLong(item.value().replace("!", ""));
    if (item.value().endsWith("!")) {
      throw new RejectedConfigurationException(
          new KeyRevision(
              version,
              true,
              ImmutableMap.of("ward", ImmutableSet.of(), "desk", ImmutableSet.of(DESK_KEY)),
              ImmutableSet.of()),
          new IllegalArgumentException("weight of workspace ward must be a number"));
    }
    return EntryConfiguration.of(
        version,
        List.of(),
        List.of(),
        ApiKeys.of(
            Map.of(
                WARD_KEY,
                new Caller("ward", OptionalInt.empty()),
                DESK_KEY,
                new Caller("desk", OptionalInt.of(2), 3))),
        new EntryLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private void write(String value) {
    watch.replace(
        ImmutableList.of(new StoredItem(KEY, value, StorePosition.START, StorePosition.START)));
  }

  private long activeVersion() {
    return watch.newest().orElseThrow().version();
  }

  private boolean accepts(String key) {
    return watch.newest().orElseThrow().accepts(Optional.of(key));
  }

  private double rejected(String reason) {
    return meters.counter(METER, "reason", reason).count();
  }

  @Test
  void rejectedConfigurationLeavesTheFormerOneInForce() {
    write("1");
    write("wrong");
    assertEquals(1, watch.newest().orElseThrow().version());
    write("2");
    assertEquals(2, watch.newest().orElseThrow().version());
  }

  // Guards against a revoked key that is accepted until another field is corrected.
  @Test
  void keysOfRejectedConfigurationApply() {
    write("1");
    write("2!");
    assertEquals(1, activeVersion());
    assertFalse(accepts(WARD_KEY));
    assertTrue(accepts(DESK_KEY));
    assertEquals(1, rejected("keys-applied"));
  }

  @Test
  void workspaceKeepsPriorityAndWeightInRejectedConfiguration() {
    write("1");
    write("2!");
    assertEquals(
        new Caller("desk", OptionalInt.of(2), 3),
        watch.newest().orElseThrow().caller(DESK_KEY).orElseThrow());
  }

  // Guards against a key that becomes valid again through a version older than its revocation.
  @Test
  void versionOlderThanRevocationIsIgnored() {
    write("1");
    write("5!");
    write("3");
    assertEquals(1, activeVersion());
    assertFalse(accepts(WARD_KEY));
  }

  @Test
  void keysOlderThanTheActiveConfigurationAreIgnored() {
    write("4");
    write("3!");
    write("4!");
    assertTrue(accepts(WARD_KEY));
    assertEquals(2, rejected("keys-stale"));
  }

  @Test
  void correctedConfigurationReplacesTheRejectedOne() {
    write("1");
    write("5!");
    write("5");
    assertEquals(5, activeVersion());
    assertTrue(accepts(WARD_KEY));
  }

  // Guards against an outage of all callers because of a value that says nothing about keys.
  @Test
  void valueThatCannotBeReadRevokesNoKey() {
    write("1");
    write("wrong");
    assertTrue(accepts(WARD_KEY));
    assertEquals(1, rejected("keys-unreadable"));
  }

  // Guards against a starting node that serves requests by a rejected configuration.
  @Test
  void rejectedConfigurationIsNotTheFirst() {
    write("2!");
    assertTrue(watch.newest().isEmpty());
    write("1");
    assertTrue(watch.newest().isEmpty());
    write("3");
    assertEquals(3, activeVersion());
  }
}
