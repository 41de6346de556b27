package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Function;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreSilence;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/** Keeps the fleet up to date with the endpoints' own entries in the store. */
final class EndpointListWatch implements PrefixFollower.Listener {
  private final String prefix;
  private final Function<StoredItem, FleetEndpoint> codec;
  private final Fleet fleet;

  EndpointListWatch(String prefix, Function<StoredItem, FleetEndpoint> codec, Fleet fleet) {
    this.prefix = checkNotNull(prefix);
    this.codec = checkNotNull(codec);
    this.fleet = checkNotNull(fleet);
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    ImmutableList.Builder<FleetEndpoint> listed = ImmutableList.builder();
    items.forEach(item -> read(item).ifPresent(listed::add));
    fleet.replaceAll(listed.build());
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (change.removed()) {
      fleet.remove(change.item().key().substring(prefix.length()));
    } else {
      read(change.item()).ifPresent(fleet::put);
    }
  }

  @Override
  public void silent(StoreSilence silence) {
    fleet.noteStoreSilent(silence.lastCallBegunAt(), silence.lastRevision());
  }

  @Override
  public void upToDate() {
    fleet.judgeUnlisted();
  }

  private Optional<FleetEndpoint> read(StoredItem item) {
    try {
      return Optional.of(codec.apply(item));
    } catch (IllegalArgumentException e) {
      EventLog.warn(
          Event.ENDPOINT_UNREADABLE, "key", item.key(), "cause", String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }
}
