package org.vaneworks.coordination.fleet;

/** How an endpoint stands with the list. */
enum Listing {
  /** The list names it. */
  LISTED,
  /** The list stopped naming it after the store was silent; why is not judged yet. */
  MISSING,
  /** Its entry may have lapsed in an outage of the store: it stays in use for a while. */
  KEPT,
  /** It has left. */
  GONE
}
