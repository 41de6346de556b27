package org.vaneworks.coordination.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import org.vaneworks.coordination.routing.RoutePlanner.PlannedRoute;

/** The right to run one request on a route; to be released exactly once. */
public final class Admission {
  private final PlannedRoute route;
  private final Runnable release;
  private final AtomicBoolean released = new AtomicBoolean();

  Admission(PlannedRoute route, Runnable release) {
    this.route = route;
    this.release = release;
  }

  /** Returns the route, on whose engines the stream is counted already. */
  public PlannedRoute route() {
    return route;
  }

  /** Ends the right; later calls do nothing. The engines' counts are the stream's to end. */
  public void release() {
    if (released.compareAndSet(false, true)) {
      release.run();
    }
  }
}
