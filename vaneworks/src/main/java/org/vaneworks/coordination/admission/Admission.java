package org.vaneworks.coordination.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;

/** A permit to run one request on a route. The holder must release it when the request ends. */
public final class Admission {
  private final PlannedRoute route;
  private final Runnable release;
  private final AtomicBoolean released = new AtomicBoolean();

  Admission(PlannedRoute route, Runnable release) {
    this.route = route;
    this.release = release;
  }

  /** Returns the planned route. Its engines already count the stream as in flight. */
  public PlannedRoute route() {
    return route;
  }

  /**
   * Releases the permit; later calls have no effect.
   *
   * <p>Does not decrement the in-flight counts of the engines, which the stream itself maintains.
   */
  public void release() {
    if (released.compareAndSet(false, true)) {
      release.run();
    }
  }
}
