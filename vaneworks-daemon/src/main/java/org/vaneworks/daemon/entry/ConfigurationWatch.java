package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Function;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.state.entry.EntryConfiguration;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Follows the configuration in the store and keeps the newest version; an older version never
 * replaces a newer one.
 */
final class ConfigurationWatch implements PrefixFollower.Listener {
  private final String key;
  private final Function<StoredItem, EntryConfiguration> decoder;
  private Optional<EntryConfiguration> newest = Optional.empty();

  ConfigurationWatch(String key, Function<StoredItem, EntryConfiguration> decoder) {
    this.key = checkNotNull(key);
    this.decoder = checkNotNull(decoder);
  }

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
      EntryConfiguration decoded = decoder.apply(item);
      if (newest.isEmpty() || newest.get().version() < decoded.version()) {
        newest = Optional.of(decoded);
        EventLog.info(
            Event.CONFIGURATION_IN_FORCE,
            "version",
            decoded.version(),
            "storedAt",
            item.changedAt());
      } else if (newest.get().version() > decoded.version()) {
        EventLog.warn(
            Event.CONFIGURATION_STALE_IGNORED,
            "version",
            decoded.version(),
            "newest",
            newest.get().version());
      }
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", e.getMessage());
    }
  }
}
