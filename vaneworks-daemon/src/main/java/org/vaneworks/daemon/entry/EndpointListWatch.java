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
 * Updates the fleet from the entries through which endpoints register themselves in the store.
 *
 * <p>Other writers may also use the prefix. An endpoint whose entry is malformed is withdrawn, even
 * if its previous entry was valid; all other entries are unaffected.
 */
final class EndpointListWatch implements PrefixFollower.Listener {
  private final String prefix;
  private final Function<StoredItem, FleetEndpoint> decoder;
  private final Fleet fleet;
  private final Counters counters;

  /** Keys of malformed entries; each is logged once until the entry is valid or removed. */
  private final Set<String> malformed = new HashSet<>();

  EndpointListWatch(
      String prefix, Function<StoredItem, FleetEndpoint> decoder, Fleet fleet, Counters counters) {
    this.prefix = checkNotNull(prefix);
    this.decoder = checkNotNull(decoder);
    this.fleet = checkNotNull(fleet);
    this.counters = checkNotNull(counters);
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    malformed.clear();
    ImmutableList.Builder<FleetEndpoint> listed = ImmutableList.builder();
    items.forEach(item -> decode(item).ifPresent(listed::add));
    fleet.replaceAll(listed.build());
  }

  @Override
  public void change(StoreChanges.Change change) {
    if (change.removed()) {
      malformed.remove(change.item().key());
      fleet.remove(idOf(change.item()));
    } else {
      decode(change.item()).ifPresent(fleet::put);
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

  private Optional<FleetEndpoint> decode(StoredItem item) {
    try {
      FleetEndpoint endpoint = decoder.apply(item);
      malformed.remove(item.key());
      return Optional.of(endpoint);
    } catch (IllegalArgumentException e) {
      reject(item, String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }

  private void reject(StoredItem item, String cause) {
    counters.count(Metric.ENDPOINT_ENTRIES, "unreadable");
    if (malformed.add(item.key())) {
      EventLog.warn(Event.ENDPOINT_UNREADABLE, "key", item.key(), "cause", cause);
    }
    fleet.withdraw(idOf(item), "its entry is malformed");
  }
}
