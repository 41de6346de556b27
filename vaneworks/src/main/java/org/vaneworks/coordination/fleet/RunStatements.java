package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one run of an endpoint's process has said of itself, as far as this node knows.
 *
 * <p>It holds for the run, whatever the list says of the endpoint meanwhile. Confined to the node's
 * event loop.
 */
final class RunStatements {
  private final Incarnation run;
  private final StartLimit startLimit = new StartLimit();
  private final Backoff backoff = new Backoff();
  private boolean leaving;

  RunStatements(Incarnation run) {
    this.run = checkNotNull(run);
  }

  /** Returns whether they are those of that run. */
  boolean areOf(Incarnation other) {
    return run.equals(other);
  }

  /** Returns whether that run is over: a later one is known, or one that tells its start. */
  boolean outdate(Incarnation other) {
    return run.isAfter(other) || (run.isTold() && !other.isTold());
  }

  /** Returns how many requests a second it takes, and this node's share of them. */
  StartLimit startLimit() {
    return startLimit;
  }

  /** Returns for how long it wants no calls from this node. */
  Backoff backoff() {
    return backoff;
  }

  /** Returns whether it has announced its end, in an answer or in its entry. */
  boolean isLeaving() {
    return leaving;
  }

  void announceEnd() {
    leaving = true;
  }
}
