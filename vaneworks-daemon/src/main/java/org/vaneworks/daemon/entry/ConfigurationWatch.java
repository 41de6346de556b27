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

/** Keeps the newest configuration; never goes back to an older version. */
final class ConfigurationWatch implements PrefixFollower.Listener {
  private final String key;
  private final Function<StoredItem, EntryConfiguration> codec;
  private Optional<EntryConfiguration> newest = Optional.empty();

  ConfigurationWatch(String key, Function<StoredItem, EntryConfiguration> codec) {
    this.key = checkNotNull(key);
    this.codec = checkNotNull(codec);
  }

  Optional<EntryConfiguration> newest() {
    return newest;
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    items.forEach(this::take);
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (!change.removed()) {
      take(change.item());
    }
  }

  private void take(StoredItem item) {
    if (!item.key().equals(key)) {
      return;
    }
    try {
      EntryConfiguration read = codec.apply(item);
      if (newest.isEmpty() || newest.get().version() < read.version()) {
        newest = Optional.of(read);
        EventLog.info(
            Event.CONFIGURATION_IN_FORCE, "version", read.version(), "storedAt", item.changedAt());
      } else if (newest.get().version() > read.version()) {
        EventLog.warn(
            Event.CONFIGURATION_STALE_IGNORED,
            "version",
            read.version(),
            "newest",
            newest.get().version());
      }
    } catch (IllegalArgumentException e) {
      EventLog.warn(Event.CONFIGURATION_UNREADABLE, "cause", e.getMessage());
    }
  }
}
