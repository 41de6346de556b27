package org.vaneworks.coordination.fleet;

/** The state of an endpoint with respect to the endpoint list. */
enum ListingState {
  /** The endpoint is listed. */
  LISTED,
  /** The entry disappeared after a store outage; whether the endpoint left is not decided yet. */
  MISSING,
  /** The entry may have lapsed in a store outage; the endpoint stays in use for a grace period. */
  RETAINED,
  /** The endpoint was removed from the table. */
  REMOVED
}
