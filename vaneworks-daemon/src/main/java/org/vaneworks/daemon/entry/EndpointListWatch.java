package org.vaneworks.daemon.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.vaneworks.coordination.fleet.Fleet;
import org.vaneworks.coordination.fleet.FleetEndpoint;
import org.vaneworks.coordination.shared.PrefixFollower;
import org.vaneworks.coordination.shared.StoreChanges;
import org.vaneworks.coordination.shared.StoreOutage;
import org.vaneworks.coordination.shared.StoredItem;
import org.vaneworks.telemetry.Counters;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;
import org.vaneworks.telemetry.Metric;

/**
 * Keeps the fleet up to date with the endpoints' own entries in the store.
 *
 * <p>Others may write there too. An entry that can't be read names no endpoint to use, whatever the
 * one before it said; the rest of the list holds.
 */
final class EndpointListWatch implements PrefixFollower.Listener {
  private final String prefix;
  private final Function<StoredItem, FleetEndpoint> codec;
  private final Fleet fleet;
  private final Counters counters;

  /** Keys whose entry can't be read; each is logged once until it is read or removed. */
  private final Set<String> unreadable = new HashSet<>();

  EndpointListWatch(
      String prefix, Function<StoredItem, FleetEndpoint> codec, Fleet fleet, Counters counters) {
    this.prefix = checkNotNull(prefix);
    this.codec = checkNotNull(codec);
    this.fleet = checkNotNull(fleet);
    this.counters = checkNotNull(counters);
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    unreadable.clear();
    ImmutableList.Builder<FleetEndpoint> listed = ImmutableList.builder();
    items.forEach(item -> read(item).ifPresent(listed::add));
    fleet.replaceAll(listed.build());
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (change.removed()) {
      unreadable.remove(change.item().key());
      fleet.remove(idOf(change.item()));
    } else {
      read(change.item()).ifPresent(fleet::put);
    }
  }

  private String idOf(StoredItem item) {
    return item.key().substring(prefix.length());
  }

  @Override
  public void unavailable(StoreOutage outage) {
    fleet.recordStoreFailure(outage.lastCallStartedAt(), outage.lastPosition());
  }

  @Override
  public void newEra(long era) {
    fleet.recordNewEra();
  }

  @Override
  public void upToDate() {
    fleet.resolveMissing();
  }

  private Optional<FleetEndpoint> read(StoredItem item) {
    try {
      FleetEndpoint endpoint = codec.apply(item);
      unreadable.remove(item.key());
      return Optional.of(endpoint);
    } catch (IllegalArgumentException e) {
      rejected(item, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  private void rejected(StoredItem item, String cause) {
    counters.count(Metric.ENDPOINT_ENTRIES, "unreadable");
    if (unreadable.add(item.key())) {
      EventLog.warn(Event.ENDPOINT_UNREADABLE, "key", item.key(), "cause", cause);
    }
    fleet.withdraw(idOf(item), "its entry can't be read");
  }
}
