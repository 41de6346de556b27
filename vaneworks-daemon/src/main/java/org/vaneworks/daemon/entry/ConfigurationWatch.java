package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Function;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.state.entry.KeyRevision;
import org.vaneworks.state.entry.RejectedConfigurationException;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Follows the configuration in the store and keeps the newest version; an older version never
 * replaces a newer one.
 *
 * <p>An invalid configuration is rejected and the previous one remains active, but for keys: those
 * of the rejected configuration apply if they can be read. Confined to the node's event loop.
 */
final class ConfigurationWatch implements PrefixFollower.Listener {
  private static final long NO_VERSION = -1;

  private final String key;
  private final Function<StoredItem, EntryConfiguration> decoder;
  private final Counters counters;
  private Optional<EntryConfiguration> newest = Optional.empty();

  /** The newest version of a rejected configuration whose keys could be read. */
  private long newestKeyRevision = NO_VERSION;

  ConfigurationWatch(
      String key, Function<StoredItem, EntryConfiguration> decoder, Counters counters) {
    this.key = checkNotNull(key);
    this.decoder = checkNotNull(decoder);
    this.counters = checkNotNull(counters);
  }

  /** Returns the active configuration, with the keys that are valid now. */
  Optional<EntryConfiguration> newest() {
    return newest;
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    items.forEach(this::update);
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (!change.removed()) {
      update(change.item());
    }
  }

  private void update(StoredItem item) {
    if (!item.key().equals(key)) {
      return;
    }
    try {
      accept(decoder.apply(item), item);
    } catch (RejectedConfigurationException e) {
      reject(e, applyKeys(e.keys()));
    } catch (IllegalArgumentException e) {
      reject(e, KeysOutcome.UNREADABLE);
    }
  }

  private void accept(EntryConfiguration decoded, StoredItem item) {
    boolean newer = newest.isEmpty() || newest.get().version() < decoded.version();
    if (newer && decoded.version() >= newestKeyRevision) {
      newest = Optional.of(decoded);
      EventLog.info(
          Event.CONFIGURATION_IN_FORCE, "version", decoded.version(), "storedAt", item.changedAt());
    } else if (newestVersion() > decoded.version()) {
      EventLog.warn(
          Event.CONFIGURATION_STALE_IGNORED,
          "version",
          decoded.version(),
          "newest",
          newestVersion());
    }
  }

  /** Returns the newest version that was read, including that of a rejected configuration. */
  private long newestVersion() {
    return Math.max(newestKeyRevision, newest.map(EntryConfiguration::version).orElse(NO_VERSION));
  }

  private KeysOutcome applyKeys(KeyRevision keys) {
    boolean accepted = newest.filter(active -> active.version() >= keys.version()).isPresent();
    if (accepted || keys.version() < newestKeyRevision) {
      return KeysOutcome.STALE;
    }
    newestKeyRevision = keys.version();
    newest = newest.map(active -> active.withKeys(keys));
    return KeysOutcome.APPLIED;
  }

  private void reject(IllegalArgumentException cause, KeysOutcome keys) {
    counters.count(Metric.REJECTED_CONFIGURATIONS, keys.code());
    EventLog.warn(
        Event.CONFIGURATION_UNREADABLE,
        "cause",
        cause.getMessage(),
        "keys",
        keys.code(),
        "active",
        newest.map(active -> Long.toString(active.version())).orElse("none"));
  }

  /** What became of the keys of a rejected configuration. */
  private enum KeysOutcome {
    APPLIED("keys-applied"),
    STALE("keys-stale"),
    UNREADABLE("keys-unreadable");

    private final String code;

    KeysOutcome(String code) {
      this.code = code;
    }

    /** Returns the name used in logs and counters. */
    String code() {
      return code;
    }
  }
}
