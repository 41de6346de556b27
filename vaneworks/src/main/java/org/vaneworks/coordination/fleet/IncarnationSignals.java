package org.vaneworks.coordination.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The signals that this node received from one incarnation of an endpoint.
 *
 * <p>They apply to the incarnation even if the endpoint's list entry changes. Confined to the
 * node's event loop.
 */
final class IncarnationSignals {
  private final Incarnation incarnation;
  private final EndpointRateLimit rateLimit = new EndpointRateLimit();
  private final Backoff backoff = new Backoff();
  private boolean leaving;

  IncarnationSignals(Incarnation incarnation) {
    this.incarnation = checkNotNull(incarnation);
  }

  /** Returns whether these are the signals of the given incarnation. */
  boolean belongTo(Incarnation other) {
    return incarnation.equals(other);
  }

  /**
   * Returns whether these signals belong to a newer incarnation than the given one: a later one, or
   * one with a start time while the given one has none.
   */
  boolean supersede(Incarnation other) {
    return incarnation.isAfter(other) || (incarnation.isKnown() && !other.isKnown());
  }

  /** Returns the endpoint's rate limit and this node's share of it. */
  EndpointRateLimit rateLimit() {
    return rateLimit;
  }

  /** Returns the backoff that the endpoint asked this node for. */
  Backoff backoff() {
    return backoff;
  }

  /** Returns whether the endpoint announced its shutdown, in an answer or in its entry. */
  boolean isLeaving() {
    return leaving;
  }

  void markLeaving() {
    leaving = true;
  }
}
