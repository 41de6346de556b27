package org.vaneworks.coordination.shared;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Dispatches the items and changes of one follower to several listeners by key prefix.
 *
 * <p>A single watch over all keys costs the store a third of the calls of three separate watches,
 * and each response confirms all three views together.
 *
 * <p>A listener that fails on an item affects neither the others nor the calls that follow, so that
 * no entry of another writer stops a node from following the store. Each failure is logged.
 */
public final class PrefixRouter implements PrefixFollower.Listener {
  private final ImmutableMap<String, PrefixFollower.Listener> listeners;

  private PrefixRouter(ImmutableMap<String, PrefixFollower.Listener> listeners) {
    this.listeners = listeners;
  }

  /** Returns a router with one listener per prefix; no prefix may be a prefix of another. */
  public static PrefixRouter of(Map<String, PrefixFollower.Listener> listeners) {
    return new PrefixRouter(ImmutableMap.copyOf(listeners));
  }

  @Override
  public void replace(ImmutableList<StoredItem> items) {
    listeners.forEach(
        (prefix, listener) -> {
          ImmutableList<StoredItem> matching =
              items.stream()
                  .filter(item -> item.key().startsWith(prefix))
                  .collect(ImmutableList.toImmutableList());
          apply(prefix, () -> listener.replace(matching));
        });
  }

  private static void apply(String key, Runnable change) {
    try {
      change.run();
    } catch (RuntimeException | StackOverflowError e) {
      EventLog.warn(Event.STORE_ITEM_NOT_APPLIED, "key", key, "cause", e);
    }
  }

  @Override
  public void change(StoreChanges.Change change) {
    listeners.forEach(
        (prefix, listener) -> {
          if (change.item().key().startsWith(prefix)) {
            apply(change.item().key(), () -> listener.change(change));
          }
        });
  }

  @Override
  public void unavailable(StoreOutage outage) {
    listeners.values().forEach(listener -> listener.unavailable(outage));
  }

  @Override
  public void newEra(long era) {
    listeners.values().forEach(listener -> listener.newEra(era));
  }

  @Override
  public void upToDate() {
    listeners.forEach((prefix, listener) -> apply(prefix, listener::upToDate));
  }
}
