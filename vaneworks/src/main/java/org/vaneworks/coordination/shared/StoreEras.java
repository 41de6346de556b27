package org.vaneworks.coordination.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.vaneworks.telemetry.Event;
import org.vaneworks.telemetry.EventLog;

/**
 * The era of a store that may come back from an older copy, as one node's calls show it.
 *
 * <p>Each answer of the store tells its era; the highest is the present one. Confined to the node's
 * event loop.
 */
public final class StoreEras {
  private final List<LongConsumer> listeners = new ArrayList<>();
  private OptionalLong newest = OptionalLong.empty();
  private boolean oddTold;

  private StoreEras() {}

  /** Returns eras of which none is known. */
  public static StoreEras create() {
    return new StoreEras();
  }

  /** Calls back with each era after the first that is known. */
  public void onChange(LongConsumer listener) {
    listeners.add(listener);
  }

  /** Returns the present era; 0 if the store tells none. */
  public long present() {
    return newest.orElse(0);
  }

  /**
   * Takes the era that an answer tells.
   *
   * @param told empty if it tells none that can be read; it then counts as one of the present era
   * @return whether the answer may be used; not if it is of a former era
   */
  public boolean accepts(OptionalLong told) {
    if (told.isEmpty()) {
      noteOdd("none");
      newest = OptionalLong.of(present());
      return true;
    }
    long era = told.getAsLong();
    if (era < present()) {
      noteOdd(era + " after " + present());
      return false;
    }
    oddTold = false;
    if (newest.isPresent() && era > newest.getAsLong()) {
      change(era);
    }
    newest = told;
    return true;
  }

  private void noteOdd(String era) {
    if (!oddTold) {
      oddTold = true;
      EventLog.info(Event.STORE_ERA_REFUSED, "era", era);
    }
  }

  private void change(long era) {
    EventLog.warn(Event.STORE_ERA_CHANGED, "from", newest.getAsLong(), "to", era);
    // What listeners ask from now on is of the new era.
    newest = OptionalLong.of(era);
    listeners.forEach(listener -> listener.accept(era));
  }
}
