package org.vaneworks.coordination.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * Tracks the era of the store as seen in the responses to one node's calls.
 *
 * <p>The store starts a new, higher era each time it is restored from a backup, and reports its era
 * in each response. The highest era seen is the current one. Confined to the node's event loop.
 */
public final class StoreEraTracker {
  private final List<LongConsumer> listeners = new ArrayList<>();
  private OptionalLong newest = OptionalLong.empty();
  private boolean anomalyLogged;

  private StoreEraTracker() {}

  /** Returns a tracker that has not seen an era yet. */
  public static StoreEraTracker create() {
    return new StoreEraTracker();
  }

  /** Adds a listener that receives each new era, except the first one seen. */
  public void onChange(LongConsumer listener) {
    listeners.add(listener);
  }

  /** Returns the current era; 0 if the store has not reported one. */
  public long current() {
    return newest.orElse(0);
  }

  /**
   * Records the era reported in a response.
   *
   * @param reported the era; empty if the response has no readable era, which counts as the current
   *     one
   * @return whether the response may be used; false if it belongs to an earlier era
   */
  public boolean accepts(OptionalLong reported) {
    if (reported.isEmpty()) {
      logAnomaly("none");
      newest = OptionalLong.of(current());
      return true;
    }
    long era = reported.getAsLong();
    if (era < current()) {
      logAnomaly(era + " after " + current());
      return false;
    }
    anomalyLogged = false;
    if (newest.isPresent() && era > newest.getAsLong()) {
      change(era);
    }
    newest = reported;
    return true;
  }

  private void logAnomaly(String era) {
    if (!anomalyLogged) {
      anomalyLogged = true;
      EventLog.info(Event.STORE_ERA_REFUSED, "era", era);
    }
  }

  private void change(long era) {
    EventLog.warn(Event.STORE_ERA_CHANGED, "from", newest.getAsLong(), "to", era);
    // Set first, so that calls made by listeners belong to the new era.
    newest = OptionalLong.of(era);
    listeners.forEach(listener -> listener.accept(era));
  }
}
